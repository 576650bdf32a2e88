//! A queue of the times at which block I/Os are to be checked.
use crate::interface::{BioId, Tick};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of timers ordered by time, and by block I/O index where the times are equal.
#[derive(Default)]
pub(crate) struct TimerQueue(BinaryHeap<Reverse<(Tick, BioId)>>);

impl TimerQueue {
    /// Adds a timer for a block I/O.
    pub(crate) fn push(&mut self, time: Tick, bio: BioId) {
        self.0.push(Reverse((time, bio)));
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Tick> {
        self.0.peek().map(|Reverse((time, _))| *time)
    }

    /// Removes the earliest timer if it is due, and returns its block I/O.
    pub(crate) fn pop_due(&mut self, now: Tick) -> Option<BioId> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, bio))| bio)
    }
}
