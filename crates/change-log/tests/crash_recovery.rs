//! Power lost at every write; entries altered on disk.
use mallowseam_change_log::{CHECKPOINT_INTERVAL, ChangeLogStore};
use mallowseam_durable_store::testing::{Call, RecordingBackend, apply_call};
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::state::{Change, Plan};
use redb::ReadableDatabase;

/// Bytes that a disk writes at once.
const SECTOR: usize = 512;

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
        .expect("fits")
}

fn append(store: &mut ChangeLogStore, n: u64) {
    let text = entry(store, n);
    store.append(&text).expect("written");
}

#[test]
fn write_torn_at_any_sector_reopens_to_what_was_acknowledged() {
    let backend = RecordingBackend::default();
    let mut store = ChangeLogStore::open_with_backend(backend.clone()).expect("new");
    let (mut contents, opened) = (backend.contents(), backend.calls().len());
    // Calls made so far, and the log that was acknowledged by then.
    let mut acknowledged: Vec<(usize, ChangeLog)> = vec![(opened, store.log().clone())];
    for n in 0..12 {
        append(&mut store, n);
        acknowledged.push((backend.calls().len(), store.log().clone()));
    }
    contents.resize(backend.contents().len(), 0);
    let calls = backend.calls();
    let mut torn = 0;
    for (index, call) in calls.iter().enumerate().skip(opened) {
        let Call::Write { offset, data } = call else {
            continue;
        };
        let done = acknowledged
            .iter()
            .rposition(|a| a.0 <= index)
            .expect("the first");
        let allowed = &acknowledged[done..(done + 2).min(acknowledged.len())];
        for length in (0..=data.len()).step_by(SECTOR) {
            let mut half = contents.clone();
            apply_call(
                &mut half,
                &Call::Write {
                    offset: *offset,
                    data: data[..length].to_vec(),
                },
            );
            let backend = RecordingBackend::with_contents(half);
            let store = ChangeLogStore::open_with_backend(backend).expect("it opens");
            assert!(
                allowed.iter().any(|a| a.1 == *store.log()),
                "write {index} torn at {length}"
            );
            store.verify().expect("valid");
            torn += 1;
        }
        apply_call(&mut contents, call);
    }
    assert!(torn > 300, "{torn} torn writes");
}

#[test]
fn long_log_opens_from_its_last_checkpoint_and_verifies_from_its_first_entry() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("new");
    let mut middle = None;
    for n in 0..CHECKPOINT_INTERVAL + 50 {
        append(&mut store, n);
        if n == 700 {
            middle = Some(store.log().clone());
        }
    }
    let last = store.log().clone();
    for host in ["a", "b", "a"] {
        store.add_member(host).expect("written");
    }
    store.remove_member("b").expect("written");
    drop(store);
    let store = ChangeLogStore::open(&path).expect("there");
    let entries = store.verify().expect("valid");
    assert_eq!((store.log(), entries), (&last, CHECKPOINT_INTERVAL + 50));
    assert_eq!(store.members().expect("valid"), ["a"]);
    assert_eq!(store.log_at(701).expect("valid"), middle);
    assert_eq!(store.log_at(CHECKPOINT_INTERVAL + 51).expect("valid"), None);
    assert_eq!(
        store
            .entries(CHECKPOINT_INTERVAL + 40, 5)
            .expect("valid")
            .len(),
        5
    );
}

#[test]
fn entry_altered_on_disk_is_reported() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("new");
    (0..CHECKPOINT_INTERVAL + 5).for_each(|n| append(&mut store, n));
    drop(store);
    let table = redb::TableDefinition::<u64, &str>::new("lines");
    let db = redb::Database::create(&path).expect("there");
    let old = {
        let read = db.begin_read().expect("open");
        read.open_table(table)
            .expect("there")
            .get(17)
            .expect("there")
            .expect("an entry")
            .value()
            .to_owned()
    };
    let write = db.begin_write().expect("open");
    let altered = old.replace("\"a\"", "\"c\"");
    write
        .open_table(table)
        .expect("there")
        .insert(17, altered.as_str())
        .expect("fits");
    write.commit().expect("written");
    drop(db);
    // The state in force does not depend on that entry, since a checkpoint follows it; verification finds it.
    let store = ChangeLogStore::open(&path).expect("there");
    let error = store.verify().expect_err("altered").to_string();
    assert!(error.contains("trail line 18: does not follow"), "{error}");
}

/// Opening and verifying a long log: `cargo test --release -p mallowseam-change-log -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark"]
fn benchmark_long_log() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = ChangeLogStore::open(&path).expect("new");
    let entries = 100_000;
    let start = std::time::Instant::now();
    (0..entries).for_each(|n| append(&mut store, n));
    let written = start.elapsed();
    drop(store);
    let start = std::time::Instant::now();
    let store = ChangeLogStore::open(&path).expect("there");
    let opened = start.elapsed();
    let start = std::time::Instant::now();
    store.verify().expect("valid");
    let bytes = std::fs::metadata(&path).expect("there").len();
    println!(
        "{entries} entries: written in {:.0} us each, {} bytes an entry, opened in {opened:.1?}, verified in {:.1?}",
        written.as_micros() as f64 / entries as f64,
        bytes / entries,
        start.elapsed()
    );
}
