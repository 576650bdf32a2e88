//! Power lost at every write of the catalog: what was acknowledged is there, and nothing else.
use mallowseam_cow::tree::{Change, Location, Tree};
use mallowseam_durable_store::testing::{Call, RecordingBackend, apply_call};
use mallowseam_snapshot_catalog::Catalog;

/// Bytes that a disk writes at once.
const SECTOR: usize = 512;

/// The tree that was acknowledged once so many calls had been made on the storage.
struct Acknowledged {
    calls: usize,
    tree: Tree,
}

fn reopen(contents: Vec<u8>) -> Result<Tree, String> {
    let backend = RecordingBackend::with_contents(contents);
    let catalog = Catalog::open_with_backend(backend).map_err(|e| e.to_string())?;
    Ok(catalog.tree().clone())
}

/// Batches of changes as they come up in use: volumes, first writes, snapshots, a clone, a deletion, and two changes
/// that name the same layers.
fn batches() -> Vec<Vec<Change>> {
    let created = |branch: &str| Change::BranchCreated {
        branch: branch.into(),
        extent_count: 8,
    };
    let placed = |layer, extent, slot| {
        let location = Location {
            node: extent % 3,
            slot,
        };
        vec![
            Change::ExtentPlaced {
                layer,
                extent,
                location,
            },
            Change::ExtentWritable { layer, extent },
        ]
    };
    let freeze = || vec![Change::HeadFrozen { branch: "a".into() }];
    let close = |layer| {
        (0..3)
            .map(|node| Change::LayerClosed { layer, node })
            .collect::<Vec<_>>()
    };
    let snapshot = |name: &str, layer| {
        vec![Change::SnapshotCreated {
            branch: "a".into(),
            name: name.into(),
            layer,
        }]
    };
    let mut batches = vec![vec![created("a"), created("b")]];
    batches.push(vec![Change::SlotsAllocated {
        layer: 1024,
        first: 0,
        count: 8,
    }]);
    batches.extend((0..4).map(|extent| placed(1024, extent, extent)));
    batches.extend([freeze(), close(1024), snapshot("march", 1024)]);
    batches.push(vec![Change::SlotsAllocated {
        layer: 1026,
        first: 0,
        count: 8,
    }]);
    batches.extend((1..3).map(|extent| placed(1026, extent, extent)));
    batches.push(vec![Change::CloneCreated {
        snapshot: "a@march".into(),
        branch: "c".into(),
    }]);
    batches.extend([freeze(), close(1026), snapshot("april", 1026)]);
    batches.push(vec![Change::SnapshotDeleted {
        snapshot: "a@april".into(),
    }]);
    batches
}

fn commit(catalog: &mut Catalog, changes: Vec<Change>) {
    for change in changes {
        catalog.stage(change).expect("fits");
    }
    catalog.commit().expect("written");
}

/// Commits all batches. Returns the storage, and what was acknowledged when.
fn recorded() -> (RecordingBackend, Vec<Acknowledged>) {
    let backend = RecordingBackend::default();
    let mut catalog = Catalog::open_with_backend(backend.clone()).expect("a new catalog");
    let mut acknowledged = vec![Acknowledged {
        calls: backend.calls().len(),
        tree: Tree::default(),
    }];
    for changes in batches() {
        commit(&mut catalog, changes);
        acknowledged.push(Acknowledged {
            calls: backend.calls().len(),
            tree: catalog.tree().clone(),
        });
    }
    (backend, acknowledged)
}

/// The trees that may be there after a crash when so many calls had been made: the last one acknowledged, or the one
/// that was being committed.
fn allowed(acknowledged: &[Acknowledged], calls: usize) -> Vec<&Tree> {
    let done = acknowledged
        .iter()
        .rposition(|a| a.calls <= calls)
        .unwrap_or(0);
    acknowledged[done..(done + 2).min(acknowledged.len())]
        .iter()
        .map(|a| &a.tree)
        .collect()
}

fn check(acknowledged: &[Acknowledged], calls: usize, contents: Vec<u8>, how: &str) {
    let opened = acknowledged[0].calls;
    match reopen(contents) {
        Ok(tree) => {
            let fits = allowed(acknowledged, calls).contains(&&tree);
            assert!(fits, "{how}: version {} after {calls} calls", tree.version);
        }
        // Before the new catalog was first complete, there is nothing to lose.
        Err(e) => assert!(calls < opened, "{how}, {calls} calls: {e}"),
    }
}

#[test]
fn torn_write_reopens_to_what_was_acknowledged() {
    let (backend, acknowledged) = recorded();
    let calls = backend.calls();
    let mut contents = Vec::new();
    let mut torn = 0;
    for (index, call) in calls.iter().enumerate() {
        if let Call::Write { offset, data } = call {
            // Torn at each sector, and at odd offsets within the first.
            let lengths = (0..data.len())
                .step_by(SECTOR)
                .chain([1, 7, 63, 200])
                .filter(|c| *c < data.len());
            for length in lengths {
                let mut half = contents.clone();
                apply_call(
                    &mut half,
                    &Call::Write {
                        offset: *offset,
                        data: data[..length].to_vec(),
                    },
                );
                check(
                    &acknowledged,
                    index,
                    half,
                    &format!("write {index} torn at {length}"),
                );
                torn += 1;
            }
        }
        apply_call(&mut contents, call);
        check(
            &acknowledged,
            index + 1,
            contents.clone(),
            "cut between calls",
        );
    }
    assert!(
        calls.len() > 100 && torn > 300,
        "{} calls, {torn} torn",
        calls.len()
    );
}

#[test]
fn lost_unsynced_writes_reopen_to_what_was_acknowledged() {
    let (backend, acknowledged) = recorded();
    let mut synced = Vec::new();
    let mut unsynced: Vec<Call> = Vec::new();
    for (index, call) in backend.calls().iter().enumerate() {
        if !matches!(call, Call::Sync) {
            unsynced.push(call.clone());
            continue;
        }
        // A disk may have taken any one of the unsynced writes, or all but one, when power was lost.
        for one in 0..unsynced.len() {
            for only_one in [true, false] {
                let mut contents = synced.clone();
                let taken = unsynced.iter().enumerate();
                let taken =
                    taken.filter(|(i, c)| (*i == one) == only_one || matches!(c, Call::Resize(_)));
                taken.for_each(|(_, c)| apply_call(&mut contents, c));
                check(
                    &acknowledged,
                    index,
                    contents,
                    &format!("unsynced {one}, only one {only_one}"),
                );
            }
        }
        unsynced.drain(..).for_each(|c| apply_call(&mut synced, &c));
    }
}

#[test]
fn file_reopens_as_committed_and_recent_changes_are_known_until_then() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("catalog");
    let mut catalog = Catalog::open(&path).expect("new");
    for changes in batches() {
        commit(&mut catalog, changes);
    }
    let (tree, id) = (catalog.tree().clone(), catalog.id());
    let mut replayed = Tree::default();
    for (version, change) in catalog.changes_since(0).expect("few changes") {
        replayed.apply(change).expect("fits");
        assert_eq!(replayed.version, version);
    }
    assert_eq!(replayed, tree);
    drop(catalog);
    let catalog = Catalog::open(&path).expect("there");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, id));
    assert_eq!(
        catalog
            .changes_since(tree.version)
            .expect("nothing is missing")
            .count(),
        0
    );
    assert!(
        catalog.changes_since(tree.version - 1).is_none(),
        "not known any more"
    );
    assert!(
        catalog.changes_since(tree.version + 1).is_none(),
        "not a version of this catalog"
    );
    let other = Catalog::open_with_backend(RecordingBackend::default()).expect("new");
    assert_ne!(id, other.id());
}

#[test]
fn rejected_change_leaves_the_catalog_unchanged() {
    let backend = RecordingBackend::default();
    let mut catalog = Catalog::open_with_backend(backend.clone()).expect("new");
    let created = Change::BranchCreated {
        branch: "a".into(),
        extent_count: 8,
    };
    catalog.stage(created.clone()).expect("fits");
    assert!(catalog.stage(created).is_err());
    assert_eq!(
        (catalog.tree().version, catalog.committed_version()),
        (1, 0)
    );
    assert_eq!(reopen(backend.contents()).expect("valid").version, 0);
    catalog.commit().expect("written");
    assert_eq!(reopen(backend.contents()).expect("valid"), *catalog.tree());
}

#[test]
fn format_1_is_converted_from_its_tree_and_log() {
    let backend = RecordingBackend::default();
    let mut tree = Tree::default();
    {
        let db = redb::Builder::new()
            .create_with_backend(backend.clone())
            .expect("new");
        let write = db.begin_write().expect("open");
        {
            let table = |name| redb::TableDefinition::<u64, &[u8]>::new(name);
            let formats = redb::TableDefinition::<&str, u64>::new("format");
            write
                .open_table(formats)
                .expect("new")
                .insert("catalog", 1)
                .expect("fits");
            let mut log = write.open_table(table("changes")).expect("new");
            let mut base = write.open_table(table("tree")).expect("new");
            for (i, change) in batches().into_iter().flatten().enumerate() {
                tree.apply(&change).expect("fits");
                let bytes = serde_json::to_vec(&change).expect("plain data");
                log.insert(tree.version, bytes.as_slice()).expect("fits");
                if i == 7 {
                    let bytes = serde_json::to_vec(&tree).expect("plain data");
                    base.insert(tree.version, bytes.as_slice()).expect("fits");
                }
            }
        }
        write.commit().expect("written");
    }
    assert_eq!(reopen(backend.contents()).expect("converted"), tree);
}
