//! Catalog files written by earlier releases: they open with the state that was stored, take further changes,
//! and keep the layout of their tables.
//!
//! `format-1.redb` was written by the release before the catalog was stored in rows (commit 7f43adc): a whole tree
//! after 4,097 changes and a log of seven more. `format-2.redb` was written before the code was restructured
//! (commit 01f3988).
use mallowseam_cow::tree::{Change, Location, Tree};
use mallowseam_snapshot_catalog::Catalog;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::path::{Path, PathBuf};

const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");
const COUNTS: TableDefinition<&str, u64> = TableDefinition::new("counts");
const LAYERS: TableDefinition<u32, &[u8]> = TableDefinition::new("layers");
const LOCATIONS: TableDefinition<(u32, u32), (u32, u32, bool)> = TableDefinition::new("places");
const BRANCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("branches");
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshots");

const FORMAT_1_TREE: &str = r#"{"version":4104,"layers":{"1024":{"parent":null,"frozen":true,"places":{"7":{"node":2,"number":11},"9":{"node":0,"number":12}},"opened":[7],"next_number":4095,"closed":[0,2]},"1025":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1026":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"audit":{"head":1026,"unit":1026,"extents":4096,"origin":"ledger@march"},"ledger":{"head":1025,"unit":1024,"extents":4096,"origin":null}},"snapshots":{"ledger@march":{"branch":"ledger","unit":1025,"layer":1024,"extents":4096}},"made":3,"units":3}"#;
const FORMAT_2_TREE: &str = r#"{"version":23,"layers":{"1024":{"parent":null,"frozen":true,"places":{"7":{"node":2,"number":11},"9":{"node":0,"number":12}},"opened":[7,9],"next_number":64,"closed":[0,2]},"1025":{"parent":null,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1026":{"parent":1024,"frozen":true,"places":{"4095":{"node":2,"number":4}},"opened":[],"next_number":64,"closed":[1,2]},"1027":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1028":{"parent":1026,"frozen":true,"places":{},"opened":[],"next_number":0,"closed":[]},"1029":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"audit":{"head":1027,"unit":1027,"extents":4096,"origin":"ledger@march"},"ledger":{"head":1029,"unit":1024,"extents":4096,"origin":null},"mail":{"head":1025,"unit":1025,"extents":64,"origin":null}},"snapshots":{"ledger@march":{"branch":"ledger","unit":1026,"layer":1024,"extents":4096}},"made":6,"units":5}"#;
const FORMAT_2_ID: u64 = 13_002_922_069_914_875_137;

/// A copy of a fixture that a test may write to.
fn copy(dir: &Path, fixture: &str) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    let path = dir.join("catalog");
    std::fs::copy(from, &path).expect("a copy");
    path
}

fn json(tree: &Tree) -> String {
    serde_json::to_string(tree).expect("plain data")
}

fn commit(catalog: &mut Catalog, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        catalog.stage(change).expect("fits");
    }
    catalog.commit().expect("kept");
}

/// Rows of a table as text: key and value.
fn bytes(db: &Database, table: TableDefinition<&str, &[u8]>) -> Vec<(String, String)> {
    let read = db.begin_read().expect("open");
    let rows = read.open_table(table).expect("there");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("JSON");
    rows.iter()
        .expect("rows")
        .map(|row| row.expect("a row"))
        .map(|(key, value)| (key.value().to_owned(), text(value.value())))
        .collect()
}

fn numbers(db: &Database, table: TableDefinition<&str, u64>) -> Vec<(String, u64)> {
    let read = db.begin_read().expect("open");
    let rows = read.open_table(table).expect("there");
    rows.iter()
        .expect("rows")
        .map(|row| row.expect("a row"))
        .map(|(key, value)| (key.value().to_owned(), value.value()))
        .collect()
}

fn tables(db: &Database) -> Vec<String> {
    let read = db.begin_read().expect("open");
    let mut names: Vec<String> = read
        .list_tables()
        .expect("tables")
        .map(|table| table.name().to_owned())
        .collect();
    names.sort();
    names
}

fn row(key: &str, value: &str) -> (String, String) {
    (key.to_owned(), value.to_owned())
}

/// The tables and the format number of a file of format 2.
fn check_format_2(db: &Database) {
    assert_eq!(
        tables(db),
        [
            "branches",
            "counts",
            "format",
            "layers",
            "places",
            "snapshots"
        ]
    );
    assert_eq!(numbers(db, FORMATS), [("catalog".to_owned(), 2)]);
}

/// The layout of a stored catalog after the same changes as `FORMAT_2_TREE` and those of the test below.
fn check_rows(path: &Path) {
    let db = Database::open(path).expect("there");
    check_format_2(&db);
    let counts = [
        ("catalog", FORMAT_2_ID),
        ("made", 7),
        ("units", 6),
        ("version", 27),
    ];
    assert_eq!(
        numbers(&db, COUNTS),
        counts.map(|(name, value)| (name.to_owned(), value))
    );
    let read = db.begin_read().expect("open");
    let layers = read.open_table(LAYERS).expect("there");
    let layers: Vec<(u32, String)> = layers
        .iter()
        .expect("rows")
        .map(|row| row.expect("a row"))
        .map(|(id, value)| {
            (
                id.value(),
                String::from_utf8(value.value().to_vec()).expect("JSON"),
            )
        })
        .collect();
    let expected = [
        (1024, "[null,true,64,[0,2]]"),
        (1025, "[null,false,0,[]]"),
        (1026, "[1024,true,64,[1,2]]"),
        (1027, "[1024,false,0,[]]"),
        (1028, "[1026,true,0,[]]"),
        (1029, "[1024,false,64,[]]"),
        (1030, "[null,false,0,[]]"),
    ];
    assert_eq!(layers, expected.map(|(id, value)| (id, value.to_owned())));
    let locations = read.open_table(LOCATIONS).expect("there");
    let locations: Vec<_> = locations
        .iter()
        .expect("rows")
        .map(|row| row.expect("a row"))
        .map(|(key, value)| (key.value(), value.value()))
        .collect();
    let expected = [
        ((1024, 7), (2, 11, true)),
        ((1024, 9), (0, 12, true)),
        ((1026, 4_095), (2, 4, false)),
        ((1029, 9), (1, 5, true)),
    ];
    assert_eq!(locations, expected);
    let branches = [
        row(
            "audit",
            r#"{"head":1027,"unit":1027,"extents":4096,"origin":"ledger@march"}"#,
        ),
        row(
            "ledger",
            r#"{"head":1029,"unit":1024,"extents":4096,"origin":null}"#,
        ),
        row(
            "mail",
            r#"{"head":1025,"unit":1025,"extents":64,"origin":null}"#,
        ),
        row(
            "spare",
            r#"{"head":1030,"unit":1029,"extents":16,"origin":null}"#,
        ),
    ];
    assert_eq!(bytes(&db, BRANCHES), branches);
    let march = r#"{"branch":"ledger","unit":1026,"layer":1024,"extents":4096}"#;
    assert_eq!(bytes(&db, SNAPSHOTS), [row("ledger@march", march)]);
}

#[test]
fn stored_catalog_opens_takes_changes_and_keeps_its_layout() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = copy(dir.path(), "format-2.redb");
    let mut catalog = Catalog::open(&path).expect("valid");
    assert_eq!(
        (catalog.id(), catalog.committed_version()),
        (FORMAT_2_ID, 23)
    );
    assert_eq!(json(catalog.tree()), FORMAT_2_TREE);
    commit(
        &mut catalog,
        [
            Change::SlotsAllocated {
                layer: 1029,
                first: 0,
                count: 64,
            },
            Change::ExtentPlaced {
                layer: 1029,
                extent: 9,
                location: Location { node: 1, slot: 5 },
            },
            Change::ExtentWritable {
                layer: 1029,
                extent: 9,
            },
            Change::BranchCreated {
                branch: "spare".into(),
                extent_count: 16,
            },
        ],
    );
    let tree = catalog.tree().clone();
    drop(catalog);
    check_rows(&path);
    let catalog = Catalog::open(&path).expect("valid");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, FORMAT_2_ID));
}

#[test]
fn stored_catalog_of_format_1_is_converted() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = copy(dir.path(), "format-1.redb");
    assert_eq!(
        tables(&Database::open(&path).expect("there")),
        ["changes", "format", "tree"]
    );
    let mut catalog = Catalog::open(&path).expect("valid");
    assert_eq!(catalog.committed_version(), 4_104);
    assert_eq!(json(catalog.tree()), FORMAT_1_TREE);
    let id = catalog.id();
    commit(
        &mut catalog,
        [Change::SnapshotDeleted {
            snapshot: "ledger@march".into(),
        }],
    );
    let tree = catalog.tree().clone();
    drop(catalog);
    let db = Database::open(&path).expect("there");
    check_format_2(&db);
    drop(db);
    let catalog = Catalog::open(&path).expect("valid");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, id));
}

#[test]
fn unknown_format_and_missing_counter_are_errors() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = copy(dir.path(), "format-2.redb");
    let set = |name: &str, value: Option<u64>, table: TableDefinition<&str, u64>| {
        let db = Database::open(&path).expect("there");
        let write = db.begin_write().expect("open");
        match value {
            Some(value) => drop(
                write
                    .open_table(table)
                    .expect("there")
                    .insert(name, value)
                    .expect("fits"),
            ),
            None => drop(
                write
                    .open_table(table)
                    .expect("there")
                    .remove(name)
                    .expect("there"),
            ),
        }
        write.commit().expect("kept");
    };
    let why = || Catalog::open(&path).expect_err("refused").to_string();
    set("catalog", Some(3), FORMATS);
    assert_eq!(why(), "catalog store is damaged: format 3, expected 2");
    set("catalog", Some(2), FORMATS);
    set("units", None, COUNTS);
    assert_eq!(why(), "catalog store is damaged: no count `units`");
    set("units", Some(5), COUNTS);
    assert_eq!(
        json(Catalog::open(&path).expect("valid").tree()),
        FORMAT_2_TREE
    );
}

#[test]
fn last_4_096_changes_are_retained() {
    let dir = tempfile::tempdir().expect("a directory");
    let mut catalog = Catalog::open(&dir.path().join("catalog")).expect("new");
    commit(
        &mut catalog,
        [Change::BranchCreated {
            branch: "a".into(),
            extent_count: 8,
        }],
    );
    commit(
        &mut catalog,
        (0..4_100).map(|n| Change::SlotsAllocated {
            layer: 1024,
            first: n,
            count: 1,
        }),
    );
    assert_eq!(catalog.committed_version(), 4_101);
    assert!(catalog.changes_since(4).is_none());
    let missed: Vec<(u64, &Change)> = catalog.changes_since(5).expect("retained").collect();
    assert_eq!(missed.len(), 4_096);
    assert_eq!(
        missed[0],
        (
            6,
            &Change::SlotsAllocated {
                layer: 1024,
                first: 4,
                count: 1
            }
        )
    );
}
