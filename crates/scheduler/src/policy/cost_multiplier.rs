//! The cost multiplier of a node (the paper's delay multiplier).
use crate::recent_median::RecentMedian;

/// Answers in the median of the unit latency: about one second's.
const RECENT_ANSWERS: usize = 32;
/// Factor for an answer whose unit latency is over two medians: on a steady node one in four is, by chance.
const UP: f64 = 1.15;
/// Factor for any other answer: on a steady node the two cancel out.
const DOWN: f64 = 0.955;
/// The least that the multiplier may be (paper).
const MIN: f64 = 0.25;
/// The most that the multiplier may be (paper).
const MAX: f64 = 4.0;
/// The multiplier of a node not yet known.
const INITIAL: f64 = 1.0;

/// Factor on the cost of block I/Os at a node: it rises while answers are slow for their size.
pub(super) struct CostMultiplier {
    value: f64,
    /// Median latency in ticks a unit.
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
    /// The factor.
    pub(super) fn get(&self) -> f64 {
        self.value
    }

    /// Starts anew for a node whose process was started again; its recent unit latencies are kept.
    pub(super) fn reset(&mut self) {
        self.value = INITIAL;
    }

    /// Records the latency of an answer, in ticks a unit.
    pub(super) fn record(&mut self, unit_latency: f64) {
        let slow = unit_latency > 2.0 * self.unit_latency.get();
        let factor = if slow { UP } else { DOWN };
        self.value = (self.value * factor).clamp(MIN, MAX);
        self.unit_latency.add(unit_latency);
    }
}
