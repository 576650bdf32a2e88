//! The queue of block I/Os of an ordering key.
use crate::interface::BioId;
use std::collections::VecDeque;

/// Block I/Os in order of arrival. Most keys never have more than one, for which no memory is allocated.
#[derive(Default)]
pub(crate) struct KeyQueue {
    first: Option<BioId>,
    rest: VecDeque<BioId>,
}

impl KeyQueue {
    /// Appends a block I/O to the queue.
    pub(crate) fn push(&mut self, id: BioId) {
        match self.first {
            None => self.first = Some(id),
            Some(_) => self.rest.push_back(id),
        }
    }

    /// Returns the block I/O at the front of the queue.
    pub(crate) fn first(&self) -> Option<BioId> {
        self.first
    }

    /// Removes a block I/O from any position. Does nothing if the block I/O is not in the queue.
    pub(crate) fn remove(&mut self, id: BioId) {
        if self.first == Some(id) {
            self.first = self.rest.pop_front();
        } else {
            self.rest.retain(|queued| *queued != id);
        }
    }
}
