//! Times at which to look at block I/Os again.
use crate::interface::{BioId, Tick};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of times, earliest first; of equal times the smallest index.
#[derive(Default)]
pub(crate) struct TimerQueue(BinaryHeap<Reverse<(Tick, BioId)>>);

impl TimerQueue {
    /// Adds a time for a block I/O.
    pub(crate) fn push(&mut self, time: Tick, bio: BioId) {
        self.0.push(Reverse((time, bio)));
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Tick> {
        self.0.peek().map(|Reverse((time, _))| *time)
    }

    /// Takes out the earliest entry if its time has come.
    pub(crate) fn pop_due(&mut self, now: Tick) -> Option<BioId> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, bio))| bio)
    }
}
