//! The JSON bytes of every message between hosts and catalog, and of the tree as it is stored. Hosts and
//! catalogs of different releases talk to each other and read each other's files, so these texts must not change.
use mallowseam_cow::messages::{ToCatalog, ToHost, TreeVersion, full_tree_messages};
use mallowseam_cow::tree::{Branch, Change, ExtentLocation, Layer, Location, Snapshot, Tree};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn pinned<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain data"), text);
    assert_eq!(
        serde_json::from_str::<T>(text).expect("the pinned text"),
        *value
    );
}

const LAYER: u32 = 1024;
const EXTENT: u32 = 3;
const LOCATION: Location = Location { node: 2, slot: 11 };

#[test]
fn messages_to_the_catalog() {
    let hello = |replica_version| ToCatalog::Hello {
        host: "h1".into(),
        replica_version,
    };
    let replica_version = TreeVersion {
        catalog_id: 7,
        version: 9,
    };
    pinned(
        &hello(Some(replica_version)),
        r#"{"hello":{"host":"h1","have":[7,9]}}"#,
    );
    pinned(&hello(None), r#"{"hello":{"host":"h1","have":null}}"#);
    let without: ToCatalog =
        serde_json::from_str(r#"{"hello":{"host":"h1"}}"#).expect("`have` may lack");
    assert_eq!(without, hello(None));
    pinned(
        &ToCatalog::RenewLease {
            sent_at: 12,
            seen_version: 34,
        },
        r#"{"renew":{"sent":12,"seen":34}}"#,
    );
    pinned(
        &ToCatalog::Acknowledge { version: 5 },
        r#"{"seen":{"version":5}}"#,
    );
    pinned(
        &ToCatalog::AllocateSlots {
            layer: LAYER,
            count: 64,
        },
        r#"{"numbers":{"layer":1024,"count":64}}"#,
    );
    pinned(
        &ToCatalog::Quiesced { layer: LAYER },
        r#"{"clear":{"layer":1024}}"#,
    );
    pinned(
        &ToCatalog::RequestCompletion { layer: LAYER },
        r#"{"leave":{"layer":1024}}"#,
    );
    pinned(
        &ToCatalog::ProposeLocation {
            layer: LAYER,
            extent: EXTENT,
            location: LOCATION,
        },
        r#"{"placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
}

#[test]
fn messages_to_a_host() {
    pinned(
        &ToHost::FullTree {
            catalog_id: 7,
            tree: Box::default(),
        },
        r#"{"whole":{"catalog":7,"tree":{"version":0,"layers":{},"branches":{},"snapshots":{},"made":0,"units":0}}}"#,
    );
    pinned(
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
    pinned(&ToHost::FullTreeEnd, r#""filled""#);
    pinned(&ToHost::CaughtUp, r#""going""#);
    pinned(
        &ToHost::TreeChanged {
            version: 9,
            change: Change::HeadFrozen { branch: "a".into() },
        },
        r#"{"changed":{"version":9,"change":{"Cut":{"branch":"a"}}}}"#,
    );
    pinned(
        &ToHost::LeaseGranted {
            sent_at: 12,
            duration: 3_000,
        },
        r#"{"lease":{"sent":12,"span":3000}}"#,
    );
    pinned(
        &ToHost::SlotsAllocated {
            layer: LAYER,
            first: 64,
            count: 64,
        },
        r#"{"numbers":{"layer":1024,"first":64,"count":64}}"#,
    );
    pinned(
        &ToHost::Quiesce {
            layer: LAYER,
            branch: "a".into(),
        },
        r#"{"ask-clear":{"layer":1024,"branch":"a"}}"#,
    );
    pinned(
        &ToHost::CutFinished { branch: "a".into() },
        r#"{"over":{"branch":"a"}}"#,
    );
    pinned(
        &ToHost::CompletionDecision {
            layer: LAYER,
            granted: true,
        },
        r#"{"leave":{"layer":1024,"given":true}}"#,
    );
    pinned(
        &ToHost::LocationRejected {
            layer: LAYER,
            extent: EXTENT,
        },
        r#"{"not-placed":{"layer":1024,"extent":3}}"#,
    );
}

#[test]
fn changes() {
    let (a, s) = (|| "a".to_owned(), || "a@s".to_owned());
    pinned(
        &Change::BranchCreated {
            branch: a(),
            extent_count: 8,
        },
        r#"{"Made":{"branch":"a","extents":8}}"#,
    );
    pinned(
        &Change::SlotsAllocated {
            layer: LAYER,
            first: 0,
            count: 8,
        },
        r#"{"Numbers":{"layer":1024,"first":0,"count":8}}"#,
    );
    pinned(
        &Change::ExtentPlaced {
            layer: LAYER,
            extent: EXTENT,
            location: LOCATION,
        },
        r#"{"Placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
    pinned(
        &Change::ExtentWritable {
            layer: LAYER,
            extent: EXTENT,
        },
        r#"{"Opened":{"layer":1024,"extent":3}}"#,
    );
    pinned(
        &Change::HeadFrozen { branch: a() },
        r#"{"Cut":{"branch":"a"}}"#,
    );
    pinned(
        &Change::LayerClosed {
            layer: LAYER,
            node: 2,
        },
        r#"{"Closed":{"layer":1024,"node":2}}"#,
    );
    pinned(
        &Change::SnapshotCreated {
            branch: a(),
            name: "s".into(),
            layer: LAYER,
        },
        r#"{"Named":{"branch":"a","name":"s","layer":1024}}"#,
    );
    pinned(
        &Change::CloneCreated {
            snapshot: s(),
            branch: "c".into(),
        },
        r#"{"Cloned":{"snapshot":"a@s","branch":"c"}}"#,
    );
    pinned(
        &Change::BranchRolledBack {
            branch: a(),
            snapshot: s(),
        },
        r#"{"RolledBack":{"branch":"a","snapshot":"a@s"}}"#,
    );
    pinned(
        &Change::SnapshotDeleted { snapshot: s() },
        r#"{"SnapshotDeleted":{"snapshot":"a@s"}}"#,
    );
    pinned(
        &Change::BranchDeleted { branch: a() },
        r#"{"BranchDeleted":{"branch":"a"}}"#,
    );
    pinned(
        &Change::ExtentsReclaimed {
            layer: LAYER,
            extents: vec![3, 4],
        },
        r#"{"Freed":{"layer":1024,"extents":[3,4]}}"#,
    );
}

#[test]
fn parts_of_a_tree() {
    let layer = Layer {
        parent: Some(1024),
        frozen: true,
        locations: [(3, Location { node: 2, slot: 11 })].into(),
        writable: [3].into(),
        next_slot: 64,
        closed_nodes: [1, 2].into(),
    };
    pinned(
        &layer,
        r#"{"parent":1024,"frozen":true,"places":{"3":{"node":2,"number":11}},"opened":[3],"next_number":64,"closed":[1,2]}"#,
    );
    pinned(
        &Branch {
            head: 1026,
            lun: 1025,
            extent_count: 8,
            origin: Some("a@s".into()),
        },
        r#"{"head":1026,"unit":1025,"extents":8,"origin":"a@s"}"#,
    );
    pinned(
        &Snapshot {
            branch: "a".into(),
            lun: 1025,
            layer: 1024,
            extent_count: 8,
        },
        r#"{"branch":"a","unit":1025,"layer":1024,"extents":8}"#,
    );
}

/// A tree with a snapshot, a clone and a first write after the cut.
fn tree() -> Tree {
    let mut tree = Tree::default();
    let place = |node, slot| Location { node, slot };
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
            location: place(2, 11),
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
            location: place(0, 1),
        },
    ] {
        tree.apply(&change).expect("fits");
    }
    tree
}

#[test]
fn a_tree_and_the_messages_that_send_it() {
    pinned(
        &tree(),
        r#"{"version":10,"layers":{"1024":{"parent":null,"frozen":true,"places":{"3":{"node":2,"number":11}},"opened":[3],"next_number":64,"closed":[2]},"1025":{"parent":1024,"frozen":false,"places":{"3":{"node":0,"number":1}},"opened":[],"next_number":64,"closed":[]},"1026":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"a":{"head":1025,"unit":1024,"extents":8,"origin":null},"c":{"head":1026,"unit":1026,"extents":8,"origin":"a@s"}},"snapshots":{"a@s":{"branch":"a","unit":1025,"layer":1024,"extents":8}},"made":3,"units":3}"#,
    );
    let tree = tree();
    let sent: Vec<String> = full_tree_messages(7, &tree)
        .map(|m| serde_json::to_string(&m).expect("plain data"))
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
fn a_large_layer_is_sent_in_messages_of_a_thousand_locations() {
    let mut tree = Tree::default();
    tree.apply(&Change::BranchCreated {
        branch: "a".into(),
        extent_count: 4_096,
    })
    .expect("fits");
    tree.apply(&Change::SlotsAllocated {
        layer: 1024,
        first: 0,
        count: 4_096,
    })
    .expect("fits");
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
        .expect("fits");
    }
    let sizes: Vec<usize> = full_tree_messages(7, &tree)
        .filter_map(|m| match m {
            ToHost::Locations { locations, .. } => Some(locations.len()),
            _ => None,
        })
        .collect();
    assert_eq!(sizes, [1_000, 1_000, 1]);
}

/// The texts that operators read on the control socket when a request is rejected.
#[test]
fn rejections() {
    let mut tree = tree();
    let rejection =
        |tree: &Tree, change: Change| tree.check(&change).expect_err("a rejection").to_string();
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
        .expect("plain data")
        .replace(r#""made":3"#, r#""made":16776192"#);
    tree = serde_json::from_str(&text).expect("a tree");
    assert_eq!(rejection(&tree, created("d")), "no layer numbers are left");
    let text = text.replace(r#""made":16776192"#, r#""made":16776191"#);
    tree = serde_json::from_str(&text).expect("a tree");
    assert_eq!(tree.check(&created("d")), Ok(()));
}
