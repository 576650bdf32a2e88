//! The latency of one node, as seen by this host.
use crate::interface::Tick;

/// Minimum weight of one answer in the mean latency.
const ALPHA: f64 = 0.15;
/// Fraction of the answer count that is kept in each allocation interval: it covers about the last second.
const ANSWER_COUNT_DECAY: f64 = 0.9;
/// Fraction of the mean that is kept in an allocation interval without attempts: half of it remains after 0.7 s.
const IDLE_DECAY: f64 = 0.90;
/// Weight of an unanswered attempt in the mean latency. It is limited because the node may not have caused the loss.
const FAILURE_ALPHA: f64 = 0.4;
/// Number of mean latencies after which an attempt counts as lost; few answers take that long.
const LOST_AFTER_MEANS: f64 = 4.0;
/// Minimum age of a lost attempt, as a fraction of the shortest objective; nodes may pause for a while.
const LOST_AFTER_OBJECTIVE: f64 = 0.5;

/// Mean latency of a node in ticks, and the number of answers that it is based on.
#[derive(Default)]
pub(super) struct LatencyEstimate {
    mean: f64,
    /// Decaying count of answers.
    recent_answers: f64,
}

impl LatencyEstimate {
    /// Returns the mean latency.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the decaying count of answers, which covers about the last second.
    pub(super) fn recent_answers(&self) -> f64 {
        self.recent_answers
    }

    /// Records the latency of an answer. If there are many hosts, each receives few answers, and the latest one says
    /// more than the mean.
    pub(super) fn record_answer(&mut self, latency: f64) {
        self.recent_answers += 1.0;
        let weight = (1.0 / self.recent_answers).max(ALPHA);
        self.mean += (latency - self.mean) * weight;
    }

    /// Records the latency that a failure implies, which never lowers the mean.
    pub(super) fn record_failure(&mut self, implied: f64) {
        self.mean += (implied - self.mean).max(0.0) * FAILURE_ALPHA;
    }

    /// Ends an allocation interval.
    pub(super) fn end_interval(&mut self) {
        self.recent_answers *= ANSWER_COUNT_DECAY;
    }

    /// Moves the mean toward the expected latency of a node that got no attempts in an interval. Otherwise, a node that
    /// was slow once would remain closed to urgent block I/Os.
    pub(super) fn decay_toward(&mut self, expected: f64) {
        self.mean = self.mean * IDLE_DECAY + expected * (1.0 - IDLE_DECAY);
    }

    /// Returns how long an attempt may take before it counts as lost.
    pub(super) fn lost_after(&self, shortest_objective: f64) -> Tick {
        (self.mean * LOST_AFTER_MEANS).max(shortest_objective * LOST_AFTER_OBJECTIVE) as Tick
    }
}
