//! Deadlines of attempts, the earliest first.
use mallowseam_scheduler::interface::Tick;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A time at which an attempt may expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The time.
    pub at: Tick,
    /// The connection that carries the attempt.
    pub slot: u32,
    /// The attempt's serial number.
    pub serial: u64,
}

/// A heap of deadlines. Those of completed attempts stay until they pass or are dropped.
#[derive(Default)]
pub struct Deadlines(BinaryHeap<Reverse<Deadline>>);

impl Deadlines {
    /// Adds a deadline.
    pub fn push(&mut self, deadline: Deadline) {
        self.0.push(Reverse(deadline));
    }

    /// The earliest time.
    pub fn next_at(&self) -> Option<Tick> {
        self.0.peek().map(|Reverse(deadline)| deadline.at)
    }

    /// Removes the earliest deadline, if it has passed.
    pub fn pop_passed(&mut self, now: Tick) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(deadline)| deadline)
    }

    /// Number of deadlines.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Drops the deadlines that are not live.
    pub fn retain(&mut self, mut is_live: impl FnMut(&Deadline) -> bool) {
        self.0.retain(|Reverse(deadline)| is_live(deadline));
    }
}
