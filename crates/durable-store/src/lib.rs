//! The common part of all crash-safe stores on `redb`: opening a file, the row that holds its format, transactions, and
//! errors.
//!
//! A transaction that was committed is on disk after any crash. After a commit has failed, it is not known what is on
//! disk. A guarded transaction ([`DurableStore::write_or_poison`]) that fails therefore *poisons* the store, which then
//! accepts no more guarded transactions until it is reopened.
#![warn(missing_docs)]

mod error;
#[cfg(feature = "testing")]
pub mod testing;

pub use error::{Damage, DatabaseError, StoreError};

use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition, WriteTransaction,
};
use std::path::Path;

/// Table of the formats of the stores in a file, by the name of the store.
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");

/// The formats of a store that a program can open.
#[derive(Clone, Copy, Debug)]
pub struct Format {
    /// Key of the row that holds the format.
    pub key: &'static str,
    /// Number of the format that the program writes.
    pub current: u64,
    /// Number of the oldest format that can be converted to the current one.
    pub oldest: u64,
}

impl Format {
    /// Returns the meaning of the format number that was found in a file. `None` was found in a file without such a
    /// store.
    fn recognize<D>(&self, found: Option<u64>) -> Result<StoredFormat, StoreError<D>> {
        match found {
            None => Ok(StoredFormat::Missing),
            Some(found) if found == self.current => Ok(StoredFormat::Current),
            Some(found) if (self.oldest..self.current).contains(&found) => {
                Ok(StoredFormat::Older(found))
            }
            Some(found) => Err(StoreError::UnknownFormat {
                found,
                expected: self.current,
            }),
        }
    }
}

/// The format in which a file was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredFormat {
    /// The file contains no such store yet.
    Missing,
    /// The store has the current format.
    Current,
    /// The store has the older format of this number, which has to be converted.
    Older(u64),
}

/// An open durable store.
#[derive(Debug)]
pub struct DurableStore {
    database: Database,
    /// Whether a guarded transaction has failed. It may be on disk, while the caller's copy in memory does not include
    /// it.
    is_poisoned: bool,
}

impl DurableStore {
    /// Opens a store in a file, or creates it. `prepare` creates the tables, or converts those of an older format, in
    /// the same transaction that writes the format, so that a store is either empty or complete.
    ///
    /// # Errors
    ///
    /// Returns the errors of the database and of `prepare`, or [`StoreError::UnknownFormat`].
    pub fn open<D: Damage>(
        path: &Path,
        format: Format,
        prepare: impl FnOnce(&WriteTransaction, StoredFormat) -> Result<(), StoreError<D>>,
    ) -> Result<DurableStore, StoreError<D>> {
        DurableStore::prepare(Builder::new().create(path)?, format, prepare)
    }

    /// Opens or creates a store like [`DurableStore::open`], in a storage that need not be a file.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`DurableStore::open`].
    pub fn open_with_backend<D: Damage>(
        backend: impl StorageBackend,
        format: Format,
        prepare: impl FnOnce(&WriteTransaction, StoredFormat) -> Result<(), StoreError<D>>,
    ) -> Result<DurableStore, StoreError<D>> {
        DurableStore::prepare(
            Builder::new().create_with_backend(backend)?,
            format,
            prepare,
        )
    }

    fn prepare<D: Damage>(
        database: Database,
        format: Format,
        prepare: impl FnOnce(&WriteTransaction, StoredFormat) -> Result<(), StoreError<D>>,
    ) -> Result<DurableStore, StoreError<D>> {
        let transaction = database.begin_write()?;
        {
            let mut formats = transaction.open_table(FORMATS)?;
            let found = formats.get(format.key)?.map(|row| row.value());
            let stored = format.recognize(found)?;
            prepare(&transaction, stored)?;
            if stored != StoredFormat::Current {
                formats.insert(format.key, format.current)?;
            }
        }
        transaction.commit()?;
        Ok(DurableStore {
            database,
            is_poisoned: false,
        })
    }

    /// Begins a transaction that reads what is on disk.
    ///
    /// # Errors
    ///
    /// Returns the errors of the database.
    pub fn begin_read(&self) -> Result<ReadTransaction, DatabaseError> {
        Ok(self.database.begin_read()?)
    }

    /// Runs `write` in a transaction and commits it.
    ///
    /// # Errors
    ///
    /// Returns the errors of the database and of `write`. After an error nothing was written, unless the commit itself
    /// has failed.
    pub fn write<D: Damage>(
        &self,
        write: impl FnOnce(&WriteTransaction) -> Result<(), StoreError<D>>,
    ) -> Result<(), StoreError<D>> {
        let transaction = self.database.begin_write()?;
        write(&transaction)?;
        transaction.commit()?;
        Ok(())
    }

    /// Runs `write` in a guarded transaction and commits it, for data of which the caller keeps a copy in memory. Any
    /// error poisons the store.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`DurableStore::write`], or [`StoreError::Poisoned`] after an earlier error.
    pub fn write_or_poison<D: Damage>(
        &mut self,
        write: impl FnOnce(&WriteTransaction) -> Result<(), StoreError<D>>,
    ) -> Result<(), StoreError<D>> {
        self.check_not_poisoned()?;
        // Reset only after the commit, so that a return with any error leaves the store poisoned.
        self.is_poisoned = true;
        self.write(write)?;
        self.is_poisoned = false;
        Ok(())
    }

    /// Checks that the store still accepts guarded transactions.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Poisoned`] after a guarded transaction that failed.
    pub fn check_not_poisoned<D: Damage>(&self) -> Result<(), StoreError<D>> {
        if self.is_poisoned {
            Err(StoreError::Poisoned)
        } else {
            Ok(())
        }
    }
}
