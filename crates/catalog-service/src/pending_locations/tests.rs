//! Tests of pending locations: a location must not become writable while a host acts on a tree without it.
use super::{PendingLocation, PendingLocations};
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::tree::{Change, Location, Tree};

fn pending(version: u64, extent: u32) -> PendingLocation {
    PendingLocation {
        version,
        layer: 1024,
        extent,
    }
}

fn extents(locations: &[PendingLocation]) -> Vec<u32> {
    locations.iter().map(|location| location.extent).collect()
}

#[test]
fn locations_wait_until_no_host_acts_on_an_older_version() {
    let mut leases = HostLeases::new(0, true);
    leases.renew("gw0", 4, 0);
    let mut locations = PendingLocations {
        locations: vec![pending(4, 1), pending(5, 2), pending(4, 3)],
    };
    assert_eq!(extents(&locations.take_effective(&leases, 10)), [1, 3]);
    assert!(locations.take_effective(&leases, 10).is_empty());
    leases.acknowledge("gw0", 5);
    assert_eq!(extents(&locations.take_effective(&leases, 20)), [2]);
}

#[test]
fn locations_of_a_stored_tree_are_pending_if_they_are_not_writable() {
    let mut tree = Tree::default();
    let place = |extent| Change::ExtentPlaced {
        layer: 1024,
        extent,
        location: Location {
            node: 0,
            slot: extent,
        },
    };
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
        place(4),
        place(5),
        Change::ExtentWritable {
            layer: 1024,
            extent: 4,
        },
    ] {
        tree.apply(&change).expect("change fits the tree");
    }
    let locations = PendingLocations::from_tree(&tree).locations;
    assert_eq!(extents(&locations), [5]);
    assert_eq!(locations[0].version, tree.version);
}
