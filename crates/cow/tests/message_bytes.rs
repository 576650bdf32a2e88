//! The JSON bytes of every message between hosts and catalog, and of the tree as it is stored. Hosts and
//! catalogs of different releases talk to each other and read each other's files, so these texts must not change.
use mallowseam_cow::tree::{Branch, Change, Layer, Place, Snapshot, Tree};
use mallowseam_cow::words::{ToCatalog, ToHost, whole};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn pinned<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain data"), text);
    assert_eq!(serde_json::from_str::<T>(text).expect("the pinned text"), *value);
}

#[test]
fn messages_to_the_catalog() {
    let place = Place { node: 2, number: 11 };
    pinned(
        &ToCatalog::Hello { host: "h1".into(), have: Some((7, 9)) },
        r#"{"hello":{"host":"h1","have":[7,9]}}"#,
    );
    pinned(&ToCatalog::Hello { host: "h1".into(), have: None }, r#"{"hello":{"host":"h1","have":null}}"#);
    let without: ToCatalog = serde_json::from_str(r#"{"hello":{"host":"h1"}}"#).expect("`have` may lack");
    assert_eq!(without, ToCatalog::Hello { host: "h1".into(), have: None });
    pinned(&ToCatalog::Renew { sent: 12, seen: 34 }, r#"{"renew":{"sent":12,"seen":34}}"#);
    pinned(&ToCatalog::Seen { version: 5 }, r#"{"seen":{"version":5}}"#);
    pinned(&ToCatalog::Numbers { layer: 1024, count: 64 }, r#"{"numbers":{"layer":1024,"count":64}}"#);
    pinned(&ToCatalog::Clear { layer: 1024 }, r#"{"clear":{"layer":1024}}"#);
    pinned(&ToCatalog::Leave { layer: 1024 }, r#"{"leave":{"layer":1024}}"#);
    pinned(
        &ToCatalog::Placed { layer: 1024, extent: 3, place },
        r#"{"placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
}

#[test]
fn messages_to_a_host() {
    let place = Place { node: 2, number: 11 };
    pinned(
        &ToHost::Whole { catalog: 7, tree: Box::default() },
        r#"{"whole":{"catalog":7,"tree":{"version":0,"layers":{},"branches":{},"snapshots":{},"made":0,"units":0}}}"#,
    );
    pinned(
        &ToHost::Part { layer: 1024, lies: vec![(3, place, true), (4, place, false)] },
        r#"{"part":{"layer":1024,"lies":[[3,{"node":2,"number":11},true],[4,{"node":2,"number":11},false]]}}"#,
    );
    pinned(&ToHost::Filled, r#""filled""#);
    pinned(&ToHost::Going, r#""going""#);
    pinned(
        &ToHost::Changed { version: 9, change: Change::Cut { branch: "a".into() } },
        r#"{"changed":{"version":9,"change":{"Cut":{"branch":"a"}}}}"#,
    );
    pinned(&ToHost::Lease { sent: 12, span: 3_000 }, r#"{"lease":{"sent":12,"span":3000}}"#);
    pinned(
        &ToHost::Numbers { layer: 1024, first: 64, count: 64 },
        r#"{"numbers":{"layer":1024,"first":64,"count":64}}"#,
    );
    pinned(
        &ToHost::AskClear { layer: 1024, branch: "a".into() },
        r#"{"ask-clear":{"layer":1024,"branch":"a"}}"#,
    );
    pinned(&ToHost::Over { branch: "a".into() }, r#"{"over":{"branch":"a"}}"#);
    pinned(&ToHost::Leave { layer: 1024, given: true }, r#"{"leave":{"layer":1024,"given":true}}"#);
    pinned(&ToHost::NotPlaced { layer: 1024, extent: 3 }, r#"{"not-placed":{"layer":1024,"extent":3}}"#);
}

#[test]
fn changes() {
    let (a, s) = (|| "a".to_owned(), || "a@s".to_owned());
    let place = Place { node: 2, number: 11 };
    pinned(&Change::Made { branch: a(), extents: 8 }, r#"{"Made":{"branch":"a","extents":8}}"#);
    pinned(
        &Change::Numbers { layer: 1024, first: 0, count: 8 },
        r#"{"Numbers":{"layer":1024,"first":0,"count":8}}"#,
    );
    pinned(
        &Change::Placed { layer: 1024, extent: 3, place },
        r#"{"Placed":{"layer":1024,"extent":3,"place":{"node":2,"number":11}}}"#,
    );
    pinned(&Change::Opened { layer: 1024, extent: 3 }, r#"{"Opened":{"layer":1024,"extent":3}}"#);
    pinned(&Change::Cut { branch: a() }, r#"{"Cut":{"branch":"a"}}"#);
    pinned(&Change::Closed { layer: 1024, node: 2 }, r#"{"Closed":{"layer":1024,"node":2}}"#);
    pinned(
        &Change::Named { branch: a(), name: "s".into(), layer: 1024 },
        r#"{"Named":{"branch":"a","name":"s","layer":1024}}"#,
    );
    pinned(
        &Change::Cloned { snapshot: s(), branch: "c".into() },
        r#"{"Cloned":{"snapshot":"a@s","branch":"c"}}"#,
    );
    pinned(
        &Change::RolledBack { branch: a(), snapshot: s() },
        r#"{"RolledBack":{"branch":"a","snapshot":"a@s"}}"#,
    );
    pinned(&Change::SnapshotDeleted { snapshot: s() }, r#"{"SnapshotDeleted":{"snapshot":"a@s"}}"#);
    pinned(&Change::BranchDeleted { branch: a() }, r#"{"BranchDeleted":{"branch":"a"}}"#);
    pinned(
        &Change::Freed { layer: 1024, extents: vec![3, 4] },
        r#"{"Freed":{"layer":1024,"extents":[3,4]}}"#,
    );
}

#[test]
fn parts_of_a_tree() {
    let layer = Layer {
        parent: Some(1024),
        frozen: true,
        places: [(3, Place { node: 2, number: 11 })].into(),
        opened: [3].into(),
        next_number: 64,
        closed: [1, 2].into(),
    };
    pinned(
        &layer,
        r#"{"parent":1024,"frozen":true,"places":{"3":{"node":2,"number":11}},"opened":[3],"next_number":64,"closed":[1,2]}"#,
    );
    pinned(
        &Branch { head: 1026, unit: 1025, extents: 8, origin: Some("a@s".into()) },
        r#"{"head":1026,"unit":1025,"extents":8,"origin":"a@s"}"#,
    );
    pinned(
        &Snapshot { branch: "a".into(), unit: 1025, layer: 1024, extents: 8 },
        r#"{"branch":"a","unit":1025,"layer":1024,"extents":8}"#,
    );
}

/// A tree with a snapshot, a clone and a first write after the cut.
fn tree() -> Tree {
    let mut tree = Tree::default();
    let place = |node, number| Place { node, number };
    for change in [
        Change::Made { branch: "a".into(), extents: 8 },
        Change::Numbers { layer: 1024, first: 0, count: 64 },
        Change::Placed { layer: 1024, extent: 3, place: place(2, 11) },
        Change::Opened { layer: 1024, extent: 3 },
        Change::Cut { branch: "a".into() },
        Change::Closed { layer: 1024, node: 2 },
        Change::Named { branch: "a".into(), name: "s".into(), layer: 1024 },
        Change::Cloned { snapshot: "a@s".into(), branch: "c".into() },
        Change::Numbers { layer: 1025, first: 0, count: 64 },
        Change::Placed { layer: 1025, extent: 3, place: place(0, 1) },
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
    let sent: Vec<String> = whole(7, &tree).map(|m| serde_json::to_string(&m).expect("plain data")).collect();
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
fn a_large_layer_is_sent_in_messages_of_a_thousand_places() {
    let mut tree = Tree::default();
    tree.apply(&Change::Made { branch: "a".into(), extents: 4_096 }).expect("fits");
    tree.apply(&Change::Numbers { layer: 1024, first: 0, count: 4_096 }).expect("fits");
    for extent in 0..2_001 {
        let place = Place { node: 0, number: extent };
        tree.apply(&Change::Placed { layer: 1024, extent, place }).expect("fits");
    }
    let sizes: Vec<usize> = whole(7, &tree)
        .filter_map(|m| match m {
            ToHost::Part { lies, .. } => Some(lies.len()),
            _ => None,
        })
        .collect();
    assert_eq!(sizes, [1_000, 1_000, 1]);
}

/// The texts that operators read on the control socket when a request is refused.
#[test]
fn refusals() {
    let mut tree = tree();
    let refused = |tree: &Tree, change: Change| tree.check(&change).expect_err("refused").to_string();
    let made = |branch: &str| Change::Made { branch: branch.into(), extents: 8 };
    assert_eq!(refused(&tree, Change::Cut { branch: "x".into() }), "`x`: no such volume or clone");
    assert_eq!(refused(&tree, Change::SnapshotDeleted { snapshot: "x".into() }), "`x`: no such snapshot");
    assert_eq!(refused(&tree, made("a")), "`a`: the name is in use");
    assert_eq!(refused(&tree, made("a/b")), "`a/b`: expected 1 to 64 letters, digits and -_.");
    assert_eq!(refused(&tree, Change::Closed { layer: 9, node: 0 }), "layer 9: no such layer");
    assert_eq!(refused(&tree, Change::Opened { layer: 1024, extent: 3 }), "layer 1024: takes no new places");
    let place = Place { node: 1, number: 2 };
    let placed = |extent| Change::Placed { layer: 1025, extent, place };
    assert_eq!(refused(&tree, placed(3)), "the extent lies at node 0, place 1");
    assert_eq!(refused(&tree, placed(8)), "past the end");
    assert_eq!(refused(&tree, Change::BranchDeleted { branch: "a".into() }), "`a@s`: still in use");
    let text = serde_json::to_string(&tree).expect("plain data").replace(r#""made":3"#, r#""made":16776192"#);
    tree = serde_json::from_str(&text).expect("a tree");
    assert_eq!(refused(&tree, made("d")), "no layer numbers are left");
    let text = text.replace(r#""made":16776192"#, r#""made":16776191"#);
    tree = serde_json::from_str(&text).expect("a tree");
    assert_eq!(tree.check(&made("d")), Ok(()));
}
