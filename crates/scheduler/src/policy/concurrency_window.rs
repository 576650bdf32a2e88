//! The concurrency window: how many attempts of this host may be in flight at a node.

/// Attempts in flight at a node, at most.
pub(super) const MAX: f64 = 32.0;
/// Attempts at a node crowded by many hosts, at least: one in flight a tenth of the time.
const MIN: f64 = 0.1;
/// Attempts of all hosts together at a node not yet known, beyond one of each host.
const INITIAL_OF_ALL_HOSTS: f64 = 4.0;
/// Fraction of the shortest objective: while latencies are below it, the node has capacity left.
pub(super) const WIDEN_BELOW: f64 = 0.24;
/// Fraction of the shortest objective: above it, the node is too slow, as the rest of the time is spent queued here.
pub(super) const NARROW_ABOVE: f64 = 0.32;
/// Attempts: additive increase of a full window by a round of quick answers.
const WIDEN_STEP: f64 = 0.05;
/// Fraction: multiplicative decrease by a round of slow answers, or by a failure.
const NARROW_STEP: f64 = 0.1;
/// Factor by which a window below one widens in an allocation interval without attempts.
const IDLE_GROWTH: f64 = 1.1;

/// The most attempts that may be in flight at a node; below 1, attempts are spaced by pauses.
///
/// Additive increase, multiplicative decrease.
#[derive(Clone, Copy)]
pub(super) struct ConcurrencyWindow(f64);

impl ConcurrencyWindow {
    /// The window of a node not yet known, for one of so many hosts.
    pub(super) fn initial(hosts: f64) -> Self {
        ConcurrencyWindow(1.0 + INITIAL_OF_ALL_HOSTS / hosts)
    }

    /// Its size in attempts.
    pub(super) fn size(self) -> f64 {
        self.0
    }

    /// Whether so many attempts in flight leave no room for another one.
    pub(super) fn is_full(self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.0.max(1.0)
    }

    /// Whether so many attempts in flight used all of it, by its exact size.
    pub(super) fn was_used_up(self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.0
    }

    /// An attempt completed; a quick answer widens a window that was full, a slow mean narrows it.
    pub(super) fn on_completion(
        &mut self,
        latency: f64,
        mean_latency: f64,
        was_full: bool,
        shortest_objective: f64,
    ) {
        if mean_latency.max(latency) < WIDEN_BELOW * shortest_objective {
            if was_full {
                let step = WIDEN_STEP * (1.0 / self.0).min(1.0);
                self.0 = (self.0 + step).min(MAX);
            }
        } else if mean_latency > NARROW_ABOVE * shortest_objective {
            self.0 = (self.0 * (1.0 - NARROW_STEP / self.0.max(1.0))).max(MIN);
        }
    }

    /// An attempt failed. A quick failure narrows the window too: it is not a quick answer.
    pub(super) fn on_failure(&mut self) {
        self.0 = (self.0 * (1.0 - NARROW_STEP)).max(MIN);
    }

    /// An allocation interval went by without attempts: a window below one recovers.
    pub(super) fn on_idle_interval(&mut self) {
        self.0 = self.0.max((self.0 * IDLE_GROWTH).min(1.0));
    }

    /// How long to wait between two attempts, as a multiple of the time that an attempt takes.
    pub(super) fn spacing_factor(self) -> f64 {
        if self.0 < 1.0 {
            1.0 / self.0 - 1.0
        } else {
            0.0
        }
    }
}
