//! When a watch of the endpoint list has failed.
use crate::Millis;

/// Milliseconds from a request to the head of its response. The service queues a request for a second at most; one
/// that waits longer only delays those of other hosts.
pub const RESPONSE_TIMEOUT: Millis = 1_200;
/// Milliseconds from a request to its first complete event, a list of any length, once the head of the response
/// was received.
pub const FIRST_EVENT_TIMEOUT: Millis = 4_000;
/// Milliseconds without an event after which a watch has failed. The service sends a heartbeat every 2 s: one
/// missed, and 1.2 s more for a slow one. The platform takes a host to know what a stalled watch has missed 6 s after
/// the stall; the time that is left until then is for a new request.
pub const HEARTBEAT_TIMEOUT: Millis = 3_200;

/// Liveness of one watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchLiveness {
    requested: Millis,
    response_started: bool,
    /// When its last complete event was received; an incomplete line does not count.
    last_event: Option<Millis>,
    failure_reported: bool,
}

impl WatchLiveness {
    /// A watch requested at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        WatchLiveness {
            requested: now,
            response_started: false,
            last_event: None,
            failure_reported: false,
        }
    }

    /// The head of the response was received.
    pub fn response_started(&mut self) {
        self.response_started = true;
    }

    /// A complete event, or a heartbeat, was received. True: it is the first.
    pub fn event_received(&mut self, now: Millis) -> bool {
        self.last_event.replace(now).is_none()
    }

    /// When it has failed unless something is received before, in milliseconds on the host's clock.
    #[must_use]
    pub fn fails_at(&self) -> Millis {
        match self.last_event {
            None if self.response_started => self.requested + FIRST_EVENT_TIMEOUT,
            None => self.requested + RESPONSE_TIMEOUT,
            Some(last_event) => last_event + HEARTBEAT_TIMEOUT,
        }
    }

    /// Whether an event was received. A request without one is still queued by the service; closing it frees its
    /// place in that queue.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.last_event.is_some()
    }

    /// The periodic check: whether it has failed by now. True once only: a second watch is then requested beside
    /// one that was established, which is read on until the second has delivered an event.
    pub fn check_failure(&mut self, now: Millis) -> bool {
        let fails = !self.failure_reported && now >= self.fails_at();
        self.failure_reported |= fails;
        fails
    }
}
