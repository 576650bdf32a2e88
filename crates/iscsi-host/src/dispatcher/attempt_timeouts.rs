//! Timeouts of attempts.
#[cfg(test)]
mod tests;

use mallowseam_scheduler::interface::Tick;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of timeouts above which the timeouts of ended attempts are removed.
/// `REMOVAL_THRESHOLD_PER_BLOCK_IO` is added for each block I/O in flight.
const REMOVAL_THRESHOLD: usize = 64;
/// Increase of `REMOVAL_THRESHOLD` for each block I/O in flight.
const REMOVAL_THRESHOLD_PER_BLOCK_IO: usize = 4;

/// Timeout of an attempt. Timeouts are ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimeout {
    at: Tick,
    tag: u32,
}

/// Timeouts of the attempts in flight, and of some attempts that have ended.
#[derive(Default)]
pub(super) struct AttemptTimeouts {
    heap: BinaryHeap<Reverse<AttemptTimeout>>,
}

impl AttemptTimeouts {
    pub(super) fn add(&mut self, at: Tick, tag: u32) {
        self.heap.push(Reverse(AttemptTimeout { at, tag }));
    }

    /// Returns the time of the next timeout.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.heap.peek().map(|Reverse(timeout)| timeout.at)
    }

    /// Removes the next timeout that is due. Returns the tag of its attempt.
    pub(super) fn take_due(&mut self, now: Tick) -> Option<u32> {
        self.next_due().filter(|due| *due <= now)?;
        self.heap.pop().map(|Reverse(timeout)| timeout.tag)
    }

    /// Removes the timeouts of attempts that have ended, once there are many. Most attempts end long before
    /// they time out. `block_ios`: number of block I/Os in flight.
    pub(super) fn remove_ended(&mut self, block_ios: usize, is_in_flight: impl Fn(u32) -> bool) {
        if self.heap.len() > REMOVAL_THRESHOLD + REMOVAL_THRESHOLD_PER_BLOCK_IO * block_ios {
            self.heap
                .retain(|Reverse(timeout)| is_in_flight(timeout.tag));
        }
    }
}
