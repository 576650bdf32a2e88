//! Estimates of when the events that a poll returns arrived. Without an estimate, a delayed event loop would attribute
//! its own delay to clients and nodes.
use mallowseam_scheduler::interface::Tick;

/// Duration in ticks above which a poll counts as having slept until an event arrived.
const SLEEP_THRESHOLD: Tick = 1;

/// Estimates arrival times of events from the times of polls.
pub struct ArrivalEstimator {
    last_poll: Tick,
}

impl ArrivalEstimator {
    /// Creates an estimator for an event loop that begins to poll at `now`.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        ArrivalEstimator { last_poll: now }
    }

    /// Returns the estimated arrival time of the events of the poll that lasted from `began` to `returned`. If the
    /// poll slept, the events arrived when it returned. Otherwise they arrived at an unknown time since the previous
    /// poll, of which the midpoint is the best estimate.
    pub fn estimate(&mut self, began: Tick, returned: Tick) -> Tick {
        let last_poll = std::mem::replace(&mut self.last_poll, returned);
        if returned - began > SLEEP_THRESHOLD {
            returned
        } else {
            last_poll + (returned - last_poll) / 2
        }
    }
}
