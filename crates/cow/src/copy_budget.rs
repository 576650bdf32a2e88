//! When a host may start to copy an extent before its first write. Retries of failed copies come out of a budget of
//! their own, so that a failing node does not receive the same copies repeatedly at the expense of clients: each copy
//! reads and writes an entire extent.
use crate::Millis;

/// Copies of one host in flight at most: enough to use some nodes in parallel, few enough to leave them capacity for
/// clients.
pub const MAX_CONCURRENT_COPIES: usize = 8;
/// Milliseconds between a failed copy and the next one of that extent.
pub const RETRY_DELAY: Millis = 20;
/// Milliseconds for which a host retains that a copy failed, if no write needs it again.
pub const FAILURE_RETENTION: Millis = 5_000;
/// Retries that may be in the budget: one for each copy that can be in flight.
const MAX_RETRIES: f64 = MAX_CONCURRENT_COPIES as f64;
/// What a successful copy adds to the budget: the retry ratio that the fleet is usually allowed.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Milliseconds in which one retry is admitted even with an empty budget, so that a recovered node is noticed.
const PROBE_INTERVAL: Millis = 250;

/// The copies that one host may start, and its budget of retries (a token bucket).
pub struct CopyBudget {
    retries_left: f64,
    /// When a retry was last admitted with an empty budget. It starts as the zero of the caller's clock: the first one
    /// is admitted once the clock shows [`PROBE_INTERVAL`].
    last_probe: Millis,
    rejected_retries: u64,
}

impl Default for CopyBudget {
    fn default() -> Self {
        CopyBudget {
            retries_left: MAX_RETRIES,
            last_probe: 0,
            rejected_retries: 0,
        }
    }
}

impl CopyBudget {
    /// Whether a copy may start now, with this many in flight. `is_retry`: the last attempt at it failed.
    #[must_use]
    pub fn may_start(&mut self, in_flight: usize, is_retry: bool, now: Millis) -> bool {
        if in_flight >= MAX_CONCURRENT_COPIES {
            return false;
        }
        if !is_retry {
            return true;
        }
        if self.retries_left >= 1.0 {
            self.retries_left -= 1.0;
            return true;
        }
        if now >= self.last_probe + PROBE_INTERVAL {
            self.last_probe = now;
            return true;
        }
        self.rejected_retries += 1;
        false
    }

    /// Retries that the budget has rejected so far.
    #[must_use]
    pub fn rejected_retries(&self) -> u64 {
        self.rejected_retries
    }

    /// Records that a copy has succeeded.
    pub fn record_success(&mut self) {
        self.retries_left = (self.retries_left + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }
}
