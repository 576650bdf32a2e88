//! Times of the current event and of the poll that reported it.
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::ticks_to_millis;

/// Times of the current event and of the last poll, in ticks.
pub struct EventTimes {
    now: Tick,
    polled_at: Tick,
    events_arrived_at: Tick,
    arrivals: ArrivalEstimator,
}

impl EventTimes {
    /// Creates the times of an event loop that begins at `now`.
    pub fn new(now: Tick) -> Self {
        EventTimes {
            now,
            polled_at: now,
            events_arrived_at: now,
            arrivals: ArrivalEstimator::new(now),
        }
    }

    /// Estimates when the events of a poll arrived that began at `began` and returned at `returned`.
    pub fn poll_returned(&mut self, began: Tick, returned: Tick) {
        self.events_arrived_at = self.arrivals.estimate(began, returned);
    }

    /// Begins handling the events of the poll that has just returned; `now` counts as the time of that poll.
    pub fn begin_iteration(&mut self, now: Tick) {
        self.now = now;
        self.polled_at = now;
    }

    /// Sets the time of the current event.
    pub fn advance(&mut self, now: Tick) {
        self.now = now;
    }

    /// Returns the time of the current event.
    pub fn now(&self) -> Tick {
        self.now
    }

    /// Returns the time of the current event, in milliseconds.
    pub fn now_ms(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    /// Returns the estimated time at which the events of this iteration arrived at their sockets.
    pub fn events_arrived_at(&self) -> Tick {
        self.events_arrived_at
    }

    /// Returns whether the last poll is so old that a client's socket has to be checked before a block I/O or attempt
    /// is started for it.
    pub fn is_poll_stale(&self) -> bool {
        client_connection::poll_result_is_stale(ticks_to_millis(self.now - self.polled_at))
    }
}
