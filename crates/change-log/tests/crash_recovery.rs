//! Power loss during every write, and entries that are altered on disk: a crash must lose no acknowledged entry, and
//! verification must detect an altered entry.
use mallowseam_change_log::{CHECKPOINT_INTERVAL, ChangeLogStore};
use mallowseam_durable_store::testing::{Call, RecordingBackend, apply_call};
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::state::{Change, Plan};
use redb::ReadableDatabase;

/// Size of a disk sector in bytes: the unit in which a write can be torn.
const SECTOR_BYTES: usize = 512;

fn change(n: u64) -> Change {
    let plan = Plan {
        rate_limit: 1_000 + n,
        burst_units: 1,
        ..Plan::default()
    };
    Change::SetPlan {
        name: format!("p{}", n % 3),
        plan,
    }
}

fn entry(store: &ChangeLogStore, n: u64) -> String {
    store
        .log()
        .propose(store.log().state.version, "a", "b", n, change(n))
        .expect("the change is valid")
}

fn append(store: &mut ChangeLogStore, n: u64) {
    let text = entry(store, n);
    store.append(&text).expect("cannot append the entry");
}

#[test]
fn store_with_a_write_torn_at_any_sector_reopens_with_all_acknowledged_entries() {
    let backend = RecordingBackend::default();
    let mut store =
        ChangeLogStore::open_with_backend(backend.clone()).expect("cannot create the store");
    let (mut contents, calls_of_open) = (backend.contents(), backend.calls().len());
    // Number of backend calls so far, and the log that was acknowledged by then.
    let mut acknowledged: Vec<(usize, ChangeLog)> = vec![(calls_of_open, store.log().clone())];
    for n in 0..12 {
        append(&mut store, n);
        acknowledged.push((backend.calls().len(), store.log().clone()));
    }
    contents.resize(backend.contents().len(), 0);
    let calls = backend.calls();
    let mut torn_writes = 0;
    for (index, call) in calls.iter().enumerate().skip(calls_of_open) {
        let Call::Write { offset, data } = call else {
            continue;
        };
        let last_acknowledged = acknowledged
            .iter()
            .rposition(|a| a.0 <= index)
            .expect("the new store is acknowledged before any write");
        let allowed =
            &acknowledged[last_acknowledged..(last_acknowledged + 2).min(acknowledged.len())];
        for length in (0..=data.len()).step_by(SECTOR_BYTES) {
            let mut torn_contents = contents.clone();
            apply_call(
                &mut torn_contents,
                &Call::Write {
                    offset: *offset,
                    data: data[..length].to_vec(),
                },
            );
            let backend = RecordingBackend::with_contents(torn_contents);
            let store = ChangeLogStore::open_with_backend(backend)
                .expect("the store must open after a torn write");
            assert!(
                allowed.iter().any(|a| a.1 == *store.log()),
                "write call {index}, torn after {length} bytes, led to neither the last acknowledged log nor the next one"
            );
            store
                .verify()
                .expect("the store must be valid after a torn write");
            torn_writes += 1;
        }
        apply_call(&mut contents, call);
    }
    assert!(
        torn_writes > 300,
        "only {torn_writes} torn writes were tested"
    );
}

#[test]
fn long_log_opens_from_its_last_checkpoint_and_verifies_from_its_first_entry() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("cannot create the store");
    let mut middle = None;
    for n in 0..CHECKPOINT_INTERVAL + 50 {
        append(&mut store, n);
        if n == 700 {
            middle = Some(store.log().clone());
        }
    }
    let last = store.log().clone();
    for host in ["a", "b", "a"] {
        store.add_member(host).expect("cannot add the member");
    }
    store.remove_member("b").expect("cannot remove the member");
    drop(store);
    let store = ChangeLogStore::open(&path).expect("cannot open the store");
    let entries = store.verify().expect("the store must be valid");
    assert_eq!((store.log(), entries), (&last, CHECKPOINT_INTERVAL + 50));
    assert_eq!(store.members().expect("the store must be readable"), ["a"]);
    assert_eq!(
        store.log_at(701).expect("the store must be readable"),
        middle
    );
    assert_eq!(
        store
            .log_at(CHECKPOINT_INTERVAL + 51)
            .expect("the store must be readable"),
        None
    );
    assert_eq!(
        store
            .entries(CHECKPOINT_INTERVAL + 40, 5)
            .expect("the store must be readable")
            .len(),
        5
    );
}

#[test]
fn entry_altered_on_disk_is_reported() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("cannot create the store");
    (0..CHECKPOINT_INTERVAL + 5).for_each(|n| append(&mut store, n));
    drop(store);
    let table = redb::TableDefinition::<u64, &str>::new("lines");
    let db = redb::Database::create(&path).expect("cannot open the database");
    let old = {
        let read = db.begin_read().expect("cannot begin to read");
        read.open_table(table)
            .expect("cannot open the table")
            .get(17)
            .expect("cannot read the table")
            .expect("entry 17 is missing")
            .value()
            .to_owned()
    };
    let write = db.begin_write().expect("cannot begin to write");
    let altered = old.replace("\"a\"", "\"c\"");
    write
        .open_table(table)
        .expect("cannot open the table")
        .insert(17, altered.as_str())
        .expect("cannot write the entry");
    write.commit().expect("cannot commit");
    drop(db);
    // The newest state does not depend on the altered entry, since a checkpoint follows it, so the store opens;
    // verification detects the alteration.
    let store = ChangeLogStore::open(&path).expect("cannot open the store");
    let error = store
        .verify()
        .expect_err("an altered entry must be detected")
        .to_string();
    assert!(error.contains("trail line 18: does not follow"), "{error}");
}

/// Measures how long it takes to append to, open and verify a long log. Run with
/// `cargo test --release -p mallowseam-change-log -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark"]
fn benchmark_long_log() {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("cannot create the store");
    let entries = 100_000;
    let start = std::time::Instant::now();
    (0..entries).for_each(|n| append(&mut store, n));
    let written = start.elapsed();
    drop(store);
    let start = std::time::Instant::now();
    let store = ChangeLogStore::open(&path).expect("cannot open the store");
    let opened = start.elapsed();
    let start = std::time::Instant::now();
    store.verify().expect("the store must be valid");
    let bytes = std::fs::metadata(&path)
        .expect("cannot read the size of the file")
        .len();
    println!(
        "{entries} entries: written in {:.0} us each, {} bytes an entry, opened in {opened:.1?}, verified in {:.1?}",
        written.as_micros() as f64 / entries as f64,
        bytes / entries,
        start.elapsed()
    );
}
