//! Guards against changes of the stored format. Catalog files that earlier releases wrote must open with the state that
//! was stored, take further changes, and keep the layout of their tables.
//!
//! `format-1.redb` was written by the last release that stored a full tree and a log (commit 7f43adc): it holds the
//! tree after 4,097 changes, and a log of seven more. `format-2.redb` was written by an earlier release that stored
//! rows (commit 01f3988).
use mallowseam_cow::tree::{Change, Location, Tree};
use mallowseam_snapshot_catalog::Catalog;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::path::{Path, PathBuf};

const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");
const COUNTERS: TableDefinition<&str, u64> = TableDefinition::new("counts");
const LAYERS: TableDefinition<u32, &[u8]> = TableDefinition::new("layers");
const LOCATIONS: TableDefinition<(u32, u32), (u32, u32, bool)> = TableDefinition::new("places");
const BRANCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("branches");
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshots");

const FORMAT_1_TREE: &str = r#"{"version":4104,"layers":{"1024":{"parent":null,"frozen":true,"places":{"7":{"node":2,"number":11},"9":{"node":0,"number":12}},"opened":[7],"next_number":4095,"closed":[0,2]},"1025":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1026":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"audit":{"head":1026,"unit":1026,"extents":4096,"origin":"ledger@march"},"ledger":{"head":1025,"unit":1024,"extents":4096,"origin":null}},"snapshots":{"ledger@march":{"branch":"ledger","unit":1025,"layer":1024,"extents":4096}},"made":3,"units":3}"#;
const FORMAT_2_TREE: &str = r#"{"version":23,"layers":{"1024":{"parent":null,"frozen":true,"places":{"7":{"node":2,"number":11},"9":{"node":0,"number":12}},"opened":[7,9],"next_number":64,"closed":[0,2]},"1025":{"parent":null,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1026":{"parent":1024,"frozen":true,"places":{"4095":{"node":2,"number":4}},"opened":[],"next_number":64,"closed":[1,2]},"1027":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]},"1028":{"parent":1026,"frozen":true,"places":{},"opened":[],"next_number":0,"closed":[]},"1029":{"parent":1024,"frozen":false,"places":{},"opened":[],"next_number":0,"closed":[]}},"branches":{"audit":{"head":1027,"unit":1027,"extents":4096,"origin":"ledger@march"},"ledger":{"head":1029,"unit":1024,"extents":4096,"origin":null},"mail":{"head":1025,"unit":1025,"extents":64,"origin":null}},"snapshots":{"ledger@march":{"branch":"ledger","unit":1026,"layer":1024,"extents":4096}},"made":6,"units":5}"#;
const FORMAT_2_ID: u64 = 13_002_922_069_914_875_137;

/// Copies a fixture to a file that a test may write to, and returns the path of that file.
fn copy_fixture(dir: &Path, fixture: &str) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    let path = dir.join("catalog");
    std::fs::copy(from, &path).expect("fixture is copied");
    path
}

fn json(tree: &Tree) -> String {
    serde_json::to_string(tree).expect("tree is JSON")
}

fn commit(catalog: &mut Catalog, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        catalog.stage(change).expect("change fits the tree");
    }
    catalog.commit().expect("changes are committed");
}

/// Returns the keys and values of a table of JSON records, as text.
fn text_rows(db: &Database, table: TableDefinition<&str, &[u8]>) -> Vec<(String, String)> {
    let read = db.begin_read().expect("transaction begins");
    let rows = read.open_table(table).expect("table exists");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("value is JSON");
    rows.iter()
        .expect("table is readable")
        .map(|row| row.expect("row is readable"))
        .map(|(key, value)| (key.value().to_owned(), text(value.value())))
        .collect()
}

/// Returns the keys and values of a table of numbers.
fn number_rows(db: &Database, table: TableDefinition<&str, u64>) -> Vec<(String, u64)> {
    let read = db.begin_read().expect("transaction begins");
    let rows = read.open_table(table).expect("table exists");
    rows.iter()
        .expect("table is readable")
        .map(|row| row.expect("row is readable"))
        .map(|(key, value)| (key.value().to_owned(), value.value()))
        .collect()
}

/// Returns the names of all tables, sorted.
fn table_names(db: &Database) -> Vec<String> {
    let read = db.begin_read().expect("transaction begins");
    let mut names: Vec<String> = read
        .list_tables()
        .expect("tables are readable")
        .map(|table| table.name().to_owned())
        .collect();
    names.sort();
    names
}

fn row(key: &str, value: &str) -> (String, String) {
    (key.to_owned(), value.to_owned())
}

/// Checks that a file has the tables and the format number of format 2.
fn check_format_2(db: &Database) {
    assert_eq!(
        table_names(db),
        [
            "branches",
            "counts",
            "format",
            "layers",
            "places",
            "snapshots"
        ]
    );
    assert_eq!(number_rows(db, FORMATS), [("catalog".to_owned(), 2)]);
}

/// Checks all rows of the catalog of `FORMAT_2_TREE`, after the further changes of
/// `stored_catalog_opens_takes_changes_and_keeps_its_layout`.
fn check_rows(path: &Path) {
    let db = Database::open(path).expect("database is opened");
    check_format_2(&db);
    let counters = [
        ("catalog", FORMAT_2_ID),
        ("made", 7),
        ("units", 6),
        ("version", 27),
    ];
    assert_eq!(
        number_rows(&db, COUNTERS),
        counters.map(|(name, value)| (name.to_owned(), value))
    );
    let read = db.begin_read().expect("transaction begins");
    let layers = read.open_table(LAYERS).expect("table exists");
    let layers: Vec<(u32, String)> = layers
        .iter()
        .expect("table is readable")
        .map(|row| row.expect("row is readable"))
        .map(|(id, value)| {
            (
                id.value(),
                String::from_utf8(value.value().to_vec()).expect("value is JSON"),
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
    let locations = read.open_table(LOCATIONS).expect("table exists");
    let locations: Vec<_> = locations
        .iter()
        .expect("table is readable")
        .map(|row| row.expect("row is readable"))
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
    assert_eq!(text_rows(&db, BRANCHES), branches);
    let march = r#"{"branch":"ledger","unit":1026,"layer":1024,"extents":4096}"#;
    assert_eq!(text_rows(&db, SNAPSHOTS), [row("ledger@march", march)]);
}

#[test]
fn stored_catalog_opens_takes_changes_and_keeps_its_layout() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = copy_fixture(dir.path(), "format-2.redb");
    let mut catalog = Catalog::open(&path).expect("catalog is opened");
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
    let catalog = Catalog::open(&path).expect("catalog is opened");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, FORMAT_2_ID));
}

#[test]
fn stored_catalog_of_format_1_is_converted() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = copy_fixture(dir.path(), "format-1.redb");
    assert_eq!(
        table_names(&Database::open(&path).expect("database is opened")),
        ["changes", "format", "tree"]
    );
    let mut catalog = Catalog::open(&path).expect("catalog is opened");
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
    let db = Database::open(&path).expect("database is opened");
    check_format_2(&db);
    drop(db);
    let catalog = Catalog::open(&path).expect("catalog is opened");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, id));
}

#[test]
fn unknown_format_and_missing_counter_are_errors() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = copy_fixture(dir.path(), "format-2.redb");
    let set_or_remove = |name: &str, value: Option<u64>, table: TableDefinition<&str, u64>| {
        let db = Database::open(&path).expect("database is opened");
        let write = db.begin_write().expect("transaction begins");
        match value {
            Some(value) => drop(
                write
                    .open_table(table)
                    .expect("table exists")
                    .insert(name, value)
                    .expect("row is inserted"),
            ),
            None => drop(
                write
                    .open_table(table)
                    .expect("table exists")
                    .remove(name)
                    .expect("row is removed"),
            ),
        }
        write.commit().expect("rows are committed");
    };
    let error = || {
        Catalog::open(&path)
            .expect_err("catalog is not opened")
            .to_string()
    };
    set_or_remove("catalog", Some(3), FORMATS);
    assert_eq!(error(), "catalog store is damaged: format 3, expected 2");
    set_or_remove("catalog", Some(2), FORMATS);
    set_or_remove("units", None, COUNTERS);
    assert_eq!(
        error(),
        "catalog store is damaged: counter `units` is missing"
    );
    set_or_remove("units", Some(5), COUNTERS);
    assert_eq!(
        json(Catalog::open(&path).expect("catalog is opened").tree()),
        FORMAT_2_TREE
    );
}

#[test]
fn last_4_096_changes_are_retained() {
    let dir = tempfile::tempdir().expect("directory is created");
    let mut catalog = Catalog::open(&dir.path().join("catalog")).expect("catalog is created");
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
    let retained: Vec<(u64, &Change)> = catalog
        .changes_since(5)
        .expect("changes are retained")
        .collect();
    assert_eq!(retained.len(), 4_096);
    assert_eq!(
        retained[0],
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
