//! When a host tries again to connect to the control service: exponential backoff with jitter.
use crate::Millis;

/// Longest delay in milliseconds before the next connection attempt; each failed attempt doubles the delay. Half of
/// each delay is jitter, so that hosts that lost the service at the same time do not reconnect at the same time.
pub const MAX_RECONNECT_DELAY: Millis = 5_000;
/// Delay in milliseconds after the first attempt: a service that restarts is back within a few of these.
const MIN_RECONNECT_DELAY: Millis = 100;
/// The delay stops doubling after so many attempts: it has passed [`MAX_RECONNECT_DELAY`] by then, and the shift
/// stays far inside 64 bits.
const MAX_BACKOFF_EXPONENT: u32 = 10;
/// The largest value of the jitter that a caller passes in.
const FULL_JITTER: u64 = 1_000;

/// The delays between connection attempts.
#[derive(Default)]
pub(crate) struct ReconnectBackoff {
    failed_attempts: u32,
    /// None: no attempt was made yet, and the first one is due.
    next_attempt: Option<Millis>,
}

impl ReconnectBackoff {
    /// The service has sent something, so the next lost connection starts with the shortest delay.
    pub fn reset(&mut self) {
        self.failed_attempts = 0;
    }

    /// Whether an attempt is due now; if so it counts as made, and the next one is due after a delay.
    pub fn attempt_due(&mut self, now: Millis, jitter: u64) -> bool {
        if self.next_attempt.is_some_and(|next| now < next) {
            return false;
        }
        let delay = (MIN_RECONNECT_DELAY << self.failed_attempts).min(MAX_RECONNECT_DELAY);
        let jitter_delay = delay / 2 * jitter.min(FULL_JITTER) / FULL_JITTER;
        self.failed_attempts = (self.failed_attempts + 1).min(MAX_BACKOFF_EXPONENT);
        self.next_attempt = Some(now + delay / 2 + jitter_delay);
        true
    }
}

#[cfg(test)]
mod tests;
