//! The rate at which this host usually sends to a node.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::Tick;

/// Weight of one allocation interval in the usual rate: an average over about 10 s.
const ALPHA: f64 = 0.01;

/// Mean rate at which this host sends to a node while the node is healthy, in units per tick.
#[derive(Default)]
pub(super) struct UsualRate {
    mean: f64,
    /// Units sent in the current allocation interval.
    interval_units: f64,
}

impl UsualRate {
    /// Returns the mean rate, or 0 if nothing was ever sent.
    pub(super) fn get(&self) -> f64 {
        self.mean
    }

    /// Records units that were sent.
    pub(super) fn record_sent(&mut self, units: f64) {
        self.interval_units += units;
    }

    /// Raises the mean to the rate of another node of the same shard. A node that replaces another holds the same
    /// shard, and this host continues to send to that shard.
    pub(super) fn raise_to(&mut self, rate: f64) {
        self.mean = self.mean.max(rate);
    }

    /// Ends an allocation interval. Its rate counts only if the node was healthy. While the host is young, intervals
    /// have a higher weight.
    pub(super) fn end_interval(&mut self, node_is_healthy: bool, host_age: Tick) {
        let rate = std::mem::take(&mut self.interval_units) / ALLOCATION_INTERVAL as f64;
        if node_is_healthy {
            let early_weight =
                ALLOCATION_INTERVAL as f64 / host_age.max(ALLOCATION_INTERVAL) as f64;
            self.mean += (rate - self.mean) * early_weight.max(ALPHA);
        }
    }
}
