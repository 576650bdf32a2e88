//! A bound that no placement's gain passes: all nodes as one, whatever lies where.
use crate::model::{Problem, SCALE};
use crate::value::{RESERVE_GAIN, REST_GAIN, SHARE_GAIN, SHARE_OF, SHARE_PART};

/// The most gain of any placement, scaled as `value::gain` is. Reserves earn in full. What capacity they leave
/// goes to the dearest demand: nine tenths of it at most as shares, since no node gives more than nine tenths
/// of its own, and what is over as the rest.
pub fn most(p: &Problem) -> i128 {
    let scaled = |r: u64| i128::from(r) * SCALE;
    let reserved: i128 = p.volumes.iter().map(|v| scaled(v.reserve)).sum();
    let capacity: i128 = p.nodes.iter().map(|n| scaled(n.capacity)).sum();
    let mut free = (capacity - reserved).max(0);
    // Shares are rounded down at each node, so nothing is lost by rounding up here.
    let mut shares = (free * SHARE_PART + SHARE_OF - 1) / SHARE_OF;
    let mut beyond: Vec<(i128, i128)> =
        p.volumes.iter().map(|v| (i128::from(v.price), scaled(v.surge - v.reserve))).collect();
    beyond.sort_unstable_by(|a, b| b.cmp(a));
    let mut gain: i128 =
        p.volumes.iter().map(|v| scaled(v.reserve) * RESERVE_GAIN * i128::from(v.price)).sum();
    for (price, asked) in beyond {
        let shared = asked.min(shares);
        let rest = (asked - shared).min(free - shared);
        gain += price * (shared * SHARE_GAIN + rest * REST_GAIN);
        shares -= shared;
        free -= shared + rest;
    }
    gain
}
