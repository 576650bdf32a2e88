//! Backoff after rejected requests of a client.
use crate::Millis;

/// Milliseconds before the next request is read after a rejected one, doubled by each further one: a client that
/// retries at once costs little.
const REJECTION_BACKOFF: Millis = 50;
/// Longest backoff, in milliseconds.
const MAX_REJECTION_BACKOFF: Millis = 1_600;
/// Rejections after which the backoff is not doubled any more. Keeps the shift within the type.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// When the next request of a client is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RejectionBackoff {
    consecutive_rejections: u32,
    /// None: no request was rejected yet.
    read_after: Option<Millis>,
}

impl RejectionBackoff {
    /// A request was rejected; the next one is read after a backoff.
    pub(crate) fn request_rejected(&mut self, now: Millis) {
        let doublings = self.consecutive_rejections.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (REJECTION_BACKOFF << doublings).min(MAX_REJECTION_BACKOFF);
        self.read_after = Some(now + backoff);
        self.consecutive_rejections += 1;
    }

    /// A request was accepted: the next rejection begins with the shortest backoff.
    pub(crate) fn request_accepted(&mut self) {
        self.consecutive_rejections = 0;
    }

    /// Whether the backoff has passed.
    pub(crate) fn has_passed(&self, now: Millis) -> bool {
        self.read_after.is_none_or(|read_after| now >= read_after)
    }
}
