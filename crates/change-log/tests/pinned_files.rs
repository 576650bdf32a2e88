//! A store of plan changes written before the code was restructured (commit 01f3988): it opens with the state
//! that was stored, takes further changes, and keeps the layout of its tables.
use mallowseam_change_log::{CHECKPOINT_INTERVAL, ChangeLogStore};
use mallowseam_plans::state::Change;
use redb::{
    Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle, WriteTransaction,
};
use std::path::{Path, PathBuf};

const LINES: TableDefinition<u64, &str> = TableDefinition::new("lines");
const STATES: TableDefinition<u64, (&str, &str)> = TableDefinition::new("states");
const MEMBERS: TableDefinition<&str, ()> = TableDefinition::new("members");
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");

/// 1,026 lines: a plan, a volume that has it, and a second volume made and dropped by turns.
const STATE: &str = r#"{"version":1026,"plans":{"gold":{"usual":1000,"reserve":2000,"limit":9000,"burst":4000,"weight":5,"price":6}},"volumes":{"v":"gold"}}"#;
const LAST: &str = "293e07c91f2ca90184a8f4b6f553793efd35af065c8a995aeb7645544aac3dca";
const FIRST_LINE: &str = r#"{"version":1,"at":1700000000,"author":"a","reason":"b","change":{"Plan":{"name":"gold","figures":{"usual":1000,"reserve":2000,"limit":9000,"burst":4000,"weight":5,"price":6}}},"after":"0000000000000000000000000000000000000000000000000000000000000000"}"#;
const LINE_1_024: &str = r#"{"version":1024,"at":1700001023,"author":"a","reason":"b","change":{"VolumeGone":{"name":"w"}},"after":"fdac6473458c1a1ce3e65bff3de7733125ab02aca731fc2637e7e88651bc5c53"}"#;
const LINE_1_026: &str = r#"{"version":1026,"at":1700001025,"author":"a","reason":"b","change":{"VolumeGone":{"name":"w"}},"after":"c3e6a3cf571f76eeebb4d92986f728e36b80cb299c6487335e6707b6c61ae521"}"#;
/// Written by the test itself.
const LINE_1_027: &str = r#"{"version":1027,"at":1800000000,"author":"c","reason":"d","change":{"Volume":{"name":"x","plan":"gold"}},"after":"293e07c91f2ca90184a8f4b6f553793efd35af065c8a995aeb7645544aac3dca"}"#;

fn copy(dir: &Path) -> PathBuf {
    let path = dir.join("plans");
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/format-1.redb");
    std::fs::copy(from, &path).expect("a copy");
    path
}

fn state(store: &ChangeLogStore) -> String {
    serde_json::to_string(&store.log().state).expect("plain data")
}

/// The layout of the stored tables after the changes of the test below.
fn check_rows(path: &Path) {
    let db = Database::open(path).expect("there");
    let read = db.begin_read().expect("open");
    let mut tables: Vec<String> = read
        .list_tables()
        .expect("tables")
        .map(|table| table.name().to_owned())
        .collect();
    tables.sort();
    assert_eq!(tables, ["format", "lines", "members", "states"]);
    let formats = read.open_table(FORMATS).expect("there");
    assert_eq!(
        formats.get("plans").expect("a row").map(|f| f.value()),
        Some(1)
    );
    let lines = read.open_table(LINES).expect("there");
    let line = |version| {
        lines
            .get(version)
            .expect("a row")
            .map(|l| l.value().to_owned())
    };
    assert_eq!(line(1).as_deref(), Some(FIRST_LINE));
    assert_eq!(line(1_024).as_deref(), Some(LINE_1_024));
    assert_eq!(line(1_027).as_deref(), Some(LINE_1_027));
    assert_eq!(line(1_028), None);
    let states = read.open_table(STATES).expect("there");
    let rows: Vec<u64> = states
        .iter()
        .expect("rows")
        .map(|r| r.expect("a row").0.value())
        .collect();
    assert_eq!(rows, [CHECKPOINT_INTERVAL]);
    let row = states
        .get(CHECKPOINT_INTERVAL)
        .expect("a row")
        .expect("a state");
    let expected = STATE.replace("1026", "1024");
    let hash = "e95afa00fa9018f3b0c9c32208876624d2daaf982f972ef5fca34c2c7547cad8";
    assert_eq!(row.value(), (expected.as_str(), hash));
    let members = read.open_table(MEMBERS).expect("there");
    let members: Vec<String> = members
        .iter()
        .expect("rows")
        .map(|m| m.expect("a row").0.value().to_owned())
        .collect();
    assert_eq!(members, ["host-c", "host-d"]);
}

#[test]
fn stored_log_opens_takes_changes_and_keeps_its_layout() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = copy(dir.path());
    let mut store = ChangeLogStore::open(&path).expect("valid");
    assert_eq!(
        (state(&store).as_str(), store.log().last_hash()),
        (STATE, LAST)
    );
    assert_eq!(store.members().expect("valid"), ["host-a", "host-c"]);
    assert_eq!(store.entries(0, 1).expect("valid"), [FIRST_LINE]);
    assert_eq!(store.entries(1_026, 9).expect("valid"), [LINE_1_026]);
    assert_eq!(store.verify().expect("valid"), 1_026);
    let early = store.log_at(3).expect("valid").expect("a version");
    assert_eq!(early.state.volumes.keys().collect::<Vec<_>>(), ["v", "w"]);
    let change = Change::AssignPlan {
        volume: "x".into(),
        plan: "gold".into(),
    };
    let text = store
        .log()
        .propose(1_026, "c", "d", 1_800_000_000, change)
        .expect("fits");
    assert_eq!(store.append(&text).expect("kept").version, 1_027);
    store.add_member("host-d").expect("kept");
    store.remove_member("host-a").expect("kept");
    let log = store.log().clone();
    drop(store);
    check_rows(&path);
    let store = ChangeLogStore::open(&path).expect("valid");
    assert_eq!(*store.log(), log);
    assert_eq!(store.verify().expect("valid"), 1_027);
    assert_eq!(store.members().expect("valid"), ["host-c", "host-d"]);
}

#[test]
fn checkpoint_interval_is_1_024_entries() {
    assert_eq!(CHECKPOINT_INTERVAL, 1_024);
}

/// Edits a file in one transaction, behind the back of the store.
fn edit_file(path: &Path, edit: &dyn Fn(&WriteTransaction)) {
    let db = Database::open(path).expect("there");
    let write = db.begin_write().expect("open");
    edit(&write);
    write.commit().expect("kept");
}

#[test]
fn error_texts() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = copy(dir.path());
    let mut store = ChangeLogStore::open(&path).expect("valid");
    let why = store
        .append(LINE_1_026)
        .expect_err("does not follow")
        .to_string();
    assert_eq!(
        why,
        "plan store is damaged: trail line 1027: does not follow the line before"
    );
    assert_eq!(state(&store), STATE);
    drop(store);
    let altered = STATE.replace("1026", "1024").replace("9000", "9001");
    let open_after = |edit: &dyn Fn(&WriteTransaction)| {
        edit_file(&path, edit);
        ChangeLogStore::open(&path)
            .expect_err("damaged")
            .to_string()
    };
    let set_state = |state: &str, hash: &str| {
        open_after(&|write| {
            let mut states = write.open_table(STATES).expect("there");
            states
                .insert(CHECKPOINT_INTERVAL, (state, hash))
                .expect("fits");
        })
    };
    assert_eq!(
        set_state(&altered, "x"),
        "plan store is damaged: trail line 1025: does not follow the line before"
    );
    assert_eq!(
        set_state(STATE, LAST),
        "plan store is damaged: state 1026 under 1024"
    );
    let why = open_after(&|write| {
        let mut formats = write.open_table(FORMATS).expect("there");
        formats.insert("plans", 2).expect("fits");
    });
    assert_eq!(why, "plan store is damaged: format 2, expected 1");
}
