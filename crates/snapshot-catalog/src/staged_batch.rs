//! The changes that are applied to the tree in memory and not on disk yet.
use crate::Error;
use crate::rows::DirtyRows;
use mallowseam_cow::tree::{Change, ChangeEffects, Tree};
use redb::WriteTransaction;

/// The changes of the next commit, and the rows that they affect.
#[derive(Debug, Default)]
pub(crate) struct StagedBatch {
    changes: Vec<Change>,
    dirty: DirtyRows,
}

impl StagedBatch {
    /// Adds a change, with the effects that it had on the tree.
    pub(crate) fn add(&mut self, change: Change, effects: &ChangeEffects) {
        self.dirty.add(effects);
        self.changes.push(change);
    }

    /// Returns whether there are no changes to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Writes the affected rows as they follow from the tree now.
    pub(crate) fn write(&self, transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
        self.dirty.write(transaction, tree)
    }

    /// Returns the changes, in order.
    pub(crate) fn into_changes(self) -> Vec<Change> {
        self.changes
    }
}
