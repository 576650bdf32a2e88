//! Deadlines of attempts, ordered by time.
use mallowseam_scheduler::interface::Tick;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time at which an attempt may expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// Time of the deadline.
    pub at: Tick,
    /// Slot of the connection that carries the attempt.
    pub slot: u32,
    /// Serial number of the attempt.
    pub serial: u64,
}

/// Heap of deadlines, the earliest first. Deadlines of completed attempts stay until they have passed or are dropped.
#[derive(Default)]
pub struct Deadlines(BinaryHeap<Reverse<Deadline>>);

impl Deadlines {
    /// Adds a deadline.
    pub fn push(&mut self, deadline: Deadline) {
        self.0.push(Reverse(deadline));
    }

    /// Returns the time of the earliest deadline.
    pub fn next_at(&self) -> Option<Tick> {
        self.0.peek().map(|Reverse(deadline)| deadline.at)
    }

    /// Removes and returns the earliest deadline, if it has passed.
    pub fn pop_passed(&mut self, now: Tick) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(deadline)| deadline)
    }

    /// Returns the number of deadlines, including those of completed attempts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Drops all deadlines for which `is_live` returns `false`.
    pub fn retain(&mut self, mut is_live: impl FnMut(&Deadline) -> bool) {
        self.0.retain(|Reverse(deadline)| is_live(deadline));
    }
}
