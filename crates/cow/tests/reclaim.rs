//! Tests of the reclaimer: a location must not be released while a host may still read it, while a read of it may be in
//! flight, or while a pending cut needs it, and must be released afterwards.
use mallowseam_cow::Millis;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::reclaim::Reclaimer;
use mallowseam_cow::tree::{Change, LayerExtent, LayerId, Location, Tree};
use std::collections::BTreeSet;

struct Catalog {
    tree: Tree,
    reclaimer: Reclaimer,
    leases: HostLeases,
}

impl Catalog {
    fn apply(&mut self, change: &Change) {
        let effects = self.tree.apply(change).expect("change fits the tree");
        self.reclaimer.record_change(&self.tree, &effects);
    }

    fn next_batch(
        &mut self,
        retained: &[LayerId],
        max_in_flight: Millis,
        now: Millis,
    ) -> Vec<LayerExtent> {
        let retained = retained.iter().copied().collect();
        self.reclaimer
            .next_batch(&self.tree, &retained, &self.leases, max_in_flight, now)
    }
}

/// Returns a catalog with a branch of which two extents are written.
fn catalog() -> Catalog {
    let leases = HostLeases::new(0, true);
    let mut catalog = Catalog {
        tree: Tree::default(),
        reclaimer: Reclaimer::default(),
        leases,
    };
    let location = |slot| Location { node: 0, slot };
    for change in [
        Change::BranchCreated {
            branch: "a".into(),
            extent_count: 9,
        },
        Change::SlotsAllocated {
            layer: 1024,
            first: 0,
            count: 9,
        },
        Change::ExtentPlaced {
            layer: 1024,
            extent: 4,
            location: location(1),
        },
        Change::ExtentPlaced {
            layer: 1024,
            extent: 5,
            location: location(2),
        },
    ] {
        catalog.apply(&change);
    }
    catalog
}

/// Returns a catalog with a branch after a cut: two extents were written before the cut, and one again after it.
fn catalog_after_cut() -> Catalog {
    let mut catalog = catalog();
    for change in [
        Change::HeadFrozen { branch: "a".into() },
        Change::LayerClosed {
            layer: 1024,
            node: 0,
        },
        Change::SlotsAllocated {
            layer: 1025,
            first: 0,
            count: 9,
        },
        Change::ExtentPlaced {
            layer: 1025,
            extent: 4,
            location: Location { node: 0, slot: 1 },
        },
    ] {
        catalog.apply(&change);
    }
    catalog
}

#[test]
fn pending_cut_retains_locations_hidden_by_later_writes() {
    let mut catalog = catalog_after_cut();
    assert_eq!(catalog.next_batch(&[1024], 0, 1_000_000), []);
    assert_eq!(catalog.next_batch(&[], 0, 1_000_000), [(1024, 4)]);
}

#[test]
fn location_read_by_a_deleted_snapshot_waits_for_every_host_again() {
    let mut catalog = catalog_after_cut();
    assert_eq!(catalog.next_batch(&[1024], 0, 10), []);
    catalog.apply(&Change::SnapshotCreated {
        branch: "a".into(),
        name: "s".into(),
        layer: 1024,
    });
    // A host that has not received the deletion yet may still serve the snapshot.
    catalog.leases.renew("h", catalog.tree.version, 20);
    catalog.apply(&Change::SnapshotDeleted {
        snapshot: "a@s".into(),
    });
    assert_eq!(catalog.next_batch(&[], 0, 30), []);
    catalog.leases.acknowledge("h", catalog.tree.version);
    assert_eq!(catalog.next_batch(&[], 0, 40), [(1024, 4)]);
}

#[test]
fn nothing_is_released_while_a_host_may_read_it_or_a_read_may_be_in_flight() {
    let mut catalog = catalog();
    catalog.leases.renew("a", 4, 0);
    catalog.apply(&Change::BranchDeleted { branch: "a".into() });
    assert_eq!(catalog.next_batch(&[], 100, 10), []);
    catalog.leases.acknowledge("a", 5);
    assert_eq!(catalog.next_batch(&[], 100, 20), []);
    assert_eq!(catalog.next_batch(&[], 100, 119), []);
    assert_eq!(catalog.next_batch(&[], 100, 120), [(1024, 4), (1024, 5)]);
    assert_eq!(
        catalog.next_batch(&[], 100, 500),
        [],
        "both releases are in flight"
    );
    catalog.reclaimer.release_failed((1024, 5), 500);
    assert_eq!(catalog.next_batch(&[], 100, 600), [(1024, 5)]);
}

#[test]
fn unreachable_locations_are_found_when_a_tree_is_opened() {
    let mut catalog = catalog_after_cut();
    catalog.reclaimer = Reclaimer::from_tree(&catalog.tree);
    assert_eq!(catalog.next_batch(&[], 0, 0), [(1024, 4)]);
}

#[test]
fn empty_layer_without_references_is_removable() {
    let mut catalog = catalog();
    catalog.apply(&Change::HeadFrozen { branch: "a".into() });
    catalog.apply(&Change::HeadFrozen { branch: "a".into() });
    let Catalog {
        tree, reclaimer, ..
    } = &mut catalog;
    assert_eq!(
        reclaimer.removable_layers(tree, &[1025].into()),
        [],
        "a pending cut retains the layer"
    );
    assert_eq!(reclaimer.removable_layers(tree, &BTreeSet::new()), [1025]);
    catalog.apply(&Change::ExtentsReclaimed {
        layer: 1025,
        extents: vec![],
    });
    assert_eq!(catalog.tree.layers[&1026].parent, Some(1024));
    assert_eq!(
        catalog
            .reclaimer
            .removable_layers(&catalog.tree, &BTreeSet::new()),
        []
    );
}
