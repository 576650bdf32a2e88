//! When the events that a poll returns arrived. Without the estimate, an event loop that was delayed would
//! attribute its own delay to clients and nodes.
use mallowseam_scheduler::interface::Tick;

/// A poll that lasted longer than this many ticks slept until something arrived.
const SLEEP_THRESHOLD: Tick = 1;

/// Estimates arrival times from the times of polls.
pub struct ArrivalEstimator {
    last_poll: Tick,
}

impl ArrivalEstimator {
    /// An estimator for a loop that begins to poll at `now`.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        ArrivalEstimator { last_poll: now }
    }

    /// When the events of the poll that lasted from `began` to `returned` arrived: where the poll slept, when it
    /// returned; else at some time since the last poll, of which the midpoint is the best estimate.
    pub fn estimate(&mut self, began: Tick, returned: Tick) -> Tick {
        let last_poll = std::mem::replace(&mut self.last_poll, returned);
        if returned - began > SLEEP_THRESHOLD {
            returned
        } else {
            last_poll + (returned - last_poll) / 2
        }
    }
}
