//! Latencies over all nodes, and the admission threshold that late answers raise.
use super::concurrency_window::WIDEN_BELOW;
use crate::interface::{AttemptOutcome, AttemptResult};

/// Weight of one answer in the mean latency.
const ALPHA: f64 = 0.05;
/// Factor by which each answer raises the lowest recent mean latency: a tenth per minute.
const LOWEST_MEAN_GROWTH: f64 = 1.0005;
/// Maximum latency that one answer counts as, as a fraction of the shortest objective.
const MAX_LATENCY: f64 = 0.9;
/// Maximum latency that a timeout counts as, in mean latencies, so that one lost answer does not close a fast node.
const MAX_TIMEOUT_IN_MEANS: f64 = 3.0;
/// Fraction of the typical priority by which a late answer raises the threshold.
const THRESHOLD_INCREASE: f64 = 0.1;
/// Fraction of the typical priority by which an answer in time lowers the threshold. The threshold is steady if one
/// answer in thirteen is late.
const THRESHOLD_DECREASE: f64 = 0.008;
/// Maximum admission threshold, as a fraction of the typical priority.
pub(super) const MAX_THRESHOLD: f64 = 0.9;

/// Latencies over all nodes as seen by this host, in ticks.
pub(super) struct FleetLatency {
    mean: f64,
    /// Lowest recent value of the mean latency.
    lowest_recent_mean: f64,
    /// Admission threshold, as a fraction of the typical priority.
    threshold: f64,
    /// The shortest latency objective of all classes.
    shortest_objective: f64,
}

impl FleetLatency {
    /// Creates the initial assumption about latencies.
    pub(super) fn new(shortest_objective: f64) -> Self {
        let initial = WIDEN_BELOW * shortest_objective;
        FleetLatency {
            mean: initial,
            lowest_recent_mean: initial,
            threshold: 0.0,
            shortest_objective,
        }
    }

    /// Returns the lowest recent value of the mean latency.
    pub(super) fn lowest_recent_mean(&self) -> f64 {
        self.lowest_recent_mean
    }

    /// Returns the part of the admission threshold that is due to late answers from any node.
    pub(super) fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Records the latency of an answer.
    pub(super) fn record_answer(&mut self, latency: f64) {
        let counted = latency.min(MAX_LATENCY * self.shortest_objective);
        self.mean += (counted - self.mean) * ALPHA;
        self.lowest_recent_mean = (self.lowest_recent_mean * LOWEST_MEAN_GROWTH).min(self.mean);
        let step = if latency > self.shortest_objective {
            THRESHOLD_INCREASE
        } else {
            -THRESHOLD_DECREASE
        };
        self.threshold = (self.threshold + step).clamp(0.0, MAX_THRESHOLD);
    }

    /// Returns the latency that a failure implies. A full queue or a missing answer implies a high latency; otherwise
    /// an overloaded node would still look as fast as before.
    pub(super) fn implied_latency(&self, failure: &AttemptOutcome) -> f64 {
        match failure.result {
            AttemptResult::Rejected => self.shortest_objective,
            AttemptResult::TimedOut => {
                (failure.latency as f64).min(MAX_TIMEOUT_IN_MEANS * self.mean)
            }
            _ => 0.0,
        }
    }

    /// Records the latency that a failure implies, which never lowers the mean.
    pub(super) fn record_failure(&mut self, implied: f64) {
        self.mean += (implied * MAX_LATENCY - self.mean).max(0.0) * ALPHA;
    }

    /// Returns the expected latency of a node that gets no attempts from this host and gets this fraction of its load
    /// from other hosts.
    pub(super) fn expected_when_idle(&self, load_by_other_hosts: f64) -> f64 {
        self.lowest_recent_mean + (self.mean - self.lowest_recent_mean) * load_by_other_hosts
    }
}
