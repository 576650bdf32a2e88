//! The latency of one node, as this host sees it.
use crate::interface::Tick;

/// Weight of one answer in the mean latency, at least.
const ALPHA: f64 = 0.15;
/// Fraction of the count of answers that is kept in each allocation interval: about the last second's remain.
const ANSWER_COUNT_DECAY: f64 = 0.9;
/// Fraction of the mean that is kept in an allocation interval without attempts: half of it after 0.7 s.
const IDLE_DECAY: f64 = 0.90;
/// Weight of an attempt without an answer in the mean latency: its loss may not be the node's fault.
const FAILURE_ALPHA: f64 = 0.4;
/// Mean latencies after which an attempt counts as lost: few answers take that long.
const LOST_AFTER_MEANS: f64 = 4.0;
/// Fraction of the shortest objective before which no attempt counts as lost: nodes pause for a while.
const LOST_AFTER_OBJECTIVE: f64 = 0.5;

/// Mean latency of a node in ticks, and how many answers it rests on.
#[derive(Default)]
pub(super) struct LatencyEstimate {
    mean: f64,
    /// Decaying count of the answers.
    recent_answers: f64,
}

impl LatencyEstimate {
    /// The mean latency.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Decaying count of the answers: about the last second's.
    pub(super) fn recent_answers(&self) -> f64 {
        self.recent_answers
    }

    /// Adds the latency of an answer. Where there are many hosts, each gets few answers: then the last one says more
    /// than the mean.
    pub(super) fn record_answer(&mut self, latency: f64) {
        self.recent_answers += 1.0;
        let weight = (1.0 / self.recent_answers).max(ALPHA);
        self.mean += (latency - self.mean) * weight;
    }

    /// Adds the latency that a failure implies, which never lowers the mean.
    pub(super) fn record_failure(&mut self, implied: f64) {
        self.mean += (implied - self.mean).max(0.0) * FAILURE_ALPHA;
    }

    /// Ends an allocation interval.
    pub(super) fn end_interval(&mut self) {
        self.recent_answers *= ANSWER_COUNT_DECAY;
    }

    /// Moves the mean towards the expected latency of a node that got no attempts in an interval. Otherwise a node
    /// that was slow once would stay closed to urgent block I/Os.
    pub(super) fn decay_toward(&mut self, expected: f64) {
        self.mean = self.mean * IDLE_DECAY + expected * (1.0 - IDLE_DECAY);
    }

    /// How long an attempt may take before it counts as lost.
    pub(super) fn lost_after(&self, shortest_objective: f64) -> Tick {
        (self.mean * LOST_AFTER_MEANS).max(shortest_objective * LOST_AFTER_OBJECTIVE) as Tick
    }
}
