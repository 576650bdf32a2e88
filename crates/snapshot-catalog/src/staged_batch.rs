//! Changes that are applied to the tree in memory and not on disk yet.
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
    /// Adds a change that has had these effects on the tree.
    pub(crate) fn add(&mut self, change: Change, effects: &ChangeEffects) {
        self.dirty.add(effects);
        self.changes.push(change);
    }

    /// Whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Writes the rows as the tree has them now.
    pub(crate) fn write(&self, transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
        self.dirty.write(transaction, tree)
    }

    /// The changes, in order.
    pub(crate) fn into_changes(self) -> Vec<Change> {
        self.changes
    }
}
