//! The block I/Os that wait to be sent to one node.
use crate::interface::BioId;

/// Block I/Os in no particular order: the next one is chosen by priority.
#[derive(Default)]
pub(super) struct NodeQueue(Vec<BioId>);

impl NodeQueue {
    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a block I/O.
    pub(super) fn push(&mut self, bio: BioId) {
        self.0.push(bio);
    }

    /// The block I/Os.
    pub(super) fn iter(&self) -> impl Iterator<Item = BioId> {
        self.0.iter().copied()
    }

    /// Takes out the block I/O at a position; the last one takes its place.
    pub(super) fn take(&mut self, position: usize) -> BioId {
        self.0.swap_remove(position)
    }

    /// The block I/O at a position.
    pub(super) fn at(&self, position: usize) -> BioId {
        self.0[position]
    }

    /// Takes a block I/O out, if it is queued here.
    pub(super) fn remove(&mut self, bio: BioId) {
        self.0.retain(|queued| *queued != bio);
    }

    /// Takes all block I/Os out.
    pub(super) fn take_all(&mut self) -> Vec<BioId> {
        std::mem::take(&mut self.0)
    }
}
