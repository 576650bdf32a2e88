//! Exponential backoff after rejected requests of a client.
use crate::Millis;

/// Backoff after the first rejected request, in milliseconds; doubled by each further one. Limits the cost of clients
/// that retry at once.
const REJECTION_BACKOFF: Millis = 50;
/// Longest backoff, in milliseconds.
const MAX_REJECTION_BACKOFF: Millis = 1_600;
/// Maximum number of times that the backoff is doubled. Keeps the shift within the integer's width.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Backoff state of one client: when its next request is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RejectionBackoff {
    consecutive_rejections: u32,
    /// Time from which on the next request is read. `None`: no request was rejected yet.
    read_after: Option<Millis>,
}

impl RejectionBackoff {
    /// Records that a request was rejected and starts the backoff.
    pub(crate) fn request_rejected(&mut self, now: Millis) {
        let doublings = self.consecutive_rejections.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (REJECTION_BACKOFF << doublings).min(MAX_REJECTION_BACKOFF);
        self.read_after = Some(now + backoff);
        self.consecutive_rejections += 1;
    }

    /// Records that a request was accepted. The next rejection starts with the shortest backoff.
    pub(crate) fn request_accepted(&mut self) {
        self.consecutive_rejections = 0;
    }

    /// Returns whether the backoff has passed.
    pub(crate) fn has_passed(&self, now: Millis) -> bool {
        self.read_after.is_none_or(|read_after| now >= read_after)
    }
}
