//! Pins the JSON bytes of every message between hosts and the catalog, and of the stored tree. Hosts and catalogs of
//! different releases exchange these messages and read each other's files, so the bytes must not change.
use mallowseam_cow::messages::{ToCatalog, ToHost, TreeVersion, full_tree_messages};
use mallowseam_cow::tree::{Branch, Change, ExtentLocation, Layer, Location, Snapshot, Tree};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that a value is written as a JSON text, and that the text reads back as the value.
fn check_json<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    value: &T,
    text: &str,
) {
    assert_eq!(serde_json::to_string(value).expect("value is JSON"), text);
    assert_eq!(
        serde_json::from_str::<T>(text).expect("the text is such a value"),
        *value
    );
}

const LAYER: u32 = 1024;
const EXTENT: u32 = 3;
const LOCATION: Location = Location { node: 2, slot: 11 };

#[test]
fn messages_to_the_catalog_keep_their_bytes() {
    let hello = |replica_version| ToCatalog::Hello {
        host: "h1".into(),
        replica_version,
    };
    let replica_version = TreeVersion {
        catalog_id: 7,
        version: 9,
    };
    check_json(
        &hello(Some(replica_version)),
        r#"{"hello":{"host":"h1","have":[7,9]}}"#,
    );
    check_json(&hello(None), r#"{"hello":{"host":"h1","have":null}}"#);
    let without_version: ToCatalog =
        serde_json::from_str(r#"{"hello":{"host":"h1"}}"#).expect("`have` is optional");
    assert_eq!(without_version, hello(None));
    check_json(
        &ToCatalog::RenewLease {
            sent_at: 12,
            seen_version: 34,
        },
        r#"{"renew":{"sent":12,"seen":34}}"#,
    );
    check_json(
        &ToCatalog::Acknowledge { version: 5 },
        r#"{"seen":{"version":5}}"#,
    );
    check_json(
        &ToCatalog::AllocateSlots {
            layer: LAYER,
            count: 64,
        },
        r#"{"numbers":{"layer":1024,"count":64}}"#,
    );
    check_json(
        &ToCatalog::Quiesced { layer: LAYER },
        r#"{"clear":{"layer":1024}}"#,
    );
    check_json(
        &ToCatalog::RequestCompletion { layer: LAYER },
        r#"{"leave":{"layer":1024}}"#,
    );
    check_json(
        &ToCatalog::ProposeLocation {
            layer: LAYER,
            extent: EXTENT,
            location: LOCATION,
        },
        r#"{"placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
}

#[test]
fn messages_to_a_host_keep_their_bytes() {
    check_json(
        &ToHost::FullTree {
            catalog_id: 7,
            tree: Box::default(),
        },
        r#"{"whole":{"catalog":7,"tree":{"version":0,"layers":{},"branches":{},"snapshots":{},"made":0,"units":0}}}"#,
    );
    check_json(
        &ToHost::Locations {
            layer: LAYER,
            locations: vec![
                ExtentLocation {
                    extent: EXTENT,
                    location: LOCATION,
                    writable: true,
                },
                ExtentLocation {
                    extent: 4,
                    location: LOCATION,
                    writable: false,
                },
            ],
        },
        r#"{"part":{"layer":1024,"lies":[[3,{"node":2,"number":11},true],[4,{"node":2,"number":11},false]]}}"#,
    );
    check_json(&ToHost::FullTreeEnd, r#""filled""#);
    check_json(&ToHost::CaughtUp, r#""going""#);
    check_json(
        &ToHost::TreeChanged {
            version: 9,
            change: Change::HeadFrozen { branch: "a".into() },
        },
        r#"{"changed":{"version":9,"change":{"Cut":{"branch":"a"}}}}"#,
    );
    check_json(
        &ToHost::LeaseGranted {
            sent_at: 12,
            duration: 3_000,
        },
        r#"{"lease":{"sent":12,"span":3000}}"#,
    );
    check_json(
        &ToHost::SlotsAllocated {
            layer: LAYER,
            first: 64,
            count: 64,
        },
        r#"{"numbers":{"layer":1024,"first":64,"count":64}}"#,
    );
    check_json(
        &ToHost::Quiesce {
            layer: LAYER,
            branch: "a".into(),
        },
        r#"{"ask-clear":{"layer":1024,"branch":"a"}}"#,
    );
    check_json(
        &ToHost::CutFinished { branch: "a".into() },
        r#"{"over":{"branch":"a"}}"#,
    );
    check_json(
        &ToHost::CompletionDecision {
            layer: LAYER,
            granted: true,
        },
        r#"{"leave":{"layer":1024,"given":true}}"#,
    );
    check_json(
        &ToHost::LocationRejected {
            layer: LAYER,
            extent: EXTENT,
        },
        r#"{"not-placed":{"layer":1024,"extent":3}}"#,
    );
}

#[test]
fn changes_keep_their_bytes() {
    let (a, s) = (|| "a".to_owned(), || "a@s".to_owned());
    check_json(
        &Change::BranchCreated {
            branch: a(),
            extent_count: 8,
        },
        r#"{"Made":{"branch":"a","extents":8}}"#,
    );
    check_json(
        &Change::SlotsAllocated {
            layer: LAYER,
            first: 0,
            count: 8,
        },
        r#"{"Numbers":{"layer":1024,"first":0,"count":8}}"#,
    );
    check_json(
        &Change::ExtentPlaced {
            layer: LAYER,
            extent: EXTENT,
            location: LOCATION,
        },
        r#"{"Placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
    check_json(
        &Change::ExtentWritable {
            layer: LAYER,
            extent: EXTENT,
        },
        r#"{"Opened":{"layer":1024,"extent":3}}"#,
    );
    check_json(
        &Change::HeadFrozen { branch: a() },
        r#"{"Cut":{"branch":"a"}}"#,
    );
    check_json(
        &Change::LayerClosed {
            layer: LAYER,
            node: 2,
        },
        r#"{"Closed":{"layer":1024,"node":2}}"#,
    );
    check_json(
        &Change::SnapshotCreated {
            branch: a(),
            name: "s".into(),
            layer: LAYER,
        },
        r#"{"Named":{"branch":"a","name":"s","layer":1024}}"#,
    );
    check_json(
        &Change::CloneCreated {
            snapshot: s(),
            branch: "c".into(),
        },
        r#"{"Cloned":{"snapshot":"a@s","branch":"c"}}"#,
    );
    check_json(
        &Change::BranchRolledBack {
            branch: a(),
            snapshot: s(),
        },
        r#"{"RolledBack":{"branch":"a","snapshot":"a@s"}}"#,
    );
    check_json(
        &Change::SnapshotDeleted { snapshot: s() },
        r#"{"SnapshotDeleted":{"snapshot":"a@s"}}"#,
    );
    check_json(
        &Change::BranchDeleted { branch: a() },
        r#"{"BranchDeleted":{"branch":"a"}}"#,
    );
    check_json(
        &Change::ExtentsReclaimed {
            layer: LAYER,
            extents: vec![3, 4],
        },
        r#"{"Freed":{"layer":1024,"extents":[3,4]}}"#,
    );
}

#[test]
fn records_of_a_tree_keep_their_bytes() {
    let layer = Layer {
        parent: Some(1024),
        frozen: true,
        locations: [(3, Location { node: 2, slot: 11 })].into(),
        writable: [3].into(),
        next_slot: 64,
        closed_nodes: [1, 2].into(),
    };
    check_json(
        &layer,
        r#"{"parent":1024,"frozen":true,"places":{"3":{"node":2,"number":11}},"opened":[3],"next_number":64,"closed":[1,2]}"#,
    );
    check_json(
        &Branch {
            head: 1026,
            lun: 1025,
            extent_count: 8,
            origin: Some("a@s".into()),
        },
        r#"{"head":1026,"unit":1025,"extents":8,"origin":"a@s"}"#,
    );
    check_json(
        &Snapshot {
            branch: "a".into(),
            lun: 1025,
            layer: 1024,
            extent_count: 8,
        },
        r#"{"branch":"a","unit":1025,"layer":1024,"extents":8}"#,
    );
}

/// Returns a tree with a snapshot, a clone and a first write after the cut.
fn tree() -> Tree {
    let mut tree = Tree::default();
    let location = |node, slot| Location { node, slot };
    for change in [
        Change::BranchCreated {
            branch: "a".into(),
            extent_count: 8,
        },
        Change::SlotsAllocated {
            layer: 1024,
            first: 0,
            count: 64,
        },
        Change::ExtentPlaced {
            layer: 1024,
            extent: 3,
            location: location(2, 11),
        },
        Change::ExtentWritable {
            layer: 1024,
            extent: 3,
        },
        Change::HeadFrozen { branch: "a".into() },
        Change::LayerClosed {
            layer: 1024,
            node: 2,
        },
        Change::SnapshotCreated {
            branch: "a".into(),
            name: "s".into(),
            layer: 1024,
        },
        Change::CloneCreated {
            snapshot: "a@s".into(),
            branch: "c".into(),
        },
        Change::SlotsAllocated {
            layer: 1025,
            first: 0,
            count: 64,
        },
        Change::ExtentPlaced {
            layer: 1025,
            extent: 3,
            location: location(0, 1),
        },
    ] {
        tree.apply(&change).expect("change fits the tree");
    }
    tree
}

#[test]
fn tree_and_the_messages_that_send_it_keep_their_bytes() {
    check_json(
        &tree(),
        r#"{"version":10,"layers":{"1024":{"parent":null,"frozen":true,"places":{"3":{"node":2,"number":11}},"opened":[3],"next_number":64,"closed":[2]},"1025":{"parent":1024,"frozen":false,"places":{"3":{"node":0,"number":1}},"opened":[],"next_number":64,"closed":[]},"1026":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"a":{"head":1025,"unit":1024,"extents":8,"origin":null},"c":{"head":1026,"unit":1026,"extents":8,"origin":"a@s"}},"snapshots":{"a@s":{"branch":"a","unit":1025,"layer":1024,"extents":8}},"made":3,"units":3}"#,
    );
    let tree = tree();
    let sent: Vec<String> = full_tree_messages(7, &tree)
        .map(|message| serde_json::to_string(&message).expect("message is JSON"))
        .collect();
    assert_eq!(
        sent,
        [
            r#"{"whole":{"catalog":7,"tree":{"version":10,"layers":{"1024":{"parent":null,"frozen":true,"places":{},"opened":[],"next_number":64,"closed":[2]},"1025":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":64,"closed":[]},"1026":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"a":{"head":1025,"unit":1024,"extents":8,"origin":null},"c":{"head":1026,"unit":1026,"extents":8,"origin":"a@s"}},"snapshots":{"a@s":{"branch":"a","unit":1025,"layer":1024,"extents":8}},"made":3,"units":3}}}"#,
            r#"{"part":{"layer":1024,"lies":[[3,{"node":2,"number":11},true]]}}"#,
            r#"{"part":{"layer":1025,"lies":[[3,{"node":0,"number":1},false]]}}"#,
            r#""filled""#,
        ]
    );
}

#[test]
fn large_layer_is_sent_in_messages_of_a_thousand_locations() {
    let mut tree = Tree::default();
    tree.apply(&Change::BranchCreated {
        branch: "a".into(),
        extent_count: 4_096,
    })
    .expect("change fits the tree");
    tree.apply(&Change::SlotsAllocated {
        layer: 1024,
        first: 0,
        count: 4_096,
    })
    .expect("change fits the tree");
    for extent in 0..2_001 {
        let location = Location {
            node: 0,
            slot: extent,
        };
        tree.apply(&Change::ExtentPlaced {
            layer: 1024,
            extent,
            location,
        })
        .expect("change fits the tree");
    }
    let sizes: Vec<usize> = full_tree_messages(7, &tree)
        .filter_map(|message| match message {
            ToHost::Locations { locations, .. } => Some(locations.len()),
            _ => None,
        })
        .collect();
    assert_eq!(sizes, [1_000, 1_000, 1]);
}

/// Operators read these texts on the control socket when a request is rejected.
#[test]
fn rejected_changes_keep_their_error_texts() {
    let mut tree = tree();
    let rejection = |tree: &Tree, change: Change| {
        tree.check(&change)
            .expect_err("change is rejected")
            .to_string()
    };
    let created = |branch: &str| Change::BranchCreated {
        branch: branch.into(),
        extent_count: 8,
    };
    assert_eq!(
        rejection(&tree, Change::HeadFrozen { branch: "x".into() }),
        "`x`: no such volume or clone"
    );
    assert_eq!(
        rejection(
            &tree,
            Change::SnapshotDeleted {
                snapshot: "x".into()
            }
        ),
        "`x`: no such snapshot"
    );
    assert_eq!(rejection(&tree, created("a")), "`a`: the name is in use");
    assert_eq!(
        rejection(&tree, created("a/b")),
        "`a/b`: expected 1 to 64 letters, digits and -_."
    );
    assert_eq!(
        rejection(&tree, Change::LayerClosed { layer: 9, node: 0 }),
        "layer 9: no such layer"
    );
    assert_eq!(
        rejection(
            &tree,
            Change::ExtentWritable {
                layer: 1024,
                extent: 3
            }
        ),
        "layer 1024: takes no new places"
    );
    let location = Location { node: 1, slot: 2 };
    let placed = |extent| Change::ExtentPlaced {
        layer: 1025,
        extent,
        location,
    };
    assert_eq!(
        rejection(&tree, placed(3)),
        "the extent lies at node 0, place 1"
    );
    assert_eq!(rejection(&tree, placed(8)), "past the end");
    assert_eq!(
        rejection(&tree, Change::BranchDeleted { branch: "a".into() }),
        "`a@s`: still in use"
    );
    let text = serde_json::to_string(&tree)
        .expect("tree is JSON")
        .replace(r#""made":3"#, r#""made":16776192"#);
    tree = serde_json::from_str(&text).expect("the JSON is a tree");
    assert_eq!(rejection(&tree, created("d")), "no layer numbers are left");
    let text = text.replace(r#""made":16776192"#, r#""made":16776191"#);
    tree = serde_json::from_str(&text).expect("the JSON is a tree");
    assert_eq!(tree.check(&created("d")), Ok(()));
}
