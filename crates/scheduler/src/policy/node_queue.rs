//! The block I/Os queued for one node.
use crate::interface::BioId;

/// Queued block I/Os in arbitrary order, since the next one is selected by priority.
#[derive(Default)]
pub(super) struct NodeQueue(Vec<BioId>);

impl NodeQueue {
    /// Returns the number of queued block I/Os.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no block I/O is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a block I/O to the queue.
    pub(super) fn push(&mut self, bio: BioId) {
        self.0.push(bio);
    }

    /// Returns the queued block I/Os.
    pub(super) fn iter(&self) -> impl Iterator<Item = BioId> {
        self.0.iter().copied()
    }

    /// Removes and returns the block I/O at a position, which the last block I/O then takes.
    pub(super) fn take(&mut self, position: usize) -> BioId {
        self.0.swap_remove(position)
    }

    /// Returns the block I/O at a position.
    pub(super) fn at(&self, position: usize) -> BioId {
        self.0[position]
    }

    /// Removes a block I/O, if it is queued.
    pub(super) fn remove(&mut self, bio: BioId) {
        self.0.retain(|queued| *queued != bio);
    }

    /// Removes and returns all block I/Os.
    pub(super) fn take_all(&mut self) -> Vec<BioId> {
        std::mem::take(&mut self.0)
    }
}
