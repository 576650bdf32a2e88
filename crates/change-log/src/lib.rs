//! The change log of plans on disk: its entries and, at regular intervals, a checkpoint, which is the full state after
//! an entry. Opening the store reads only the last checkpoint and the entries after it, however long the log is. An
//! entry for which `append` has returned is on disk after any crash.
#![warn(missing_docs)]

mod error;

pub use error::{Error, LogDamage};

use mallowseam_durable_store::{DurableStore, Format, StoredFormat};
use mallowseam_plans::change_log::{ChangeLog, LogEntry};
use mallowseam_plans::state::State;
use redb::{ReadableTable, StorageBackend, TableDefinition, WriteTransaction};
use std::ops::Bound;
use std::path::Path;

/// Text of each entry, by version.
const ENTRIES: TableDefinition<u64, &str> = TableDefinition::new("lines");
/// Checkpoints by version: the state as JSON, and the hash of the entry that led to it.
const CHECKPOINTS: TableDefinition<u64, (&str, &str)> = TableDefinition::new("states");
/// Names of the hosts that replicate the log. After a restart, a version is effective at all hosts only once those that
/// have not connected again yet have accepted it too.
const MEMBERS: TableDefinition<&str, ()> = TableDefinition::new("members");
/// Format of the store; no other format exists yet.
const FORMAT: Format = Format {
    key: "plans",
    current: 1,
    oldest: 1,
};
/// Number of entries between two checkpoints; replaying this many takes some tens of milliseconds.
pub const CHECKPOINT_INTERVAL: u64 = 1_024;

/// An open store of the change log.
#[derive(Debug)]
pub struct ChangeLogStore {
    store: DurableStore,
    log: ChangeLog,
}

impl ChangeLogStore {
    /// Opens the store in a file, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or read, or its contents are damaged.
    pub fn open(path: &Path) -> Result<ChangeLogStore, Error> {
        ChangeLogStore::read(DurableStore::open(path, FORMAT, create_tables)?)
    }

    /// Opens the store on another storage backend than a file.
    ///
    /// # Errors
    ///
    /// As [`ChangeLogStore::open`].
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<ChangeLogStore, Error> {
        ChangeLogStore::read(DurableStore::open_with_backend(
            backend,
            FORMAT,
            create_tables,
        )?)
    }

    fn read(store: DurableStore) -> Result<ChangeLogStore, Error> {
        let log = read_log(&store, Bound::Unbounded)?;
        Ok(ChangeLogStore { store, log })
    }

    /// Returns the log at its newest version: the state, and the hash of the last entry.
    #[must_use]
    pub fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// Writes the next entry, given as the text that was proposed, to disk and applies it.
    ///
    /// # Errors
    ///
    /// The entry does not follow the log; the store is unchanged then. After an error of the database the store accepts
    /// no more entries and has to be reopened.
    pub fn append(&mut self, text: &str) -> Result<LogEntry, Error> {
        self.store.check_not_poisoned()?;
        let mut next = self.log.clone();
        let entry = next.append(text).map_err(LogDamage::from)?;
        self.store.write_or_poison(|transaction| {
            transaction
                .open_table(ENTRIES)?
                .insert(entry.version, text)?;
            if entry.version.is_multiple_of(CHECKPOINT_INTERVAL) {
                write_checkpoint(transaction, &next)?;
            }
            Ok(())
        })?;
        self.log = next;
        Ok(entry)
    }

    /// Returns the names of the hosts that replicate the log.
    ///
    /// # Errors
    ///
    /// The database cannot be read.
    pub fn members(&self) -> Result<Vec<String>, Error> {
        let members = self.store.begin_read()?.open_table(MEMBERS)?;
        members
            .iter()?
            .map(|row| Ok(row?.0.value().to_owned()))
            .collect()
    }

    /// Records on disk that a host replicates the log from now on.
    ///
    /// # Errors
    ///
    /// The database cannot be written.
    pub fn add_member(&mut self, host: &str) -> Result<(), Error> {
        self.store.write(|transaction| {
            transaction.open_table(MEMBERS)?.insert(host, ())?;
            Ok(())
        })
    }

    /// Records on disk that a host has permanently stopped replicating the log.
    ///
    /// # Errors
    ///
    /// The database cannot be written.
    pub fn remove_member(&mut self, host: &str) -> Result<(), Error> {
        self.store.write(|transaction| {
            transaction.open_table(MEMBERS)?.remove(host)?;
            Ok(())
        })
    }

    /// Returns the texts of at most `limit` entries, starting with the one that led to version `from`.
    ///
    /// # Errors
    ///
    /// The database cannot be read.
    pub fn entries(&self, from: u64, limit: usize) -> Result<Vec<String>, Error> {
        let entries = self.store.begin_read()?.open_table(ENTRIES)?;
        entries
            .range(from.max(1)..)?
            .take(limit)
            .map(|row| Ok(row?.1.value().to_owned()))
            .collect()
    }

    /// Returns the log as it was at a version. None: the version does not exist yet.
    ///
    /// # Errors
    ///
    /// The database cannot be read, or its contents are damaged.
    pub fn log_at(&self, version: u64) -> Result<Option<ChangeLog>, Error> {
        if version > self.log.state.version {
            return Ok(None);
        }
        read_log(&self.store, Bound::Included(version)).map(Some)
    }

    /// Replays all entries from the empty state, and compares the result with every checkpoint and with the newest
    /// state. Returns the number of entries.
    ///
    /// # Errors
    ///
    /// The database cannot be read, or its contents are damaged; the first difference is returned.
    pub fn verify(&self) -> Result<u64, Error> {
        let transaction = self.store.begin_read()?;
        let entries = transaction.open_table(ENTRIES)?;
        let checkpoints = transaction.open_table(CHECKPOINTS)?;
        let mut log = ChangeLog::default();
        for row in entries.iter()? {
            log.append(row?.1.value()).map_err(LogDamage::from)?;
            let version = log.state.version;
            if let Some(checkpoint) = checkpoints.get(version)? {
                let state = encode_state(&log.state)?;
                if checkpoint.value() != (state.as_str(), log.last_hash()) {
                    return Err(LogDamage::CheckpointDiffers { version }.into());
                }
            }
        }
        if log != self.log {
            return Err(LogDamage::StateDiffers.into());
        }
        Ok(log.state.version)
    }
}

/// Creates the tables. Only one format exists so far, so nothing is converted.
fn create_tables(transaction: &WriteTransaction, _stored: StoredFormat) -> Result<(), Error> {
    transaction.open_table(ENTRIES)?;
    transaction.open_table(CHECKPOINTS)?;
    transaction.open_table(MEMBERS)?;
    Ok(())
}

/// Returns the log up to a version, from the last checkpoint and the entries after it.
fn read_log(store: &DurableStore, up_to: Bound<u64>) -> Result<ChangeLog, Error> {
    let transaction = store.begin_read()?;
    let mut log = ChangeLog::default();
    let checkpoints = transaction.open_table(CHECKPOINTS)?;
    if let Some(row) = checkpoints.range((Bound::Unbounded, up_to))?.next_back() {
        let (key, checkpoint) = row?;
        let (state, hash) = checkpoint.value();
        log = read_checkpoint(key.value(), state, hash)?;
    }
    let entries = transaction.open_table(ENTRIES)?;
    let after_checkpoint = Bound::Included(log.state.version + 1);
    for row in entries.range((after_checkpoint, up_to))? {
        log.append(row?.1.value()).map_err(LogDamage::from)?;
    }
    Ok(log)
}

fn read_checkpoint(version: u64, state: &str, hash: &str) -> Result<ChangeLog, LogDamage> {
    let state: State = serde_json::from_str(state)?;
    if state.version != version {
        return Err(LogDamage::CheckpointVersion {
            found: state.version,
            expected: version,
        });
    }
    Ok(ChangeLog::from_snapshot(state, hash.to_owned()))
}

fn write_checkpoint(transaction: &WriteTransaction, log: &ChangeLog) -> Result<(), Error> {
    let state = encode_state(&log.state)?;
    let mut checkpoints = transaction.open_table(CHECKPOINTS)?;
    checkpoints.insert(log.state.version, (state.as_str(), log.last_hash()))?;
    Ok(())
}

fn encode_state(state: &State) -> Result<String, Error> {
    serde_json::to_string(state).map_err(Error::Encode)
}
