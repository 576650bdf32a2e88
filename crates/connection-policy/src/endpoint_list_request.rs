//! When a request for the endpoint list has timed out.
use crate::Millis;

/// Milliseconds within which the endpoint list service answers a request in full.
pub const RESPONSE_TIMEOUT: Millis = 1_000;

/// A request to the endpoint list service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointListRequest {
    sent: Option<Millis>,
}

impl EndpointListRequest {
    /// The request was sent.
    pub fn sent(&mut self, now: Millis) {
        self.sent = Some(now);
    }

    /// The list was received in full, or the request failed otherwise.
    pub fn finished(&mut self) {
        self.sent = None;
    }

    /// Whether a request is pending and has timed out.
    #[must_use]
    pub fn has_timed_out(&self, now: Millis) -> bool {
        self.sent.is_some_and(|sent| now >= sent + RESPONSE_TIMEOUT)
    }
}
