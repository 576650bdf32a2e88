//! Weights and reserves that a problem leaves open, chosen for a fixed placement. A choice is accepted only if it
//! increases the gain; otherwise the given numbers stay.
use crate::constraint::Constraint;
use crate::feasibility::{FULL_CAPACITY, fits};
use crate::objective::{SHARED_DENOMINATOR, SHARED_NUMERATOR, gain, scaled_rate_per_node};
use crate::problem::{Problem, SCALE, Volume};
use crate::{Placement, VolumeIndex, assignments, volumes_at};
use std::cmp::Reverse;

/// Weights that are chosen are between 1 and this: fine enough for shares of a thousandth.
pub const MAX_WEIGHT: u64 = 1_000;
/// Rounds of the hill climb, at most.
const MAX_ROUNDS: usize = 8;
/// Weights that the hill climb may try, times volumes: each try costs a pass over all nodes, so large problems
/// keep the first guess after fewer rounds.
const CLIMB_BUDGET: usize = 20_000;

/// Weights and reserves for all volumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The weight of each volume.
    pub weights: Vec<u64>,
    /// The reserve of each volume, in thousandths of a unit a second.
    pub reserved_rates: Vec<u64>,
    /// Gain with them, see [`gain`].
    pub gain: i128,
    /// Gain with the given weights and reserves.
    pub gain_before: i128,
}

/// Chooses reserves up to what each volume may have at most, then weights.
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
    let given = raised.volumes.iter().map(|volume| volume.weight).collect();
    let given = WeightChoice::new(given, &gain_with);
    let guess = WeightChoice::new(guess_weights(&raised, placement), &gain_with);
    let climbed = hill_climb(guess, &gain_with);
    let best = if climbed.gain > given.gain {
        climbed
    } else {
        given
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

/// Raises reserves, the highest priority factor first, each by as much as fits now and in every loss.
fn raise_reserves(problem: &Problem, placement: &Placement) -> Problem {
    let mut raised = problem.clone();
    let assignments = assignments(placement);
    let mut order: Vec<VolumeIndex> = (0..problem.volumes.len()).collect();
    order.sort_by_key(|index| by_priority(problem, *index));
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
            let middle = fitting + (highest - fitting).div_ceil(2);
            raised.volumes[index].reserved_rate = middle;
            if fits(&raised, &assignments, &|_: Constraint| true, FULL_CAPACITY) {
                fitting = middle;
            } else {
                highest = middle - 1;
            }
        }
        raised.volumes[index].reserved_rate = fitting;
    }
    raised
}

/// Sorts volumes by falling priority factor.
fn by_priority(problem: &Problem, index: VolumeIndex) -> (Reverse<u64>, VolumeIndex) {
    (Reverse(problem.volumes[index].priority_factor), index)
}

/// Weights in proportion to what each volume would get if the shared capacity of every node went to the demand of
/// the highest priority factor first.
fn guess_weights(problem: &Problem, placement: &Placement) -> Vec<u64> {
    let mut served = vec![0_i128; problem.volumes.len()];
    for node in 0..problem.nodes.len() {
        let mut volumes = volumes_at(placement, node);
        let reserve_at_node = |index: &VolumeIndex| {
            scaled_rate_per_node(placement, *index, problem.volumes[*index].reserved_rate)
        };
        let reserved: i128 = volumes.iter().map(reserve_at_node).sum();
        let spare = (i128::from(problem.nodes[node].capacity) * SCALE - reserved).max(0);
        let mut shared = spare * SHARED_NUMERATOR / SHARED_DENOMINATOR;
        volumes.sort_by_key(|index| by_priority(problem, *index));
        for index in volumes {
            let volume = &problem.volumes[index];
            let beyond_reserve =
                scaled_rate_per_node(placement, index, volume.surge_rate - volume.reserved_rate);
            let from_share = beyond_reserve.min(shared);
            served[index] += from_share;
            shared -= from_share;
        }
    }
    let most = served.iter().copied().max().unwrap_or(0).max(1);
    // No volume is left without a share: the one of the highest priority factor may have no demand for a while.
    served
        .iter()
        .map(|s| ((s * i128::from(MAX_WEIGHT) / most) as u64).max(1))
        .collect()
}

/// Weights, and the gain that they lead to.
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

/// Doubles and halves one weight after another while that gains. A volume may be on nodes that call for different
/// weights of it, which the first guess does not see.
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
