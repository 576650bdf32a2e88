//! The tree of snapshots and clones on disk: a numbered log of changes over a whole tree written now and then,
//! in `redb`. What `commit` has returned for is there after any crash, and nothing that it has not been given.
use mallowseam_cow::tree::{Change, Refused, Tree};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fmt;
use std::path::Path;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
/// One entry: the whole tree at some version.
const BASE: TableDefinition<u64, &[u8]> = TableDefinition::new("tree");
/// Format of the store, by which a later program knows an older file.
const FORMAT: u64 = 1;
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");
/// Changes after which the tree is written whole and the log before it dropped: reading that many back takes
/// some tens of milliseconds.
pub const COMPACT_AFTER: u64 = 4_096;

#[derive(Debug)]
pub enum Fault {
    /// The store itself failed or cannot be read.
    Store(String),
    /// What the store holds does not fit together.
    Damaged(String),
    Refused(Refused),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Store(what) => write!(f, "catalog store: {what}"),
            Fault::Damaged(what) => write!(f, "catalog store is damaged: {what}"),
            Fault::Refused(refused) => write!(f, "{refused}"),
        }
    }
}

fn store(e: impl fmt::Display) -> Fault {
    Fault::Store(e.to_string())
}

#[derive(Debug)]
pub struct Catalog {
    db: Database,
    tree: Tree,
    since_base: u64,
    /// A commit failed halfway: what is on disk may be more than what is known here.
    unsure: bool,
}

impl Catalog {
    /// Opens a store, new if there is none.
    pub fn open(path: &Path) -> Result<Catalog, Fault> {
        Catalog::read(Builder::new().create(path).map_err(store)?)
    }

    pub fn open_on(backend: impl StorageBackend) -> Result<Catalog, Fault> {
        Catalog::read(Builder::new().create_with_backend(backend).map_err(store)?)
    }

    fn read(db: Database) -> Result<Catalog, Fault> {
        // Tables and format in one step: a store is either empty or whole.
        let start = db.begin_write().map_err(store)?;
        {
            let mut formats = start.open_table(FORMATS).map_err(store)?;
            let found = formats.get("catalog").map_err(store)?.map(|f| f.value());
            match found {
                None => drop(formats.insert("catalog", FORMAT).map_err(store)?),
                Some(FORMAT) => {}
                Some(other) => return Err(Fault::Damaged(format!("format {other}, expected {FORMAT}"))),
            }
            start.open_table(LOG).map_err(store)?;
            start.open_table(BASE).map_err(store)?;
        }
        start.commit().map_err(store)?;
        let read = db.begin_read().map_err(store)?;
        let base = read.open_table(BASE).map_err(store)?;
        let mut tree = Tree::default();
        if let Some((version, bytes)) = base.last().map_err(store)? {
            tree = serde_json::from_slice(bytes.value()).map_err(|e| Fault::Damaged(e.to_string()))?;
            if tree.version != version.value() {
                return Err(Fault::Damaged(format!("tree {} under {}", tree.version, version.value())));
            }
        }
        let log = read.open_table(LOG).map_err(store)?;
        let mut since_base = 0;
        for entry in log.range(tree.version + 1..).map_err(store)? {
            let (version, bytes) = entry.map_err(store)?;
            let change: Change =
                serde_json::from_slice(bytes.value()).map_err(|e| Fault::Damaged(e.to_string()))?;
            tree.apply(&change).map_err(|r| Fault::Damaged(format!("change {}: {r}", version.value())))?;
            if tree.version != version.value() {
                return Err(Fault::Damaged(format!(
                    "change {} where {} is due",
                    version.value(),
                    tree.version
                )));
            }
            since_base += 1;
        }
        let faults = tree.faults();
        if !faults.is_empty() {
            return Err(Fault::Damaged(faults.join("; ")));
        }
        drop((log, base, read));
        Ok(Catalog { db, tree, since_base, unsure: false })
    }

    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Makes changes, all or none, and returns once they are on disk. After a store fault nothing more is
    /// taken: whether they are there is known only after opening anew.
    pub fn commit(&mut self, changes: &[Change]) -> Result<(), Fault> {
        if self.unsure {
            return Err(Fault::Store("an earlier commit has failed; open it anew".into()));
        }
        let mut next = self.tree.clone();
        let first = next.version + 1;
        for change in changes {
            next.apply(change).map_err(Fault::Refused)?;
        }
        self.unsure = true;
        self.write(first, changes, &next)?;
        self.unsure = false;
        self.tree = next;
        Ok(())
    }

    fn write(&mut self, first: u64, changes: &[Change], next: &Tree) -> Result<(), Fault> {
        let compact = self.since_base + changes.len() as u64 > COMPACT_AFTER;
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut log = write.open_table(LOG).map_err(store)?;
            for (version, change) in (first..).zip(changes) {
                let bytes = serde_json::to_vec(change).map_err(store)?;
                log.insert(version, bytes.as_slice()).map_err(store)?;
            }
            if compact {
                let mut base = write.open_table(BASE).map_err(store)?;
                let bytes = serde_json::to_vec(next).map_err(store)?;
                base.retain(|_, _| false).map_err(store)?;
                base.insert(next.version, bytes.as_slice()).map_err(store)?;
                log.retain(|version, _| version > next.version).map_err(store)?;
            }
        }
        write.commit().map_err(store)?;
        self.since_base = if compact { 0 } else { self.since_base + changes.len() as u64 };
        Ok(())
    }

    /// Changes in the log that the whole tree does not hold yet.
    pub fn since_base(&self) -> u64 {
        self.since_base
    }

    /// Writes the tree whole and drops the log before it, whatever its length.
    pub fn compact(&mut self) -> Result<(), Fault> {
        let kept = std::mem::replace(&mut self.since_base, COMPACT_AFTER + 1);
        let tree = self.tree.clone();
        self.unsure = true;
        let done = self.write(tree.version + 1, &[], &tree);
        match done {
            Ok(()) => self.unsure = false,
            Err(_) => self.since_base = kept,
        }
        done
    }
}
