//! Failure detection for a watch of the endpoint list.
use crate::Millis;

/// Maximum time from a request to the head of its response, in milliseconds. The service queues a request for at most
/// 1 s; a request that waits longer only delays those of other hosts.
pub const RESPONSE_TIMEOUT: Millis = 1_200;
/// Maximum time from a request to its first complete event, which is a list of any length, in milliseconds. Applies
/// once the head of the response was received.
pub const FIRST_EVENT_TIMEOUT: Millis = 4_000;
/// Time without an event after which a watch has failed, in milliseconds. The service sends a heartbeat every 2 s; the
/// timeout allows for one missed heartbeat and 1.2 s more for a slow one. The platform expects a host to know what a
/// stalled watch has missed 6 s after the stall; the rest of that time is left for a new request.
pub const HEARTBEAT_TIMEOUT: Millis = 3_200;

/// Liveness state of one watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchLiveness {
    requested_at: Millis,
    response_started: bool,
    /// Time at which the last complete event was received. An incomplete line is not an event.
    last_event_at: Option<Millis>,
    failure_reported: bool,
}

impl WatchLiveness {
    /// Creates the state of a watch that was requested at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        WatchLiveness {
            requested_at: now,
            response_started: false,
            last_event_at: None,
            failure_reported: false,
        }
    }

    /// Records that the head of the response was received.
    pub fn response_started(&mut self) {
        self.response_started = true;
    }

    /// Records that a complete event or a heartbeat was received. Returns whether it is the first of this watch.
    pub fn event_received(&mut self, now: Millis) -> bool {
        self.last_event_at.replace(now).is_none()
    }

    /// Returns the time on the host's clock at which the watch fails if nothing is received before, in milliseconds.
    #[must_use]
    pub fn fails_at(&self) -> Millis {
        match self.last_event_at {
            None if self.response_started => self.requested_at + FIRST_EVENT_TIMEOUT,
            None => self.requested_at + RESPONSE_TIMEOUT,
            Some(last_event_at) => last_event_at + HEARTBEAT_TIMEOUT,
        }
    }

    /// Returns whether an event was received. A watch without an event is still in the service's queue; closing it
    /// frees its place in the queue.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.last_event_at.is_some()
    }

    /// Returns whether the watch has failed by now; true only once per watch. The caller then requests a second watch.
    /// An established watch is still read until the second one has delivered an event.
    pub fn check_failure(&mut self, now: Millis) -> bool {
        let fails = !self.failure_reported && now >= self.fails_at();
        self.failure_reported |= fails;
        fails
    }
}
