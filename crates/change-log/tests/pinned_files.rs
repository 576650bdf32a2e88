//! A store of plan changes that commit 01f3988 wrote opens with the stored state, accepts further changes, and keeps
//! the layout of its tables. Guards against changes that make existing stores unreadable.
use mallowseam_change_log::{CHECKPOINT_INTERVAL, ChangeLogStore};
use mallowseam_plans::state::Change;
use redb::{
    Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle, WriteTransaction,
};
use std::path::{Path, PathBuf};

const ENTRIES: TableDefinition<u64, &str> = TableDefinition::new("lines");
const CHECKPOINTS: TableDefinition<u64, (&str, &str)> = TableDefinition::new("states");
const MEMBERS: TableDefinition<&str, ()> = TableDefinition::new("members");
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");

/// State after the 1,026 stored entries: a plan, a volume that has it, and a second volume that is added and removed in
/// turn.
const STATE: &str = r#"{"version":1026,"plans":{"gold":{"usual":1000,"reserve":2000,"limit":9000,"burst":4000,"weight":5,"price":6}},"volumes":{"v":"gold"}}"#;
const LAST_HASH: &str = "293e07c91f2ca90184a8f4b6f553793efd35af065c8a995aeb7645544aac3dca";
const FIRST_ENTRY: &str = r#"{"version":1,"at":1700000000,"author":"a","reason":"b","change":{"Plan":{"name":"gold","figures":{"usual":1000,"reserve":2000,"limit":9000,"burst":4000,"weight":5,"price":6}}},"after":"0000000000000000000000000000000000000000000000000000000000000000"}"#;
const ENTRY_1_024: &str = r#"{"version":1024,"at":1700001023,"author":"a","reason":"b","change":{"VolumeGone":{"name":"w"}},"after":"fdac6473458c1a1ce3e65bff3de7733125ab02aca731fc2637e7e88651bc5c53"}"#;
const ENTRY_1_026: &str = r#"{"version":1026,"at":1700001025,"author":"a","reason":"b","change":{"VolumeGone":{"name":"w"}},"after":"c3e6a3cf571f76eeebb4d92986f728e36b80cb299c6487335e6707b6c61ae521"}"#;
/// Entry that the test itself appends.
const ENTRY_1_027: &str = r#"{"version":1027,"at":1800000000,"author":"c","reason":"d","change":{"Volume":{"name":"x","plan":"gold"}},"after":"293e07c91f2ca90184a8f4b6f553793efd35af065c8a995aeb7645544aac3dca"}"#;

fn copy(dir: &Path) -> PathBuf {
    let path = dir.join("plans");
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/format-1.redb");
    std::fs::copy(from, &path).expect("cannot copy the fixture");
    path
}

fn state(store: &ChangeLogStore) -> String {
    serde_json::to_string(&store.log().state).expect("the state can be encoded as JSON")
}

/// Checks the layout of the stored tables after the changes made by
/// `stored_log_opens_accepts_changes_and_keeps_its_layout`.
fn check_stored_rows(path: &Path) {
    let db = Database::open(path).expect("cannot open the database");
    let read = db.begin_read().expect("cannot begin to read");
    let mut tables: Vec<String> = read
        .list_tables()
        .expect("cannot list the tables")
        .map(|table| table.name().to_owned())
        .collect();
    tables.sort();
    assert_eq!(tables, ["format", "lines", "members", "states"]);
    let formats = read.open_table(FORMATS).expect("cannot open the table");
    assert_eq!(
        formats
            .get("plans")
            .expect("cannot read the row")
            .map(|format| format.value()),
        Some(1)
    );
    let lines = read.open_table(ENTRIES).expect("cannot open the table");
    let line = |version| {
        lines
            .get(version)
            .expect("cannot read the row")
            .map(|line| line.value().to_owned())
    };
    assert_eq!(line(1).as_deref(), Some(FIRST_ENTRY));
    assert_eq!(line(1_024).as_deref(), Some(ENTRY_1_024));
    assert_eq!(line(1_027).as_deref(), Some(ENTRY_1_027));
    assert_eq!(line(1_028), None);
    let states = read.open_table(CHECKPOINTS).expect("cannot open the table");
    let rows: Vec<u64> = states
        .iter()
        .expect("cannot read the table")
        .map(|r| r.expect("cannot read the row").0.value())
        .collect();
    assert_eq!(rows, [CHECKPOINT_INTERVAL]);
    let row = states
        .get(CHECKPOINT_INTERVAL)
        .expect("cannot read the row")
        .expect("the checkpoint is missing");
    let expected = STATE.replace("1026", "1024");
    let hash = "e95afa00fa9018f3b0c9c32208876624d2daaf982f972ef5fca34c2c7547cad8";
    assert_eq!(row.value(), (expected.as_str(), hash));
    let members = read.open_table(MEMBERS).expect("cannot open the table");
    let members: Vec<String> = members
        .iter()
        .expect("cannot read the table")
        .map(|m| m.expect("cannot read the row").0.value().to_owned())
        .collect();
    assert_eq!(members, ["host-c", "host-d"]);
}

#[test]
fn stored_log_opens_accepts_changes_and_keeps_its_layout() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = copy(dir.path());
    let mut store = ChangeLogStore::open(&path).expect("cannot open the store");
    assert_eq!(
        (state(&store).as_str(), store.log().last_hash()),
        (STATE, LAST_HASH)
    );
    assert_eq!(
        store.members().expect("the store must be readable"),
        ["host-a", "host-c"]
    );
    assert_eq!(
        store.entries(0, 1).expect("the store must be readable"),
        [FIRST_ENTRY]
    );
    assert_eq!(
        store.entries(1_026, 9).expect("the store must be readable"),
        [ENTRY_1_026]
    );
    assert_eq!(store.verify().expect("the store must be valid"), 1_026);
    let early = store
        .log_at(3)
        .expect("the store must be readable")
        .expect("version 3 is missing");
    assert_eq!(early.state.volumes.keys().collect::<Vec<_>>(), ["v", "w"]);
    let change = Change::AssignPlan {
        volume: "x".into(),
        plan: "gold".into(),
    };
    let text = store
        .log()
        .propose(1_026, "c", "d", 1_800_000_000, change)
        .expect("the change is valid");
    assert_eq!(
        store
            .append(&text)
            .expect("cannot append the entry")
            .version,
        1_027
    );
    store.add_member("host-d").expect("cannot add the member");
    store
        .remove_member("host-a")
        .expect("cannot remove the member");
    let log = store.log().clone();
    drop(store);
    check_stored_rows(&path);
    let store = ChangeLogStore::open(&path).expect("cannot open the store");
    assert_eq!(*store.log(), log);
    assert_eq!(store.verify().expect("the store must be valid"), 1_027);
    assert_eq!(
        store.members().expect("the store must be readable"),
        ["host-c", "host-d"]
    );
}

#[test]
fn checkpoint_interval_is_1_024_entries() {
    assert_eq!(CHECKPOINT_INTERVAL, 1_024);
}

/// Edits a database file directly in one transaction, without the store.
fn edit_file(path: &Path, edit: &dyn Fn(&WriteTransaction)) {
    let db = Database::open(path).expect("cannot open the database");
    let write = db.begin_write().expect("cannot begin to write");
    edit(&write);
    write.commit().expect("cannot commit");
}

#[test]
fn errors_have_the_recorded_texts() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = copy(dir.path());
    let mut store = ChangeLogStore::open(&path).expect("cannot open the store");
    let error = store
        .append(ENTRY_1_026)
        .expect_err("an entry that does not follow must be rejected")
        .to_string();
    assert_eq!(
        error,
        "plan store is damaged: trail line 1027: does not follow the line before"
    );
    assert_eq!(state(&store), STATE);
    drop(store);
    let altered = STATE.replace("1026", "1024").replace("9000", "9001");
    let open_after = |edit: &dyn Fn(&WriteTransaction)| {
        edit_file(&path, edit);
        ChangeLogStore::open(&path)
            .expect_err("a damaged store must not open")
            .to_string()
    };
    let set_state = |state: &str, hash: &str| {
        open_after(&|write| {
            let mut states = write
                .open_table(CHECKPOINTS)
                .expect("cannot open the table");
            states
                .insert(CHECKPOINT_INTERVAL, (state, hash))
                .expect("cannot write the checkpoint");
        })
    };
    assert_eq!(
        set_state(&altered, "x"),
        "plan store is damaged: trail line 1025: does not follow the line before"
    );
    assert_eq!(
        set_state(STATE, LAST_HASH),
        "plan store is damaged: checkpoint contains state of version 1026, expected version 1024"
    );
    let error = open_after(&|write| {
        let mut formats = write.open_table(FORMATS).expect("cannot open the table");
        formats.insert("plans", 2).expect("cannot write the format");
    });
    assert_eq!(error, "plan store is damaged: format 2, expected 1");
}
