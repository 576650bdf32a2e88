//! The queue of an ordering key.
use crate::interface::BioId;
use std::collections::VecDeque;

/// Block I/Os in the order of their arrival. Most keys never have more than one, for which nothing is allocated.
#[derive(Default)]
pub(crate) struct KeyQueue {
    first: Option<BioId>,
    rest: VecDeque<BioId>,
}

impl KeyQueue {
    /// Appends a block I/O.
    pub(crate) fn push(&mut self, id: BioId) {
        match self.first {
            None => self.first = Some(id),
            Some(_) => self.rest.push_back(id),
        }
    }

    /// The block I/O at the front.
    pub(crate) fn first(&self) -> Option<BioId> {
        self.first
    }

    /// Takes a block I/O out, wherever it stands; one that is not in the queue changes nothing.
    pub(crate) fn remove(&mut self, id: BioId) {
        if self.first == Some(id) {
            self.first = self.rest.pop_front();
        } else {
            self.rest.retain(|queued| *queued != id);
        }
    }
}
