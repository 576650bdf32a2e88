//! The cost multiplier of a node (the delay multiplier in the paper).
use crate::recent_median::RecentMedian;

/// Number of answers in the median of the unit latency, about one second's worth.
const RECENT_ANSWERS: usize = 32;
/// Factor for an answer whose unit latency exceeds twice the median. On a steady node, one answer in four does so by
/// chance.
const SLOW_ANSWER_FACTOR: f64 = 1.15;
/// Factor for any other answer. On a steady node, this factor and [`SLOW_ANSWER_FACTOR`] balance each other.
const FAST_ANSWER_FACTOR: f64 = 0.955;
/// Minimum of the multiplier (paper).
const MIN: f64 = 0.25;
/// Maximum of the multiplier (paper).
const MAX: f64 = 4.0;
/// Initial multiplier of a node.
const INITIAL: f64 = 1.0;

/// Factor by which the cost of block I/Os at a node is multiplied. It rises while answers are slow for their size.
pub(super) struct CostMultiplier {
    value: f64,
    /// Median latency in ticks per unit.
    unit_latency: RecentMedian<RECENT_ANSWERS>,
}

impl Default for CostMultiplier {
    fn default() -> Self {
        CostMultiplier {
            value: INITIAL,
            unit_latency: RecentMedian::default(),
        }
    }
}

impl CostMultiplier {
    /// Returns the factor.
    pub(super) fn get(&self) -> f64 {
        self.value
    }

    /// Resets the multiplier of a node whose process has restarted; its recent unit latencies are kept.
    pub(super) fn reset(&mut self) {
        self.value = INITIAL;
    }

    /// Records the latency of an answer, in ticks per unit.
    pub(super) fn record(&mut self, unit_latency: f64) {
        let slow = unit_latency > 2.0 * self.unit_latency.get();
        let factor = if slow {
            SLOW_ANSWER_FACTOR
        } else {
            FAST_ANSWER_FACTOR
        };
        self.value = (self.value * factor).clamp(MIN, MAX);
        self.unit_latency.add(unit_latency);
    }
}
