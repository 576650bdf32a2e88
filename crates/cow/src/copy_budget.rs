//! Decides when a host may start to copy an extent before its first write. Retries of failed copies are limited by a
//! retry budget: each copy reads and writes an entire extent, and a failing node must not receive the same copies
//! repeatedly at the expense of clients.
use crate::Millis;

/// Maximum number of copies of one host in flight: enough to use some nodes in parallel, few enough to leave them
/// capacity for clients.
pub const MAX_CONCURRENT_COPIES: usize = 8;
/// Delay between a failed copy and the next attempt to copy the same extent, in milliseconds.
pub const RETRY_DELAY: Millis = 20;
/// Time for which a host retains that a copy failed, if no write needs the copy again, in milliseconds.
pub const FAILURE_RETENTION: Millis = 5_000;
/// Maximum number of retries in the budget: one for each copy that can be in flight.
const MAX_RETRIES: f64 = MAX_CONCURRENT_COPIES as f64;
/// Retries that a successful copy adds to the budget: the retry ratio that the fleet is usually allowed.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Interval in which one retry is admitted even with an empty budget, so that a recovered node is noticed, in
/// milliseconds.
const PROBE_INTERVAL: Millis = 250;

/// Limit of the copies that one host has in flight, and its retry budget (a token bucket).
pub struct CopyBudget {
    retries_left: f64,
    /// When a retry was last admitted with an empty budget. Initially the zero of the caller's clock, so that the first
    /// such retry is admitted once the clock shows [`PROBE_INTERVAL`].
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
    /// Returns whether a copy may start now, and takes a retry out of the budget if it needs one.
    ///
    /// `in_flight`: number of the host's copies in flight. `is_retry`: whether the last attempt to copy this extent has
    /// failed.
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

    /// Returns the number of retries that the budget has rejected so far.
    #[must_use]
    pub fn rejected_retries(&self) -> u64 {
        self.rejected_retries
    }

    /// Records that a copy has succeeded.
    pub fn record_success(&mut self) {
        self.retries_left = (self.retries_left + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }
}
