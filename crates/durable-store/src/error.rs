//! The errors of a store.
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
    /// A table is missing or has other types.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// Reading or writing has failed.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A commit has failed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
}

/// The damages that the contents of one kind of store can have: implemented by its error enum.
pub trait Damage: Error + 'static {
    /// Name of the store in error texts.
    const STORE_NAME: &'static str;
}

/// An error of a store; `D` are the damages that its contents can have.
#[derive(Debug)]
pub enum StoreError<D> {
    /// The database has failed or cannot be read.
    Database(DatabaseError),
    /// A record cannot be encoded.
    Encode(serde_json::Error),
    /// An earlier transaction has failed, so that it is not known what is on disk. The store has to be reopened.
    Poisoned,
    /// The store has a format that this program cannot read.
    UnknownFormat {
        /// The format of the store.
        found: u64,
        /// The format that is written.
        expected: u64,
    },
    /// The contents are damaged.
    Damaged(D),
}

impl<D: Damage> fmt::Display for StoreError<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let store = D::STORE_NAME;
        match self {
            StoreError::Database(error) => write!(f, "{store}: {error}"),
            StoreError::Encode(error) => write!(f, "{store}: {error}"),
            StoreError::Poisoned => write!(f, "{store}: an earlier write has failed; open it anew"),
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

/// `?` on the errors of `redb`, which has one type for each kind of call.
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
