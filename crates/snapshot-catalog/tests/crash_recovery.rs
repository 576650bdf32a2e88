//! Guards against lost or half-written changes after a power loss. The calls of the catalog on its storage are
//! recorded, and the contents of a disk that loses power at any of them are reopened: the catalog must hold the last
//! acknowledged tree, or the tree that was being committed.
use mallowseam_cow::tree::{Change, Location, Tree};
use mallowseam_durable_store::testing::{Call, RecordingBackend, apply_call};
use mallowseam_snapshot_catalog::Catalog;

/// Number of bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A tree that was acknowledged, and the number of calls that had been made on the storage by then.
struct Acknowledged {
    call_count: usize,
    tree: Tree,
}

/// Opens a catalog on these contents of a storage and returns its tree.
fn reopen(contents: Vec<u8>) -> Result<Tree, String> {
    let backend = RecordingBackend::with_contents(contents);
    let catalog = Catalog::open_with_backend(backend).map_err(|e| e.to_string())?;
    Ok(catalog.tree().clone())
}

/// Returns batches of changes as they occur in use: volumes, first writes, snapshots, a clone, a deletion, and two
/// changes of the same layers.
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
        catalog.stage(change).expect("change fits the tree");
    }
    catalog.commit().expect("changes are committed");
}

/// Commits all batches. Returns the storage, and the trees that were acknowledged, in order.
fn commit_all_batches() -> (RecordingBackend, Vec<Acknowledged>) {
    let backend = RecordingBackend::default();
    let mut catalog = Catalog::open_with_backend(backend.clone()).expect("catalog is created");
    let mut acknowledged = vec![Acknowledged {
        call_count: backend.calls().len(),
        tree: Tree::default(),
    }];
    for changes in batches() {
        commit(&mut catalog, changes);
        acknowledged.push(Acknowledged {
            call_count: backend.calls().len(),
            tree: catalog.tree().clone(),
        });
    }
    (backend, acknowledged)
}

/// Returns the trees that may be stored after a crash that follows `call_count` calls: the last acknowledged tree, or
/// the tree that was being committed.
fn allowed_trees(acknowledged: &[Acknowledged], call_count: usize) -> Vec<&Tree> {
    let last = acknowledged
        .iter()
        .rposition(|entry| entry.call_count <= call_count)
        .unwrap_or(0);
    acknowledged[last..(last + 2).min(acknowledged.len())]
        .iter()
        .map(|entry| &entry.tree)
        .collect()
}

/// Checks that the contents of a storage after a crash reopen to an allowed tree. `crash`: description of the crash.
fn check(acknowledged: &[Acknowledged], call_count: usize, contents: Vec<u8>, crash: &str) {
    let created_at = acknowledged[0].call_count;
    match reopen(contents) {
        Ok(tree) => {
            let is_allowed = allowed_trees(acknowledged, call_count).contains(&&tree);
            assert!(
                is_allowed,
                "{crash}: reopened to version {} after {call_count} calls",
                tree.version
            );
        }
        // Until the new catalog is created completely, no change can be lost.
        Err(e) => assert!(
            call_count < created_at,
            "{crash}: not reopened after {call_count} calls: {e}"
        ),
    }
}

#[test]
fn catalog_with_a_torn_write_reopens_to_an_acknowledged_tree() {
    let (backend, acknowledged) = commit_all_batches();
    let calls = backend.calls();
    let mut contents = Vec::new();
    let mut torn_count = 0;
    for (index, call) in calls.iter().enumerate() {
        if let Call::Write { offset, data } = call {
            // The write is torn at each sector, and at some offsets within the first sector.
            let lengths = (0..data.len())
                .step_by(SECTOR_BYTES)
                .chain([1, 7, 63, 200])
                .filter(|length| *length < data.len());
            for length in lengths {
                let mut torn_contents = contents.clone();
                apply_call(
                    &mut torn_contents,
                    &Call::Write {
                        offset: *offset,
                        data: data[..length].to_vec(),
                    },
                );
                check(
                    &acknowledged,
                    index,
                    torn_contents,
                    &format!("write {index} torn after {length} bytes"),
                );
                torn_count += 1;
            }
        }
        apply_call(&mut contents, call);
        check(
            &acknowledged,
            index + 1,
            contents.clone(),
            "power lost between calls",
        );
    }
    assert!(
        calls.len() > 100 && torn_count > 300,
        "too few cases: {} calls, {torn_count} torn writes",
        calls.len()
    );
}

#[test]
fn catalog_without_some_unsynced_writes_reopens_to_an_acknowledged_tree() {
    let (backend, acknowledged) = commit_all_batches();
    let mut synced = Vec::new();
    let mut unsynced: Vec<Call> = Vec::new();
    for (index, call) in backend.calls().iter().enumerate() {
        if !matches!(call, Call::Sync) {
            unsynced.push(call.clone());
            continue;
        }
        // When power is lost, a disk may have stored any one of the unsynced writes, or all but one.
        for chosen in 0..unsynced.len() {
            for only_chosen in [true, false] {
                let mut contents = synced.clone();
                let stored = unsynced.iter().enumerate();
                let stored = stored.filter(|(index, call)| {
                    (*index == chosen) == only_chosen || matches!(call, Call::Resize(_))
                });
                stored.for_each(|(_, call)| apply_call(&mut contents, call));
                check(
                    &acknowledged,
                    index,
                    contents,
                    &format!("unsynced write {chosen}, only that one stored: {only_chosen}"),
                );
            }
        }
        unsynced
            .drain(..)
            .for_each(|call| apply_call(&mut synced, &call));
    }
}

#[test]
fn file_reopens_as_committed_and_recent_changes_are_retained_until_then() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = dir.path().join("catalog");
    let mut catalog = Catalog::open(&path).expect("catalog is created");
    for changes in batches() {
        commit(&mut catalog, changes);
    }
    let (tree, id) = (catalog.tree().clone(), catalog.id());
    let mut replayed = Tree::default();
    for (version, change) in catalog.changes_since(0).expect("changes are retained") {
        replayed.apply(change).expect("change fits the tree");
        assert_eq!(replayed.version, version);
    }
    assert_eq!(replayed, tree);
    drop(catalog);
    let catalog = Catalog::open(&path).expect("catalog is reopened");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, id));
    assert_eq!(
        catalog
            .changes_since(tree.version)
            .expect("no change is missing")
            .count(),
        0
    );
    assert!(
        catalog.changes_since(tree.version - 1).is_none(),
        "the change was not retained"
    );
    assert!(
        catalog.changes_since(tree.version + 1).is_none(),
        "the version is not one of this catalog"
    );
    let other =
        Catalog::open_with_backend(RecordingBackend::default()).expect("catalog is created");
    assert_ne!(id, other.id());
}

#[test]
fn rejected_change_leaves_the_catalog_unchanged() {
    let backend = RecordingBackend::default();
    let mut catalog = Catalog::open_with_backend(backend.clone()).expect("catalog is created");
    let created = Change::BranchCreated {
        branch: "a".into(),
        extent_count: 8,
    };
    catalog
        .stage(created.clone())
        .expect("change fits the tree");
    assert!(catalog.stage(created).is_err());
    assert_eq!(
        (catalog.tree().version, catalog.committed_version()),
        (1, 0)
    );
    assert_eq!(
        reopen(backend.contents())
            .expect("catalog is reopened")
            .version,
        0
    );
    catalog.commit().expect("changes are committed");
    assert_eq!(
        reopen(backend.contents()).expect("catalog is reopened"),
        *catalog.tree()
    );
}

#[test]
fn file_of_format_1_is_converted_from_its_tree_and_log() {
    let backend = RecordingBackend::default();
    let mut tree = Tree::default();
    {
        let db = redb::Builder::new()
            .create_with_backend(backend.clone())
            .expect("database is created");
        let write = db.begin_write().expect("transaction begins");
        {
            let table = |name| redb::TableDefinition::<u64, &[u8]>::new(name);
            let formats = redb::TableDefinition::<&str, u64>::new("format");
            write
                .open_table(formats)
                .expect("table is created")
                .insert("catalog", 1)
                .expect("row is inserted");
            let mut log = write
                .open_table(table("changes"))
                .expect("table is created");
            let mut full_trees = write.open_table(table("tree")).expect("table is created");
            for (i, change) in batches().into_iter().flatten().enumerate() {
                tree.apply(&change).expect("change fits the tree");
                let bytes = serde_json::to_vec(&change).expect("change is JSON");
                log.insert(tree.version, bytes.as_slice())
                    .expect("row is inserted");
                if i == 7 {
                    let bytes = serde_json::to_vec(&tree).expect("tree is JSON");
                    full_trees
                        .insert(tree.version, bytes.as_slice())
                        .expect("row is inserted");
                }
            }
        }
        write.commit().expect("rows are committed");
    }
    assert_eq!(
        reopen(backend.contents()).expect("catalog is converted"),
        tree
    );
}
