//! The errors of a durable store.
use std::error::Error;
use std::fmt;

/// An error of the database, from any of its calls.
#[derive(Debug, thiserror::Error)]
pub enum DatabaseError {
    /// The file cannot be opened as a database.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// A transaction cannot begin.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table is missing, or its keys or values have other types.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// The storage has failed to read or write.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A commit has failed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
}

/// An error that describes how the contents of one kind of store are damaged.
pub trait Damage: Error + 'static {
    /// Name of the store in error texts.
    const STORE_NAME: &'static str;
}

/// An error of a store. `D` describes how its contents can be damaged.
#[derive(Debug)]
pub enum StoreError<D> {
    /// The database has failed or cannot be read.
    Database(DatabaseError),
    /// A record cannot be encoded as JSON.
    Encode(serde_json::Error),
    /// An earlier guarded transaction has failed, so it is not known what is on disk. The store has to be reopened.
    Poisoned,
    /// The store has a format that this program cannot read.
    UnknownFormat {
        /// Number of the format of the store.
        found: u64,
        /// Number of the format that this program writes.
        expected: u64,
    },
    /// The contents of the store are damaged.
    Damaged(D),
}

impl<D: Damage> fmt::Display for StoreError<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let store = D::STORE_NAME;
        match self {
            StoreError::Database(error) => write!(f, "{store}: {error}"),
            StoreError::Encode(error) => write!(f, "{store}: record cannot be encoded: {error}"),
            StoreError::Poisoned => write!(f, "{store}: an earlier write failed; reopen the store"),
            StoreError::UnknownFormat { found, expected } => {
                write!(f, "{store} is damaged: format {found}, expected {expected}")
            }
            StoreError::Damaged(damage) => write!(f, "{store} is damaged: {damage}"),
        }
    }
}

impl<D: Damage> Error for StoreError<D> {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StoreError::Database(error) => Some(error),
            StoreError::Encode(error) => Some(error),
            StoreError::Poisoned | StoreError::UnknownFormat { .. } => None,
            StoreError::Damaged(damage) => Some(damage),
        }
    }
}

impl<D: Damage> From<D> for StoreError<D> {
    fn from(damage: D) -> Self {
        StoreError::Damaged(damage)
    }
}

impl<D> From<DatabaseError> for StoreError<D> {
    fn from(error: DatabaseError) -> Self {
        StoreError::Database(error)
    }
}

/// Converts the errors of `redb`, which has one type for each kind of call, so that `?` can be used on all of them.
macro_rules! from_redb {
    ($($error:ty),*) => {$(
        impl<D> From<$error> for StoreError<D> {
            fn from(error: $error) -> Self {
                StoreError::Database(error.into())
            }
        }
    )*};
}

from_redb!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);
