//! The trail of plans on disk, in `redb`: its lines, and now and then the whole state behind one of them, so that
//! opening reads few lines however long the trail is. What `keep` has returned for is there after any crash.
use mallowseam_plans::change_log::{ChangeLog, LogEntry};
use mallowseam_plans::state::State;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fmt;
use std::path::Path;

const LINES: TableDefinition<u64, &str> = TableDefinition::new("lines");
/// Whole states, by version: the state and the hash of its line.
const STATES: TableDefinition<u64, (&str, &str)> = TableDefinition::new("states");
/// Hosts that follow, by name: a service that starts anew must not take those it has not heard of for none.
const MEMBERS: TableDefinition<&str, ()> = TableDefinition::new("members");
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");
const FORMAT: u64 = 1;
/// Lines between two whole states: replaying as many takes some tens of milliseconds.
pub const EVERY: u64 = 1_024;

#[derive(Debug)]
pub enum Fault {
    /// The store itself failed or cannot be read.
    Store(String),
    /// What it holds does not fit together.
    Damaged(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Store(what) => write!(f, "plan store: {what}"),
            Fault::Damaged(what) => write!(f, "plan store is damaged: {what}"),
        }
    }
}

fn store(e: impl fmt::Display) -> Fault {
    Fault::Store(e.to_string())
}

fn damaged(e: impl fmt::Display) -> Fault {
    Fault::Damaged(e.to_string())
}

#[derive(Debug)]
pub struct Store {
    db: Database,
    trail: ChangeLog,
    /// A write failed halfway: what is on disk may be more than what is known here.
    unsure: bool,
}

impl Store {
    /// Opens a store, new if there is none.
    pub fn open(path: &Path) -> Result<Store, Fault> {
        Store::read(Builder::new().create(path).map_err(store)?)
    }

    pub fn open_on(backend: impl StorageBackend) -> Result<Store, Fault> {
        Store::read(Builder::new().create_with_backend(backend).map_err(store)?)
    }

    fn read(db: Database) -> Result<Store, Fault> {
        let start = db.begin_write().map_err(store)?;
        {
            let mut formats = start.open_table(FORMATS).map_err(store)?;
            let found = formats.get("plans").map_err(store)?.map(|f| f.value());
            match found {
                None => drop(formats.insert("plans", FORMAT).map_err(store)?),
                Some(FORMAT) => {}
                Some(other) => return Err(damaged(format!("format {other}, expected {FORMAT}"))),
            }
            start.open_table(LINES).map_err(store)?;
            start.open_table(STATES).map_err(store)?;
            start.open_table(MEMBERS).map_err(store)?;
        }
        start.commit().map_err(store)?;
        let trail = Store::up_to(&db, u64::MAX)?;
        Ok(Store { db, trail, unsure: false })
    }

    /// The last whole state up to a version, and the lines behind it.
    fn up_to(db: &Database, version: u64) -> Result<ChangeLog, Fault> {
        let read = db.begin_read().map_err(store)?;
        let states = read.open_table(STATES).map_err(store)?;
        let mut trail = ChangeLog::default();
        if let Some(row) = states.range(..=version).map_err(store)?.next_back() {
            let (of, row) = row.map_err(store)?;
            let (text, last) = row.value();
            let state: State = serde_json::from_str(text).map_err(damaged)?;
            if state.version != of.value() {
                return Err(damaged(format!("state {} under {}", state.version, of.value())));
            }
            trail = ChangeLog::from_snapshot(state, last.to_owned());
        }
        let lines = read.open_table(LINES).map_err(store)?;
        for row in lines.range(trail.state.version + 1..=version).map_err(store)? {
            trail.append(row.map_err(store)?.1.value()).map_err(damaged)?;
        }
        Ok(trail)
    }

    pub fn trail(&self) -> &ChangeLog {
        &self.trail
    }

    /// Puts a line on disk and takes it up. Refused where it does not follow, and then nothing is changed; after
    /// a store fault nothing more is taken, as what is there is known only after opening anew.
    pub fn keep(&mut self, text: &str) -> Result<LogEntry, Fault> {
        if self.unsure {
            return Err(Fault::Store("an earlier write has failed; open it anew".into()));
        }
        let mut next = self.trail.clone();
        let line = next.append(text).map_err(damaged)?;
        self.unsure = true;
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut lines = write.open_table(LINES).map_err(store)?;
            lines.insert(line.version, text).map_err(store)?;
            if line.version.is_multiple_of(EVERY) {
                let state = serde_json::to_string(&next.state).map_err(store)?;
                let mut states = write.open_table(STATES).map_err(store)?;
                states.insert(line.version, (state.as_str(), next.last_hash())).map_err(store)?;
            }
        }
        write.commit().map_err(store)?;
        self.unsure = false;
        self.trail = next;
        Ok(line)
    }

    pub fn members(&self) -> Result<Vec<String>, Fault> {
        let read = self.db.begin_read().map_err(store)?;
        let members = read.open_table(MEMBERS).map_err(store)?;
        let rows = members.iter().map_err(store)?;
        rows.map(|row| Ok(row.map_err(store)?.0.value().to_owned())).collect()
    }

    /// A host follows, or has stopped for good.
    pub fn member(&mut self, host: &str, there: bool) -> Result<(), Fault> {
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut members = write.open_table(MEMBERS).map_err(store)?;
            if there {
                members.insert(host, ()).map_err(store)?;
            } else {
                members.remove(host).map_err(store)?;
            }
        }
        write.commit().map_err(store)
    }

    /// Lines from a version on, at most so many.
    pub fn lines(&self, from: u64, most: usize) -> Result<Vec<String>, Fault> {
        let read = self.db.begin_read().map_err(store)?;
        let lines = read.open_table(LINES).map_err(store)?;
        let rows = lines.range(from.max(1)..).map_err(store)?.take(most);
        rows.map(|row| Ok(row.map_err(store)?.1.value().to_owned())).collect()
    }

    /// The trail as it stood at a version.
    pub fn at(&self, version: u64) -> Result<Option<ChangeLog>, Fault> {
        if version > self.trail.state.version {
            return Ok(None);
        }
        Store::up_to(&self.db, version).map(Some)
    }

    /// Replays all lines from nothing and holds every whole state against them. How many lines there are.
    pub fn replay(&self) -> Result<u64, Fault> {
        let read = self.db.begin_read().map_err(store)?;
        let lines = read.open_table(LINES).map_err(store)?;
        let states = read.open_table(STATES).map_err(store)?;
        let mut trail = ChangeLog::default();
        for row in lines.iter().map_err(store)? {
            trail.append(row.map_err(store)?.1.value()).map_err(damaged)?;
            let version = trail.state.version;
            if let Some(row) = states.get(version).map_err(store)? {
                let state = serde_json::to_string(&trail.state).map_err(store)?;
                if row.value() != (state.as_str(), trail.last_hash()) {
                    return Err(damaged(format!(
                        "the state kept at version {version} is not what the trail gives"
                    )));
                }
            }
        }
        if trail != self.trail {
            return Err(damaged("the trail does not lead to the state in force"));
        }
        Ok(trail.state.version)
    }
}
