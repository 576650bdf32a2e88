//! When attempts time out.
use mallowseam_scheduler::interface::Tick;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timeouts of ended attempts are cleared out when there are more than this, and than
/// `MAX_TIMEOUTS_PER_BLOCK_IO` for each block I/O in flight.
const MIN_TIMEOUTS: usize = 64;
/// Timeouts for each block I/O in flight, above `MIN_TIMEOUTS`.
const MAX_TIMEOUTS_PER_BLOCK_IO: usize = 4;

/// When an attempt times out. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimeout {
    at: Tick,
    tag: u32,
}

/// The timeouts of attempts in flight, and of some that have ended.
#[derive(Default)]
pub(super) struct AttemptTimeouts {
    heap: BinaryHeap<Reverse<AttemptTimeout>>,
}

impl AttemptTimeouts {
    pub(super) fn add(&mut self, at: Tick, tag: u32) {
        self.heap.push(Reverse(AttemptTimeout { at, tag }));
    }

    /// When the next one is due.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.heap.peek().map(|Reverse(timeout)| timeout.at)
    }

    /// The tag of the next attempt whose timeout has passed.
    pub(super) fn take_due(&mut self, now: Tick) -> Option<u32> {
        self.next_due().filter(|due| *due <= now)?;
        self.heap.pop().map(|Reverse(timeout)| timeout.tag)
    }

    /// Removes the timeouts of attempts that have ended, once there are many: most attempts end long before
    /// they time out. `block_ios`: how many block I/Os are in flight.
    pub(super) fn remove_ended(&mut self, block_ios: usize, is_in_flight: impl Fn(u32) -> bool) {
        if self.heap.len() > MIN_TIMEOUTS + MAX_TIMEOUTS_PER_BLOCK_IO * block_ios {
            self.heap
                .retain(|Reverse(timeout)| is_in_flight(timeout.tag));
        }
    }
}
