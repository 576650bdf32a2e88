//! An upper bound on the gain of any placement: all nodes are treated as one.
use crate::objective::{RESERVE_GAIN, REST_GAIN, SHARE_GAIN, SHARED_DENOMINATOR, SHARED_NUMERATOR};
use crate::problem::{Problem, SCALE};

/// The most gain that any placement can have, scaled as [`crate::objective::gain`] is. Reserves gain in full. The
/// remaining capacity goes to the demand of the highest priority factor: nine tenths of it at most as shares, since
/// no node gives more than nine tenths of its own, and the rest after it.
#[must_use]
pub fn gain_upper_bound(problem: &Problem) -> i128 {
    let scaled = |rate: u64| i128::from(rate) * SCALE;
    let reserved: i128 = problem
        .volumes
        .iter()
        .map(|volume| scaled(volume.reserved_rate))
        .sum();
    let capacity: i128 = problem.nodes.iter().map(|node| scaled(node.capacity)).sum();
    let mut free = (capacity - reserved).max(0);
    // Shares are rounded down at each node, so rounding up here keeps it a bound.
    let mut shared = (free * SHARED_NUMERATOR + SHARED_DENOMINATOR - 1) / SHARED_DENOMINATOR;

    let reserve_gain = problem
        .volumes
        .iter()
        .map(|v| scaled(v.reserved_rate) * RESERVE_GAIN * i128::from(v.priority_factor));
    let mut gain: i128 = reserve_gain.sum();
    let mut beyond_reserve: Vec<(i128, i128)> = problem
        .volumes
        .iter()
        .map(|v| {
            (
                i128::from(v.priority_factor),
                scaled(v.surge_rate - v.reserved_rate),
            )
        })
        .collect();
    beyond_reserve.sort_unstable_by(|a, b| b.cmp(a));
    for (priority_factor, demand) in beyond_reserve {
        let from_share = demand.min(shared);
        let from_rest = (demand - from_share).min(free - from_share);
        gain += priority_factor * (from_share * SHARE_GAIN + from_rest * REST_GAIN);
        shared -= from_share;
        free -= from_share + from_rest;
    }
    gain
}
