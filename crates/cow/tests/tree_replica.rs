//! Tests of a host's replica of the tree: lookups, the host's lease, and the slots that it owns.
use mallowseam_cow::leases::LEASE_DURATION;
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Location, Tree};
use mallowseam_cow::tree_replica::{Lookup, TreeReplica};

const FIRST_HEAD: LayerId = 1024;

/// Returns a tree with a branch of four extents, of which extent 2 is written.
fn tree() -> Tree {
    let mut tree = Tree::default();
    tree.apply(&Change::BranchCreated {
        branch: "a".into(),
        extent_count: 4,
    })
    .expect("change fits the tree");
    let layer = tree.branches["a"].head;
    tree.apply(&Change::SlotsAllocated {
        layer,
        first: 0,
        count: 8,
    })
    .expect("change fits the tree");
    let location = Location { node: 1, slot: 3 };
    tree.apply(&Change::ExtentPlaced {
        layer,
        extent: 2,
        location,
    })
    .expect("change fits the tree");
    tree.apply(&Change::ExtentWritable { layer, extent: 2 })
        .expect("change fits the tree");
    tree
}

fn replica() -> TreeReplica {
    let mut replica = TreeReplica::default();
    replica.replace_tree(tree());
    replica.lease_granted(0, 1_000);
    replica
}

fn freeze_head() -> Change {
    Change::HeadFrozen { branch: "a".into() }
}

#[test]
fn lookup_requires_a_lease() {
    let mut replica = replica();
    assert!(matches!(
        replica.look_up("a", 2, false, 999),
        Lookup::Found(..)
    ));
    assert_eq!(replica.look_up("a", 2, false, 1_000), Lookup::NoLease);
}

#[test]
fn write_after_a_cut_waits_for_the_close_and_then_copies_the_extent() {
    let mut replica = replica();
    let (old_head, location) = (FIRST_HEAD, Location { node: 1, slot: 3 });
    assert_eq!(
        replica.look_up("a", 2, true, 0),
        Lookup::Found(old_head, location)
    );
    assert_eq!(replica.look_up("a", 0, false, 0), Lookup::Zeros);
    assert_eq!(
        replica.look_up("a", 0, true, 0),
        Lookup::CopyFirst {
            into: old_head,
            from: None
        }
    );
    assert!(replica.apply_change(5, &freeze_head()));
    assert_eq!(
        replica.look_up("a", 2, false, 0),
        Lookup::Found(old_head, location)
    );
    assert_eq!(
        replica.look_up("a", 2, true, 0),
        Lookup::Blocked,
        "the node of the location may still take late writes"
    );
    assert!(replica.apply_change(
        6,
        &Change::LayerClosed {
            layer: old_head,
            node: 1
        }
    ));
    let copy = Lookup::CopyFirst {
        into: old_head + 1,
        from: Some((old_head, location)),
    };
    assert_eq!(replica.look_up("a", 2, true, 0), copy);
    assert_eq!(replica.look_up("b", 2, true, 0), Lookup::UnknownName);
}

#[test]
fn new_location_is_readable_at_once_and_writable_after_the_second_change() {
    let mut replica = replica();
    let (layer, location) = (FIRST_HEAD, Location { node: 0, slot: 5 });
    assert!(replica.apply_change(
        5,
        &Change::ExtentPlaced {
            layer,
            extent: 1,
            location
        }
    ));
    assert_eq!(
        replica.look_up("a", 1, false, 0),
        Lookup::Found(layer, location)
    );
    assert_eq!(replica.look_up("a", 1, true, 0), Lookup::Blocked);
    assert!(replica.apply_change(6, &Change::ExtentWritable { layer, extent: 1 }));
    assert_eq!(
        replica.look_up("a", 1, true, 0),
        Lookup::Found(layer, location)
    );
}

#[test]
fn gap_in_changes_is_detected_and_duplicate_is_ignored() {
    let mut replica = replica();
    assert!(!replica.apply_change(6, &freeze_head()));
    assert!(replica.apply_change(2, &freeze_head()));
    assert_eq!(replica.version(), Some(4));
}

#[test]
fn slots_are_used_once_and_not_after_their_layer_is_frozen() {
    let mut replica = replica();
    replica.add_slots(FIRST_HEAD, 0, 2);
    replica.add_slots(FIRST_HEAD, 6, 1);
    let slots: Vec<_> = std::iter::from_fn(|| replica.take_slot(FIRST_HEAD)).collect();
    assert_eq!(slots, [0, 1, 6]);
    replica.add_slots(FIRST_HEAD, 7, 1);
    let mut frozen = tree();
    frozen.apply(&freeze_head()).expect("change fits the tree");
    replica.replace_tree(frozen);
    assert_eq!(replica.take_slot(FIRST_HEAD), None);
}

#[test]
fn lease_renewal_is_due_after_half_the_lease_and_retried_after_a_quarter() {
    let mut replica = replica();
    replica.lease_granted(0, LEASE_DURATION);
    assert!(!replica.renewal_due(100));
    let half = LEASE_DURATION / 2;
    assert!(replica.renewal_due(half) && !replica.renewal_due(half + 1));
    assert!(replica.renewal_due(half + half / 2));
}

#[test]
fn change_to_a_branch_without_its_head_is_rejected() {
    // A damaged catalog could send such a tree: branch `a` refers to a layer that does not exist.
    let text = serde_json::to_string(&tree()).expect("a tree is JSON");
    let text = text.replace(r#""head":1024"#, r#""head":1030"#);
    let tree: Tree = serde_json::from_str(&text).expect("the JSON is a tree");
    let delete = Change::BranchDeleted { branch: "a".into() };
    for change in [freeze_head(), delete] {
        assert_eq!(tree.check(&change), Err(ChangeError::NoSuchLayer(1030)));
        let mut replica = TreeReplica::default();
        replica.replace_tree(tree.clone());
        assert!(!replica.apply_change(tree.version + 1, &change));
    }
}

#[test]
fn slots_beyond_the_largest_number_are_ignored() {
    let mut replica = replica();
    replica.add_slots(FIRST_HEAD, 7, 0);
    assert_eq!(replica.take_slot(FIRST_HEAD), None);
    replica.add_slots(FIRST_HEAD, u32::MAX - 1, 5);
    assert!(replica.needs_slots(FIRST_HEAD));
    assert_eq!(replica.take_slot(FIRST_HEAD), Some(u32::MAX - 1));
    assert_eq!(replica.take_slot(FIRST_HEAD), None);
}
