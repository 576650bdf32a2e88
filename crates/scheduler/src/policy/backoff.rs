//! Pauses before further attempts at a node: exponential backoff, and the spacing of attempts for a window below one.
use crate::interface::Tick;

/// Ticks of backoff after the second consecutive failure. Each further failure doubles it.
const MIN_BACKOFF: Tick = 100;
/// Number of consecutive failures without a backoff.
const FAILURES_WITHOUT_BACKOFF: u32 = 1;
/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 16;
/// Maximum backoff in ticks for one host. It is multiplied by the square root of the number of hosts, because all hosts
/// retry the node.
const MAX_BACKOFF: f64 = 3_000.0;

/// The consecutive failures at a node, and the resulting pause.
#[derive(Default)]
pub(super) struct Backoff {
    consecutive_failures: u32,
    /// End of the latest pause.
    paused_until: Option<Tick>,
}

/// Returns the maximum backoff after consecutive failures, for one of this many hosts.
pub(super) fn max_backoff(hosts: f64) -> Tick {
    (MAX_BACKOFF * hosts.sqrt()) as Tick
}

impl Backoff {
    /// Returns the number of failed attempts since the last completed one.
    pub(super) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Records a completed attempt.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Pauses after an attempt for the longer of the attempt spacing and the backoff. An existing pause is never
    /// shortened.
    pub(super) fn pause_after_attempt(&mut self, now: Tick, spacing: Tick, max_backoff: Tick) {
        let end = now + self.backoff(max_backoff).max(spacing);
        self.paused_until = self.paused_until.max(Some(end));
    }

    /// Sets the end of the pause, replacing any earlier one.
    pub(super) fn pause_until(&mut self, end: Tick) {
        self.paused_until = Some(end);
    }

    /// Returns the end of the pause, if it is in the future.
    pub(super) fn pause_end(&self, now: Tick) -> Option<Tick> {
        self.paused_until.filter(|end| *end > now)
    }

    /// Returns the backoff: a node that fails repeatedly is tried less and less often until it answers.
    fn backoff(&self, max_backoff: Tick) -> Tick {
        if self.consecutive_failures <= FAILURES_WITHOUT_BACKOFF {
            return 0;
        }
        let doublings = self.consecutive_failures - FAILURES_WITHOUT_BACKOFF - 1;
        (MIN_BACKOFF << doublings.min(MAX_DOUBLINGS)).min(max_backoff)
    }
}
