//! The concurrency window: how many attempts of this host may be in flight at a node.

/// Maximum window, in attempts.
pub(super) const MAX: f64 = 32.0;
/// Minimum window, in attempts, at a node overloaded by many hosts: one attempt in flight a tenth of the time.
const MIN: f64 = 0.1;
/// Initial attempts of all hosts together at a node, in addition to one attempt per host.
const INITIAL_EXTRA_OF_ALL_HOSTS: f64 = 4.0;
/// Latency below which a node has spare capacity, as a fraction of the shortest objective.
pub(super) const WIDEN_BELOW: f64 = 0.24;
/// Latency above which a node is too slow, as a fraction of the shortest objective. The rest of the objective is spent
/// in the queue of this host.
pub(super) const NARROW_ABOVE: f64 = 0.32;
/// Additive increase of a full window per round of fast answers, in attempts.
const WIDEN_STEP: f64 = 0.05;
/// Multiplicative decrease per round of slow answers or per failure, as a fraction of the window.
const NARROW_STEP: f64 = 0.1;
/// Factor by which a window below one widens in an allocation interval without attempts.
const IDLE_GROWTH: f64 = 1.1;

/// Maximum number of attempts that may be in flight at a node. Below 1, attempts are spaced by pauses.
///
/// The window follows additive increase, multiplicative decrease (AIMD).
#[derive(Clone, Copy)]
pub(super) struct ConcurrencyWindow(f64);

impl ConcurrencyWindow {
    /// Creates the initial window of a node, for one of this many hosts.
    pub(super) fn initial(hosts: f64) -> Self {
        ConcurrencyWindow(1.0 + INITIAL_EXTRA_OF_ALL_HOSTS / hosts)
    }

    /// Returns the size in attempts.
    pub(super) fn size(self) -> f64 {
        self.0
    }

    /// Returns whether this many attempts in flight leave no room for another one.
    pub(super) fn is_full(self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.0.max(1.0)
    }

    /// Returns whether this many attempts in flight use the window fully, by its exact size.
    pub(super) fn was_used_up(self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.0
    }

    /// Adjusts the window after a completed attempt: a fast answer widens a window that was full, and a high mean
    /// latency narrows it.
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

    /// Narrows the window after a failed attempt. This includes failures that come fast, which are not fast answers.
    pub(super) fn on_failure(&mut self) {
        self.0 = (self.0 * (1.0 - NARROW_STEP)).max(MIN);
    }

    /// Widens a window below one after an allocation interval without attempts.
    pub(super) fn on_idle_interval(&mut self) {
        self.0 = self.0.max((self.0 * IDLE_GROWTH).min(1.0));
    }

    /// Returns the wait between two attempts, as a multiple of the duration of an attempt.
    pub(super) fn spacing_factor(self) -> f64 {
        if self.0 < 1.0 {
            1.0 / self.0 - 1.0
        } else {
            0.0
        }
    }
}
