//! Upper bound on the gain of any placement, computed by treating all nodes as one node with their total capacity.
use crate::objective::{RESERVE_GAIN, REST_GAIN, SHARE_GAIN, SHARED_DENOMINATOR, SHARED_NUMERATOR};
use crate::problem::{Problem, SCALE};

/// Returns an upper bound on the gain of any placement, scaled as by [`crate::objective::gain`]. Reserves gain in full.
/// The unreserved capacity goes to the demand with the highest priority factor first. At most nine tenths of it count as
/// shares, since no node shares more than nine tenths of its unreserved capacity; the rest counts as demand beyond the
/// shares.
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
    // Nodes round shares down; rounding up here keeps the result an upper bound.
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
