//! Power lost at every write; lines altered on disk.
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::state::{Change, Plan};
use mallowseam_trail::{EVERY, Store};
use redb::ReadableDatabase;
use std::sync::{Arc, Mutex};

/// Where a write went, and what it wrote.
type Write = (u64, Vec<u8>);

/// A file in memory that keeps every write made on it.
#[derive(Clone, Debug, Default)]
struct Tape(Arc<Mutex<(Vec<u8>, Vec<Write>)>>);

impl redb::StorageBackend for Tape {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("no panic").0.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let tape = self.0.lock().expect("no panic");
        let from = offset as usize;
        let found = tape.0.get(from..from + out.len());
        out.copy_from_slice(found.ok_or(std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.lock().expect("no panic").0.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut tape = self.0.lock().expect("no panic");
        let from = offset as usize;
        tape.0[from..from + data.len()].copy_from_slice(data);
        tape.1.push((offset, data.to_vec()));
        Ok(())
    }
}

fn change(n: u64) -> Change {
    let figures = Plan { limit: 1_000 + n, burst: 1, ..Plan::default() };
    Change::SetPlan { name: format!("p{}", n % 3), plan: figures }
}

fn line(store: &Store, n: u64) -> String {
    store.trail().propose(store.trail().state.version, "a", "b", n, change(n)).expect("fits")
}

#[test]
fn every_write_cut_at_any_sector_reopens_to_what_was_acknowledged() {
    let tape = Tape::default();
    let mut store = Store::open_on(tape.clone()).expect("new");
    let before = tape.0.lock().expect("no panic").0.clone();
    tape.0.lock().expect("no panic").1.clear();
    let mut acked: Vec<(usize, ChangeLog)> = vec![(0, store.trail().clone())];
    for n in 0..12 {
        let text = line(&store, n);
        store.keep(&text).expect("kept");
        acked.push((tape.0.lock().expect("no panic").1.len(), store.trail().clone()));
    }
    let tape = tape.0.lock().expect("no panic").clone();
    let mut bytes = before;
    bytes.resize(tape.0.len(), 0);
    for (nth, (offset, data)) in tape.1.iter().enumerate() {
        let done = acked.iter().rposition(|a| a.0 <= nth).expect("the first");
        for cut in (0..=data.len()).step_by(512) {
            let mut half = bytes.clone();
            half[*offset as usize..*offset as usize + cut].copy_from_slice(&data[..cut]);
            let store = Store::open_on(Tape(Arc::new(Mutex::new((half, Vec::new()))))).expect("it opens");
            let allowed = &acked[done..(done + 2).min(acked.len())];
            assert!(allowed.iter().any(|a| a.1 == *store.trail()), "write {nth} cut at {cut}");
            store.replay().expect("sound");
        }
        bytes[*offset as usize..*offset as usize + data.len()].copy_from_slice(data);
    }
}

#[test]
fn a_long_trail_opens_from_its_last_whole_state_and_replays_from_nothing() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = Store::open(&path).expect("new");
    let mut middle = None;
    for n in 0..EVERY + 50 {
        let text = line(&store, n);
        store.keep(&text).expect("kept");
        if n == 700 {
            middle = Some(store.trail().clone());
        }
    }
    let stands = store.trail().clone();
    for (host, there) in [("a", true), ("b", true), ("a", true), ("b", false)] {
        store.member(host, there).expect("kept");
    }
    drop(store);
    let store = Store::open(&path).expect("there");
    assert_eq!((store.trail(), store.replay().expect("sound")), (&stands, EVERY + 50));
    assert_eq!(store.members().expect("sound"), ["a"]);
    assert_eq!(store.at(701).expect("sound"), middle);
    assert_eq!(store.at(EVERY + 51).expect("sound"), None);
    assert_eq!(store.lines(EVERY + 40, 5).expect("sound").len(), 5);
}

#[test]
fn a_line_that_was_altered_on_disk_is_named() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = Store::open(&path).expect("new");
    for n in 0..EVERY + 5 {
        let text = line(&store, n);
        store.keep(&text).expect("kept");
    }
    drop(store);
    let table = redb::TableDefinition::<u64, &str>::new("lines");
    let db = redb::Database::create(&path).expect("there");
    let old = {
        let read = db.begin_read().expect("open");
        read.open_table(table).expect("there").get(17).expect("there").expect("a line").value().to_owned()
    };
    let write = db.begin_write().expect("open");
    write.open_table(table).expect("there").insert(17, old.replace("\"a\"", "\"c\"").as_str()).expect("fits");
    write.commit().expect("kept");
    drop(db);
    // What is in force does not hang on that line; the replay finds it.
    let store = Store::open(&path).expect("there");
    let why = store.replay().expect_err("altered").to_string();
    assert!(why.contains("trail line 18: does not follow"), "{why}");
}

/// Opening and replaying a long trail: `cargo test --release -p mallowseam-trail -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn a_long_trail() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("plans");
    let mut store = Store::open(&path).expect("new");
    let lines = 100_000;
    let began = std::time::Instant::now();
    for n in 0..lines {
        let text = line(&store, n);
        store.keep(&text).expect("kept");
    }
    let wrote = began.elapsed();
    drop(store);
    let began = std::time::Instant::now();
    let store = Store::open(&path).expect("there");
    let opened = began.elapsed();
    let began = std::time::Instant::now();
    store.replay().expect("sound");
    let bytes = std::fs::metadata(&path).expect("there").len();
    println!(
        "{lines} lines: kept in {:.0} us each, {} bytes a line, opened in {opened:.1?}, replayed in {:.1?}",
        wrote.as_micros() as f64 / lines as f64,
        bytes / lines,
        began.elapsed()
    );
}
