//! The tree of snapshots and clones on disk. Each layer, location, branch and snapshot has a row of its own, and each
//! batch of changes writes the rows that it affects, in one transaction. After any crash, a batch for which `commit`
//! has returned is on disk, and a batch that was not committed is not. Opening the catalog reads all rows once.
//!
//! - `rows`: the tables, and which rows a batch has to write.
//! - `load`: reads the tree from the tables.
//! - `staged_batch`: the changes of the next commit.
//! - `recent_changes`: the last changes on disk.
//! - `format_1`: conversion of files of format 1.
#![warn(missing_docs)]

mod error;
mod format_1;
mod load;
mod recent_changes;
mod rows;
mod staged_batch;

pub use error::{CatalogDamage, Error};

use mallowseam_cow::messages::NO_CATALOG;
use mallowseam_cow::tree::{Change, ChangeEffects, ChangeError, Tree};
use mallowseam_durable_store::{DurableStore, Format, StoredFormat};
use recent_changes::RecentChanges;
use redb::{StorageBackend, WriteTransaction};
use rows::DirtyRows;
use staged_batch::StagedBatch;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::Path;

/// The format of the store, with one row for each record of the tree. Files of format 1 are converted.
const FORMAT: Format = Format {
    key: "catalog",
    current: 2,
    oldest: format_1::FORMAT,
};

/// An open catalog: the stored tree, with changes that are not committed yet.
#[derive(Debug)]
pub struct Catalog {
    store: DurableStore,
    id: u64,
    /// The tree after all staged changes.
    tree: Tree,
    /// Version of the tree that is on disk.
    committed_version: u64,
    staged: StagedBatch,
    recent: RecentChanges,
}

/// The changes of one commit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommittedBatch {
    /// Version of the tree after the first change.
    pub first_version: u64,
    /// Changes of the batch, in order.
    pub changes: Vec<Change>,
}

impl Catalog {
    /// Opens the catalog in a file, or creates it. A file of an older format is converted.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or read, or its contents are damaged.
    pub fn open(path: &Path) -> Result<Catalog, Error> {
        Catalog::read(DurableStore::open(path, FORMAT, prepare)?)
    }

    /// Opens or creates the catalog like [`Catalog::open`], in a storage that need not be a file.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Catalog::open`].
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<Catalog, Error> {
        Catalog::read(DurableStore::open_with_backend(backend, FORMAT, prepare)?)
    }

    fn read(store: DurableStore) -> Result<Catalog, Error> {
        let (id, tree) = load::load(&store)?;
        let inconsistencies = tree.inconsistencies();
        if !inconsistencies.is_empty() {
            return Err(CatalogDamage::Inconsistent(inconsistencies).into());
        }
        Ok(Catalog {
            store,
            id,
            committed_version: tree.version,
            tree,
            staged: StagedBatch::default(),
            recent: RecentChanges::default(),
        })
    }

    /// Returns the random id of this catalog. The trees of two catalogs have nothing in common.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the tree after all staged changes, whether they are on disk or not.
    #[must_use]
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the version of the tree that is on disk.
    #[must_use]
    pub fn committed_version(&self) -> u64 {
        self.committed_version
    }

    /// Applies a change to the tree in memory. It is on disk once [`Catalog::commit`] has returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the change does not fit the tree, which is then unchanged.
    pub fn stage(&mut self, change: Change) -> Result<ChangeEffects, ChangeError> {
        let effects = self.tree.apply(&change)?;
        self.staged.add(change, &effects);
        Ok(effects)
    }

    /// Writes all staged changes to disk, all or none, and returns them.
    ///
    /// # Errors
    ///
    /// Returns the errors of the database. After an error the catalog commits nothing more: only reopening it shows
    /// whether the changes are on disk.
    pub fn commit(&mut self) -> Result<CommittedBatch, Error> {
        self.store.check_not_poisoned()?;
        let first_version = self.committed_version + 1;
        if self.staged.is_empty() {
            return Ok(CommittedBatch {
                first_version,
                changes: Vec::new(),
            });
        }
        let staged = &self.staged;
        let tree = &self.tree;
        self.store
            .write_or_poison(|transaction| staged.write(transaction, tree))?;
        self.committed_version = self.tree.version;
        let changes = std::mem::take(&mut self.staged).into_changes();
        self.recent.extend(&changes);
        Ok(CommittedBatch {
            first_version,
            changes,
        })
    }

    /// Returns the committed changes after a version, each with the version that it leads to. None: they are no longer
    /// retained, or the version is higher than that on disk.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<impl Iterator<Item = (u64, &Change)>> {
        let missing = self.committed_version.checked_sub(version)?;
        Some((version + 1..).zip(self.recent.last(missing)?))
    }
}

/// Writes the tree of a new file, or the converted tree of a file of an older format.
fn prepare(transaction: &WriteTransaction, stored: StoredFormat) -> Result<(), Error> {
    let tree = match stored {
        StoredFormat::Current => return Ok(()),
        StoredFormat::Missing => Tree::default(),
        StoredFormat::Older(_) => format_1::take_tree(transaction)?,
    };
    DirtyRows::all(&tree).write(transaction, &tree)?;
    rows::write_id(transaction, random_id())
}

/// Returns a random id other than [`NO_CATALOG`]. The id is not derived from the clock or the path, so that two
/// catalogs that are created at the same time have different ids.
fn random_id() -> u64 {
    let random = RandomState::new().build_hasher().finish();
    random.max(NO_CATALOG + 1)
}
