//! Timeout of requests for the endpoint list.
use crate::Millis;

/// Maximum time in which the endpoint list service must answer a request in full, in milliseconds.
pub const RESPONSE_TIMEOUT: Millis = 1_000;

/// State of a host's request to the endpoint list service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointListRequest {
    /// Time at which the pending request was sent. `None`: no request is pending.
    sent_at: Option<Millis>,
}

impl EndpointListRequest {
    /// Records that the request was sent.
    pub fn sent(&mut self, now: Millis) {
        self.sent_at = Some(now);
    }

    /// Records that the list was received in full, or that the request failed.
    pub fn finished(&mut self) {
        self.sent_at = None;
    }

    /// Returns whether a request is pending and has timed out.
    #[must_use]
    pub fn has_timed_out(&self, now: Millis) -> bool {
        self.sent_at
            .is_some_and(|sent_at| now >= sent_at + RESPONSE_TIMEOUT)
    }
}
