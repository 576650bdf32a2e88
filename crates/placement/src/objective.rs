//! The objective function, which ranks feasible placements.
use crate::problem::{Problem, SCALE};
use crate::{NodeIndex, Placement, VolumeIndex, volumes_at};
use std::cmp::Reverse;

/// Gain of a unit served from the volume's reserve, in hundredths of the volume's priority factor.
pub(crate) const RESERVE_GAIN: i128 = 100;
/// Gain of a unit served from the volume's share of unreserved capacity, in hundredths of its priority factor.
pub(crate) const SHARE_GAIN: i128 = 35;
/// Gain of a unit served beyond reserve and share, in hundredths of the volume's priority factor.
pub(crate) const REST_GAIN: i128 = 10;
/// Numerator of the fraction of unreserved capacity that is divided into shares (9/10).
pub(crate) const SHARED_NUMERATOR: i128 = 9;
/// Denominator of the fraction of unreserved capacity that is divided into shares (9/10).
pub(crate) const SHARED_DENOMINATOR: i128 = 10;

/// Objective value of a placement. A greater value is better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Objective {
    /// Gain when all volumes surge at once, scaled as by [`gain`].
    pub gain: i128,
    /// Total cost of the nodes that hold at least one volume.
    pub cost: Reverse<u128>,
    /// Amount of data that has to move, times [`SCALE`].
    pub moved_data: Reverse<u128>,
    /// The placement; breaks ties, the first one in order of names being the best.
    pub placement: Reverse<Placement>,
}

/// Reserve and weight of a volume that replace those of the problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VolumeShare {
    /// Reserved rate, in thousandths of a unit per second.
    pub reserved_rate: u64,
    /// Weight of the volume when the unreserved capacity of a node is shared.
    pub weight: u64,
}

/// Returns the objective value of a placement.
#[must_use]
pub fn objective(problem: &Problem, placement: &Placement) -> Objective {
    let moved = placement
        .iter()
        .enumerate()
        .map(|(volume, nodes)| moved_data(problem, volume, nodes));
    Objective {
        gain: gain(problem, placement),
        cost: Reverse(cost(problem, placement.iter().flatten().copied())),
        moved_data: Reverse(moved.sum()),
        placement: Reverse(placement.clone()),
    }
}

/// Returns the gain per second when all volumes surge at once, times [`SCALE`], times 1,000 for rates, 1,000 for
/// priority factors and 100 for the gain of a unit. Each node serves the reserves in full, then divides nine tenths of
/// its unreserved capacity into shares by weight, then serves from the remaining capacity in descending order of the
/// priority factor.
#[must_use]
pub fn gain(problem: &Problem, placement: &Placement) -> i128 {
    let gain_at = |node| node_gain(problem, placement, node, &volumes_at(placement, node));
    (0..problem.nodes.len()).map(gain_at).sum()
}

/// Returns the gain, scaled as by [`gain`], with `shares` in place of the reserves and weights of the problem and
/// `demand` in place of the surge rates. `demand` has one entry per volume, in thousandths of a unit per second.
#[must_use]
pub fn gain_at_demand(
    problem: &Problem,
    placement: &Placement,
    shares: &[VolumeShare],
    demand: &[u64],
) -> i128 {
    let mut changed = problem.clone();
    for (volume, (share, demand)) in changed.volumes.iter_mut().zip(shares.iter().zip(demand)) {
        volume.reserved_rate = share.reserved_rate;
        volume.weight = share.weight;
        volume.surge_rate = *demand;
    }
    gain(&changed, placement)
}

/// Demand of a volume at one node beyond its reserve and its share.
struct Unserved {
    priority_factor: i128,
    rate: i128,
}

/// Returns the gain at one node, scaled as by [`gain`]. `volumes` are the volumes that are placed on the node.
pub(crate) fn node_gain(
    problem: &Problem,
    placement: &Placement,
    node: NodeIndex,
    volumes: &[VolumeIndex],
) -> i128 {
    let volume = |index: VolumeIndex| &problem.volumes[index];
    let per_node = |index: VolumeIndex, rate: u64| scaled_rate_per_node(placement, index, rate);
    // Reserved capacity that its volume does not use is free for other volumes.
    let used_reserve = |index| {
        per_node(
            index,
            volume(index).reserved_rate.min(volume(index).surge_rate),
        )
    };
    let reserved: i128 = volumes.iter().map(|index| used_reserve(*index)).sum();
    let capacity = i128::from(problem.nodes[node].capacity) * SCALE;
    let unreserved = (capacity - reserved).max(0);
    let weights: i128 = volumes
        .iter()
        .map(|index| i128::from(volume(*index).weight))
        .sum();

    let mut gain = 0;
    let mut free = unreserved;
    let mut unserved = Vec::new();
    for index in volumes.iter().copied() {
        let priority_factor = i128::from(volume(index).priority_factor);
        let weight = i128::from(volume(index).weight);
        let beyond_reserve = per_node(index, volume(index).surge_rate) - used_reserve(index);
        let share = unreserved * SHARED_NUMERATOR * weight / (SHARED_DENOMINATOR * weights.max(1));
        let used_share = share.min(beyond_reserve);
        gain += (used_reserve(index) * RESERVE_GAIN + used_share * SHARE_GAIN) * priority_factor;
        free -= used_share;
        unserved.push(Unserved {
            priority_factor,
            rate: beyond_reserve - used_share,
        });
    }
    unserved.sort_unstable_by_key(|unserved| Reverse((unserved.priority_factor, unserved.rate)));
    for Unserved {
        priority_factor,
        rate,
    } in unserved
    {
        let served = rate.min(free);
        gain += served * REST_GAIN * priority_factor;
        free -= served;
    }
    gain
}

/// Returns the rate at each node of a volume that has `rate` over all its nodes, times [`SCALE`].
pub(crate) fn scaled_rate_per_node(placement: &Placement, volume: VolumeIndex, rate: u64) -> i128 {
    i128::from(rate) * SCALE / placement[volume].len() as i128
}

/// Returns the amount of data that has to move to place a volume on `nodes`, times [`SCALE`]: an equal part for each
/// node that does not hold the volume now.
#[must_use]
pub fn moved_data(problem: &Problem, volume: VolumeIndex, nodes: &[NodeIndex]) -> u128 {
    let volume = &problem.volumes[volume];
    let is_new = |node: &&NodeIndex| !volume.current_nodes.contains(&problem.nodes[**node].name);
    let new_nodes = nodes.iter().filter(is_new).count();
    u128::from(volume.size) * SCALE as u128 / nodes.len() as u128 * new_nodes as u128
}

/// Returns the total cost of the nodes in `used`, counting each node once.
pub fn cost(problem: &Problem, used: impl Iterator<Item = NodeIndex>) -> u128 {
    let mut nodes: Vec<NodeIndex> = used.collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
        .iter()
        .map(|node| u128::from(problem.nodes[*node].cost))
        .sum()
}
