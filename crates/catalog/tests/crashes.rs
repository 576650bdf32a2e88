//! Power lost at every write of the store: what was acknowledged is there, and nothing else.
use mallowseam_catalog::Catalog;
use mallowseam_cow::tree::{Change, Place, Tree};
use std::sync::{Arc, Mutex};

/// One call on the file, as it was made.
#[derive(Clone, Debug)]
enum Call {
    Write(u64, Vec<u8>),
    Resize(u64),
    Sync,
}

/// A file in memory that keeps every call made on it.
#[derive(Clone, Debug, Default)]
struct Tape {
    bytes: Arc<Mutex<Vec<u8>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

fn past_the_end() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::UnexpectedEof)
}

impl redb::StorageBackend for Tape {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.bytes.lock().expect("no panic").len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let bytes = self.bytes.lock().expect("no panic");
        let from = offset as usize;
        let found = bytes.get(from..from + out.len()).ok_or_else(past_the_end)?;
        out.copy_from_slice(found);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.bytes.lock().expect("no panic").resize(len as usize, 0);
        self.calls.lock().expect("no panic").push(Call::Resize(len));
        Ok(())
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.calls.lock().expect("no panic").push(Call::Sync);
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let from = offset as usize;
        self.bytes.lock().expect("no panic")[from..from + data.len()].copy_from_slice(data);
        self.calls.lock().expect("no panic").push(Call::Write(offset, data.to_vec()));
        Ok(())
    }
}

fn play(bytes: &mut Vec<u8>, call: &Call) {
    match call {
        Call::Write(offset, data) => {
            let (from, end) = (*offset as usize, *offset as usize + data.len());
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[from..end].copy_from_slice(data);
        }
        Call::Resize(len) => bytes.resize(*len as usize, 0),
        Call::Sync => {}
    }
}

fn reopen(bytes: Vec<u8>) -> Result<Tree, String> {
    let tape = Tape { bytes: Arc::new(Mutex::new(bytes)), ..Tape::default() };
    Catalog::open_on(tape).map(|c| c.tree().clone()).map_err(|e| e.to_string())
}

/// What a month end does to a catalog: a volume, first writes, cuts, a clone, a delete, space given back.
fn steps() -> Vec<Vec<Change>> {
    let made = |branch: &str| Change::Made { branch: branch.into(), extents: 8 };
    let placed = |layer, extent, number| {
        let place = Place { node: extent % 3, number };
        vec![Change::Placed { layer, extent, place }, Change::Opened { layer, extent }]
    };
    let close = |layer| (0..3).map(|node| Change::Closed { layer, node }).collect::<Vec<_>>();
    let name = |name: &str, layer| Change::Named { branch: "a".into(), name: name.into(), layer };
    let mut all = vec![vec![made("a"), made("b")], vec![Change::Numbers { layer: 1024, first: 0, count: 8 }]];
    all.extend((0..4).map(|e| placed(1024, e, e)));
    all.push(vec![Change::Cut { branch: "a".into() }]);
    all.extend([close(1024), vec![name("march", 1024)]]);
    all.push(vec![Change::Numbers { layer: 1026, first: 0, count: 8 }]);
    all.extend((1..3).map(|e| placed(1026, e, e)));
    all.push(vec![Change::Cloned { snapshot: "a@march".into(), branch: "c".into() }]);
    all.push(vec![Change::Cut { branch: "a".into() }]);
    all.extend([close(1026), vec![name("april", 1026)]]);
    all.push(vec![Change::SnapshotDeleted { snapshot: "a@april".into() }]);
    all
}

fn commit(catalog: &mut Catalog, changes: Vec<Change>) {
    for change in changes {
        catalog.propose(change).expect("fits");
    }
    catalog.keep().expect("kept");
}

/// Runs the steps; per number of calls made by then, the versions that had been acknowledged.
fn recorded() -> (Tape, Vec<(usize, Tree)>) {
    let tape = Tape::default();
    let mut catalog = Catalog::open_on(tape.clone()).expect("a new store");
    let calls = |tape: &Tape| tape.calls.lock().expect("no panic").len();
    let mut acked = vec![(calls(&tape), Tree::default())];
    for changes in steps() {
        commit(&mut catalog, changes);
        acked.push((calls(&tape), catalog.tree().clone()));
    }
    (tape, acked)
}

/// The trees that may stand after a crash when so many calls had been made: the last one acknowledged, or the
/// one being committed.
fn allowed(acked: &[(usize, Tree)], calls: usize) -> Vec<&Tree> {
    let done = acked.iter().rposition(|a| a.0 <= calls).unwrap_or(0);
    acked[done..(done + 2).min(acked.len())].iter().map(|a| &a.1).collect()
}

fn check(acked: &[(usize, Tree)], calls: usize, bytes: Vec<u8>, how: &str) {
    let opened = acked[0].0;
    match reopen(bytes) {
        Ok(tree) => {
            let fits = allowed(acked, calls).contains(&&tree);
            assert!(fits, "{how}: version {} after {calls} calls", tree.version);
        }
        // Before the new store was first whole, there is nothing to lose.
        Err(e) => assert!(calls < opened, "{how}, {calls} calls: {e}"),
    }
}

#[test]
fn every_write_cut_short_reopens_to_what_was_acknowledged() {
    let (tape, acked) = recorded();
    let calls = tape.calls.lock().expect("no panic").clone();
    let mut bytes = Vec::new();
    let mut torn = 0;
    for (n, call) in calls.iter().enumerate() {
        if let Call::Write(offset, data) = call {
            // Torn at each sector, and at odd places within the first.
            let cuts = (0..data.len()).step_by(512).chain([1, 7, 63, 200]).filter(|c| *c < data.len());
            for cut in cuts {
                let mut half = bytes.clone();
                play(&mut half, &Call::Write(*offset, data[..cut].to_vec()));
                check(&acked, n, half, &format!("write {n} torn at {cut}"));
                torn += 1;
            }
        }
        play(&mut bytes, call);
        check(&acked, n + 1, bytes.clone(), "cut between calls");
    }
    assert!(calls.len() > 100 && torn > 300, "{} calls, {torn} torn", calls.len());
}

#[test]
fn writes_lost_since_the_last_sync_reopen_to_what_was_acknowledged() {
    let (tape, acked) = recorded();
    let calls = tape.calls.lock().expect("no panic").clone();
    let mut synced = Vec::new();
    let mut since: Vec<Call> = Vec::new();
    for (n, call) in calls.iter().enumerate() {
        if matches!(call, Call::Sync) {
            // A disk may have taken any one of what was not synced, or all but one, when power went.
            for odd in 0..since.len() {
                for keep in [true, false] {
                    let mut bytes = synced.clone();
                    let chosen = since
                        .iter()
                        .enumerate()
                        .filter(|(i, c)| (*i == odd) == keep || matches!(c, Call::Resize(_)));
                    chosen.for_each(|(_, c)| play(&mut bytes, c));
                    check(&acked, n, bytes, &format!("unsynced {odd}, kept {keep}"));
                }
            }
            since.drain(..).for_each(|c| play(&mut synced, &c));
        } else {
            since.push(call.clone());
        }
    }
}

#[test]
fn a_file_reopens_where_it_was_left_and_knows_what_a_host_lacks() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("catalog");
    let mut catalog = Catalog::open(&path).expect("new");
    for changes in steps() {
        commit(&mut catalog, changes);
    }
    let (tree, id) = (catalog.tree().clone(), catalog.id());
    let mut old = Tree::default();
    for (version, change) in catalog.since(0).expect("few changes") {
        old.apply(change).expect("fits");
        assert_eq!(old.version, version);
    }
    assert_eq!(old, tree);
    drop(catalog);
    let catalog = Catalog::open(&path).expect("there");
    assert_eq!((catalog.tree(), catalog.id()), (&tree, id));
    assert_eq!(catalog.since(tree.version).expect("nothing lacks").count(), 0);
    assert!(catalog.since(tree.version - 1).is_none(), "it no longer knows");
    assert!(catalog.since(tree.version + 1).is_none(), "no tree of this catalog");
    assert_ne!(id, Catalog::open_on(Tape::default()).expect("new").id());
}

#[test]
fn changes_that_do_not_fit_leave_the_store_as_it_was() {
    let tape = Tape::default();
    let mut catalog = Catalog::open_on(tape.clone()).expect("new");
    let made = Change::Made { branch: "a".into(), extents: 8 };
    catalog.propose(made.clone()).expect("fits");
    assert!(catalog.propose(made).is_err());
    assert_eq!((catalog.tree().version, catalog.kept()), (1, 0));
    assert_eq!(reopen(tape.bytes.lock().expect("no panic").clone()).expect("sound").version, 0);
    catalog.keep().expect("kept");
    assert_eq!(reopen(tape.bytes.lock().expect("no panic").clone()).expect("sound"), *catalog.tree());
}

#[test]
fn a_store_of_the_format_before_is_taken_over_whole() {
    let tape = Tape::default();
    let mut tree = Tree::default();
    {
        let db = redb::Builder::new().create_with_backend(tape.clone()).expect("new");
        let write = db.begin_write().expect("open");
        {
            let table = |name| redb::TableDefinition::<u64, &[u8]>::new(name);
            let formats = redb::TableDefinition::<&str, u64>::new("format");
            write.open_table(formats).expect("new").insert("catalog", 1).expect("fits");
            let (mut log, mut base) = (
                write.open_table(table("changes")).expect("new"),
                write.open_table(table("tree")).expect("new"),
            );
            for (i, change) in steps().into_iter().flatten().enumerate() {
                tree.apply(&change).expect("fits");
                let bytes = serde_json::to_vec(&change).expect("plain");
                log.insert(tree.version, bytes.as_slice()).expect("fits");
                if i == 7 {
                    let bytes = serde_json::to_vec(&tree).expect("plain");
                    base.insert(tree.version, bytes.as_slice()).expect("fits");
                }
            }
        }
        write.commit().expect("kept");
    }
    let bytes = tape.bytes.lock().expect("no panic").clone();
    assert_eq!(reopen(bytes).expect("taken over"), tree);
}
