//! The times by which an event is judged.
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::ticks_to_millis;

/// The times of the current event and of its poll.
pub struct EventTimes {
    now: Tick,
    polled_at: Tick,
    events_arrived_at: Tick,
    arrivals: ArrivalEstimator,
}

impl EventTimes {
    /// Times of a loop that begins at `now`.
    pub fn new(now: Tick) -> Self {
        EventTimes {
            now,
            polled_at: now,
            events_arrived_at: now,
            arrivals: ArrivalEstimator::new(now),
        }
    }

    /// A poll that began at one time has returned events at another.
    pub fn poll_returned(&mut self, began: Tick, returned: Tick) {
        self.events_arrived_at = self.arrivals.estimate(began, returned);
    }

    /// The events of the poll that has just returned are handled from now on.
    pub fn begin_iteration(&mut self, now: Tick) {
        self.now = now;
        self.polled_at = now;
    }

    /// The next event is handled from now on.
    pub fn advance(&mut self, now: Tick) {
        self.now = now;
    }

    /// The time of the current event.
    pub fn now(&self) -> Tick {
        self.now
    }

    /// The time of the current event in milliseconds.
    pub fn now_ms(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    /// When the events of this iteration arrived at their sockets.
    pub fn events_arrived_at(&self) -> Tick {
        self.events_arrived_at
    }

    /// Whether the last poll is so old that a client's socket is checked before anything is started for it.
    pub fn is_poll_stale(&self) -> bool {
        client_connection::poll_result_is_stale(ticks_to_millis(self.now - self.polled_at))
    }
}
