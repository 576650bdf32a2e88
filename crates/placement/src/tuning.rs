//! Choice of the weights and reserves that a problem leaves open, for a fixed placement. Chosen weights replace the original
//! ones only if they increase the gain.
use crate::constraint::Constraint;
use crate::feasibility::{FULL_CAPACITY, fits};
use crate::objective::{SHARED_DENOMINATOR, SHARED_NUMERATOR, gain, scaled_rate_per_node};
use crate::problem::{Problem, SCALE, Volume};
use crate::{Placement, VolumeIndex, assignments, volumes_at};
use std::cmp::Reverse;

/// Largest weight that is chosen; weights from 1 to 1,000 express shares to a thousandth.
pub const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of rounds of the hill climb.
const MAX_ROUNDS: usize = 8;
/// Maximum number of rounds of the hill climb times the square of the number of volumes. Each evaluation of a weight is a
/// pass over all nodes, so the hill climb has fewer rounds for large problems.
const CLIMB_BUDGET: usize = 20_000;

/// Weights and reserves chosen for all volumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Weight of each volume.
    pub weights: Vec<u64>,
    /// Reserve of each volume, in thousandths of a unit per second.
    pub reserved_rates: Vec<u64>,
    /// Gain with the chosen weights and reserves, scaled as by [`gain`].
    pub gain: i128,
    /// Gain with the weights and reserves of the problem, scaled as by [`gain`].
    pub gain_before: i128,
}

/// Raises reserves as far as each volume's maximum and the capacities allow, then chooses weights.
#[must_use]
pub fn tune(problem: &Problem, placement: &Placement) -> Tuning {
    let gain_before = gain(problem, placement);
    let raised = raise_reserves(problem, placement);
    let gain_with = |weights: &[u64]| {
        let mut changed = raised.clone();
        for (volume, weight) in changed.volumes.iter_mut().zip(weights) {
            volume.weight = *weight;
        }
        gain(&changed, placement)
    };
    let original = raised.volumes.iter().map(|volume| volume.weight).collect();
    let original = WeightChoice::new(original, &gain_with);
    let initial = WeightChoice::new(initial_weights(&raised, placement), &gain_with);
    let improved = hill_climb(initial, &gain_with);
    let best = if improved.gain > original.gain {
        improved
    } else {
        original
    };
    Tuning {
        weights: best.weights,
        reserved_rates: raised
            .volumes
            .iter()
            .map(|volume| volume.reserved_rate)
            .collect(),
        gain: best.gain,
        gain_before,
    }
}

/// Raises each reserve as far as it fits now and after every loss, in descending order of the priority factor.
fn raise_reserves(problem: &Problem, placement: &Placement) -> Problem {
    let mut raised = problem.clone();
    let assignments = assignments(placement);
    let mut order: Vec<VolumeIndex> = (0..problem.volumes.len()).collect();
    order.sort_by_key(|index| priority_order(problem, *index));
    for index in order {
        let Volume {
            reserved_rate,
            max_reserved_rate,
            surge_rate,
            ..
        } = problem.volumes[index];
        let mut fitting = reserved_rate;
        let mut highest = max_reserved_rate.min(surge_rate).max(reserved_rate);
        while fitting < highest {
            let candidate = fitting + (highest - fitting).div_ceil(2);
            raised.volumes[index].reserved_rate = candidate;
            if fits(&raised, &assignments, &|_: Constraint| true, FULL_CAPACITY) {
                fitting = candidate;
            } else {
                highest = candidate - 1;
            }
        }
        raised.volumes[index].reserved_rate = fitting;
    }
    raised
}

/// Returns the sort key of a volume for a descending order of the priority factor.
fn priority_order(problem: &Problem, index: VolumeIndex) -> (Reverse<u64>, VolumeIndex) {
    (Reverse(problem.volumes[index].priority_factor), index)
}

/// Returns weights in proportion to the rate that each volume would get if every node gave its shared capacity to the
/// demand with the highest priority factor first.
fn initial_weights(problem: &Problem, placement: &Placement) -> Vec<u64> {
    let mut served = vec![0_i128; problem.volumes.len()];
    for node in 0..problem.nodes.len() {
        let mut volumes = volumes_at(placement, node);
        let reserve_at_node = |index: &VolumeIndex| {
            scaled_rate_per_node(placement, *index, problem.volumes[*index].reserved_rate)
        };
        let reserved: i128 = volumes.iter().map(reserve_at_node).sum();
        let spare = (i128::from(problem.nodes[node].capacity) * SCALE - reserved).max(0);
        let mut shared = spare * SHARED_NUMERATOR / SHARED_DENOMINATOR;
        volumes.sort_by_key(|index| priority_order(problem, *index));
        for index in volumes {
            let volume = &problem.volumes[index];
            let beyond_reserve =
                scaled_rate_per_node(placement, index, volume.surge_rate - volume.reserved_rate);
            let from_share = beyond_reserve.min(shared);
            served[index] += from_share;
            shared -= from_share;
        }
    }
    let max_served = served.iter().copied().max().unwrap_or(0).max(1);
    // Every volume has a weight of at least 1, to get a share while volumes with a higher priority factor are idle.
    served
        .iter()
        .map(|s| ((s * i128::from(MAX_WEIGHT) / max_served) as u64).max(1))
        .collect()
}

/// Weights of all volumes, with the gain that results from them.
struct WeightChoice {
    gain: i128,
    weights: Vec<u64>,
}

impl WeightChoice {
    fn new(weights: Vec<u64>, gain_with: &dyn Fn(&[u64]) -> i128) -> WeightChoice {
        WeightChoice {
            gain: gain_with(&weights),
            weights,
        }
    }
}

/// Improves weights by hill climbing: doubles and halves each weight in turn and keeps what increases the gain. The start
/// does not account for a volume whose nodes would each need a different weight of it.
fn hill_climb(start: WeightChoice, gain_with: &dyn Fn(&[u64]) -> i128) -> WeightChoice {
    let volumes = start.weights.len();
    let rounds = (CLIMB_BUDGET / (volumes * volumes).max(1)).min(MAX_ROUNDS);
    let mut best = start;
    for _ in 0..rounds {
        let gain_before = best.gain;
        for index in 0..volumes {
            for weight in [best.weights[index] * 2, best.weights[index] / 2] {
                let mut weights = best.weights.clone();
                weights[index] = weight.clamp(1, MAX_WEIGHT);
                let changed = WeightChoice::new(weights, gain_with);
                if changed.gain > best.gain {
                    best = changed;
                }
            }
        }
        if best.gain == gain_before {
            break;
        }
    }
    best
}
