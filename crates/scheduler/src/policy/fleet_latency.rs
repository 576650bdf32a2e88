//! Latencies over all nodes, and the admission threshold that late answers raise.
use super::concurrency_window::WIDEN_BELOW;
use crate::interface::{AttemptOutcome, AttemptResult};

/// Weight of one answer in the mean latency.
const ALPHA: f64 = 0.05;
/// Factor on the best mean latency by each answer: it rises by a tenth in a minute.
const LOWEST_MEAN_GROWTH: f64 = 1.0005;
/// Fraction of the shortest objective: the most that one answer counts as.
const MAX_LATENCY: f64 = 0.9;
/// Mean latencies that a time-out counts as, at most, so that one lost answer does not close a quick node.
const MAX_TIMEOUT_IN_MEANS: f64 = 3.0;
/// Fraction of the typical priority by which a late answer raises the threshold.
const THRESHOLD_INCREASE: f64 = 0.1;
/// Fraction of the typical priority by which an answer in time lowers the threshold: it is steady where one answer in
/// thirteen is late.
const THRESHOLD_DECREASE: f64 = 0.008;
/// Fraction of the typical priority that no admission threshold exceeds.
pub(super) const MAX_THRESHOLD: f64 = 0.9;

/// Latencies over all nodes, in ticks, as this host has seen them.
pub(super) struct FleetLatency {
    mean: f64,
    /// The least that the mean was of late.
    lowest_recent_mean: f64,
    /// Admission threshold, as a fraction of the typical priority.
    threshold: f64,
    /// The shortest latency objective of all classes.
    shortest_objective: f64,
}

impl FleetLatency {
    /// The latencies as they are assumed at the start.
    pub(super) fn new(shortest_objective: f64) -> Self {
        let initial = WIDEN_BELOW * shortest_objective;
        FleetLatency {
            mean: initial,
            lowest_recent_mean: initial,
            threshold: 0.0,
            shortest_objective,
        }
    }

    /// The least that the mean latency was of late.
    pub(super) fn lowest_recent_mean(&self) -> f64 {
        self.lowest_recent_mean
    }

    /// The part of the admission threshold that late answers of all nodes have raised.
    pub(super) fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Records an answer.
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

    /// The latency that a failure implies: a full queue or no answer means that the latency is high, otherwise a node
    /// that is jammed would look as quick as it was.
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

    /// The latency to be expected at a node that gets no attempts from here, where this fraction of its load comes from
    /// other hosts.
    pub(super) fn expected_when_idle(&self, load_by_other_hosts: f64) -> f64 {
        self.lowest_recent_mean + (self.mean - self.lowest_recent_mean) * load_by_other_hosts
    }
}
