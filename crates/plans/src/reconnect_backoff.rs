//! Delays between a host's attempts to connect to the control service: exponential backoff with jitter.
use crate::Millis;

/// Longest delay in milliseconds before the next connection attempt; each failed attempt doubles the delay. Half of
/// each delay is jitter, so that hosts that lost the service at the same time do not reconnect at the same time.
pub const MAX_RECONNECT_DELAY: Millis = 5_000;
/// Delay in milliseconds after the first failed attempt. A restarting service is available again within a few such
/// delays.
const MIN_RECONNECT_DELAY: Millis = 100;
/// Number of failed attempts after which the delay stops doubling: it exceeds [`MAX_RECONNECT_DELAY`] by then, and the
/// shift cannot overflow 64 bits.
const MAX_BACKOFF_EXPONENT: u32 = 10;
/// Largest jitter that takes effect; a larger value counts as this one.
const FULL_JITTER: u64 = 1_000;

/// State of the backoff between connection attempts.
#[derive(Default)]
pub(crate) struct ReconnectBackoff {
    failed_attempts: u32,
    /// Time at which the next attempt is due. None: no attempt has been made yet, and the first one is due at once.
    next_attempt: Option<Millis>,
}

impl ReconnectBackoff {
    /// Resets the delay to the shortest one, because the service has sent something.
    pub fn reset(&mut self) {
        self.failed_attempts = 0;
    }

    /// Returns whether an attempt is due now. A due attempt counts as made, and the next one is due after a delay.
    pub fn is_attempt_due(&mut self, now: Millis, jitter: u64) -> bool {
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
