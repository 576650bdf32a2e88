//! Pauses before further attempts at a node: exponential backoff, and the spacing of a window below one.
use crate::interface::Tick;

/// Ticks of pause after the second failure in a row; each further one doubles it.
const MIN_BACKOFF: Tick = 100;
/// Failures in a row after which the pause begins.
const FAILURES_WITHOUT_BACKOFF: u32 = 1;
/// The most times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 16;
/// The longest backoff in ticks, to be multiplied by the root of the host count, as all hosts try the node.
const MAX_BACKOFF: f64 = 3_000.0;

/// Failures in a row at a node, and the pause that follows from them.
#[derive(Default)]
pub(super) struct Backoff {
    consecutive_failures: u32,
    /// The end of the latest pause.
    paused_until: Option<Tick>,
}

/// The longest pause after failures in a row, for one of so many hosts.
pub(super) fn max_backoff(hosts: f64) -> Tick {
    (MAX_BACKOFF * hosts.sqrt()) as Tick
}

impl Backoff {
    /// Failed attempts since the last that completed.
    pub(super) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// An attempt completed.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// An attempt failed.
    pub(super) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Pauses after an attempt for the spacing of attempts or for the backoff, whichever is longer. A pause that ends
    /// later stays.
    pub(super) fn pause_after_attempt(&mut self, now: Tick, spacing: Tick, max_backoff: Tick) {
        let end = now + self.backoff(max_backoff).max(spacing);
        self.paused_until = self.paused_until.max(Some(end));
    }

    /// Sets the end of the pause, whatever it was before.
    pub(super) fn pause_until(&mut self, end: Tick) {
        self.paused_until = Some(end);
    }

    /// The end of the pause, if it is still to come.
    pub(super) fn pause_end(&self, now: Tick) -> Option<Tick> {
        self.paused_until.filter(|end| *end > now)
    }

    /// A node that fails again and again is tried less and less often, until it answers.
    fn backoff(&self, max_backoff: Tick) -> Tick {
        if self.consecutive_failures <= FAILURES_WITHOUT_BACKOFF {
            return 0;
        }
        let doublings = self.consecutive_failures - FAILURES_WITHOUT_BACKOFF - 1;
        (MIN_BACKOFF << doublings.min(MAX_DOUBLINGS)).min(max_backoff)
    }
}
