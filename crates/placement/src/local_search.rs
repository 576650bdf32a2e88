//! Local search for placements of large problems: constructs a feasible placement, then improves it for a given number of
//! steps. [`crate::upper_bound`] bounds the gap between the current placement and the optimum. The same seed and number
//! of steps always give the same placement.
mod working_placement;

use crate::objective::{Objective, moved_data};
use crate::problem::Problem;
use crate::{NodeIndex, VolumeIndex};
use std::cmp::Reverse;
use working_placement::WorkingPlacement;

/// Maximum number of node sets that are tried to place one volume. Each is chosen after one more random exchange in the
/// order of nodes by load than the one before.
const MAX_TRIES: usize = 24;
/// Maximum number of repair rounds, in each of which one unplaced volume evicts others.
const MAX_REPAIRS: usize = 40;
/// Maximum number of volumes that are evicted in one repair round.
const EVICTIONS_PER_REPAIR: usize = 3;

/// A xorshift pseudorandom number generator (Marsaglia 2003), which determines which changes are tried.
struct XorShift(u64);

impl XorShift {
    fn new(seed: u64) -> Self {
        XorShift(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a random number below `bound`; 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound.max(1) as u64) as usize
    }
}

/// A change of the nodes of one volume.
struct Reassignment {
    volume: VolumeIndex,
    before: Vec<NodeIndex>,
    after: Vec<NodeIndex>,
}

impl Reassignment {
    /// Creates a reassignment that replaces the node `source` by `target`.
    fn replace(
        volume: VolumeIndex,
        before: Vec<NodeIndex>,
        source: NodeIndex,
        target: NodeIndex,
    ) -> Self {
        let mut after: Vec<NodeIndex> = before
            .iter()
            .map(|node| if *node == source { target } else { *node })
            .collect();
        after.sort_unstable();
        Reassignment {
            volume,
            before,
            after,
        }
    }
}

/// A local search with its current placement.
pub struct LocalSearch<'a> {
    problem: &'a Problem,
    working: WorkingPlacement<'a>,
    /// Gain at each node.
    node_gains: Vec<i128>,
    rng: XorShift,
}

impl<'a> LocalSearch<'a> {
    /// Creates a search with an empty placement.
    #[must_use]
    pub fn new(problem: &'a Problem, seed: u64) -> Self {
        LocalSearch {
            problem,
            working: WorkingPlacement::new(problem),
            node_gains: vec![0; problem.nodes.len()],
            rng: XorShift::new(seed),
        }
    }

    /// Places all volumes, the hardest first. Returns whether all were placed; `false` does not prove that the problem is
    /// infeasible.
    pub fn place_all(&mut self) -> bool {
        let mut order: Vec<VolumeIndex> = (0..self.problem.volumes.len()).collect();
        order.sort_by_key(|index| {
            let volume = &self.problem.volumes[*index];
            let is_bound_to_zones =
                volume.zone.is_some() || volume.distinct_zones || volume.survives_zone_loss;
            (
                Reverse(is_bound_to_zones),
                Reverse(volume.reserved_rate),
                *index,
            )
        });
        let mut unplaced = self.place_each(order);
        for _ in 0..MAX_REPAIRS {
            let Some(volume) = unplaced.pop() else { break };
            self.evict_others(volume, &mut unplaced);
            if !self.place(volume) {
                unplaced.insert(0, volume);
            }
            unplaced = self.place_each(unplaced);
        }
        self.update_node_gains();
        unplaced.is_empty()
    }

    /// Places each volume on its current nodes where that is feasible. [`LocalSearch::place_missing`] places the others.
    pub fn start_from_current(&mut self) {
        for volume in 0..self.problem.volumes.len() {
            let current = &self.problem.volumes[volume].current_nodes;
            let is_current = |node: &NodeIndex| current.contains(&self.problem.nodes[*node].name);
            let nodes: Vec<NodeIndex> = (0..self.problem.nodes.len()).filter(is_current).collect();
            // A volume without a reserve fits on a lost node, but the node cannot serve it.
            let is_on_lost_node = nodes.iter().any(|node| self.problem.nodes[*node].is_lost());
            let is_complete = nodes.len() == self.problem.volumes[volume].spread;
            if !is_on_lost_node && is_complete && self.working.is_allowed(volume, &nodes) {
                self.working.assign_if_fitting(volume, nodes);
            }
        }
    }

    /// Places the volumes that have no nodes yet. Returns whether all were placed.
    pub fn place_missing(&mut self) -> bool {
        let unplaced = self.place_each(self.working.unassigned());
        self.update_node_gains();
        unplaced.is_empty()
    }

    /// Tries `attempts` random changes and accepts those that improve the placement (hill climbing). A change moves one
    /// volume to another node or exchanges the nodes of two volumes.
    pub fn improve(&mut self, attempts: u64) {
        for _ in 0..attempts {
            if let Some(change) = self.random_change() {
                self.accept_if_better(&change);
            }
        }
    }

    /// Returns the objective value of the placement, or `None` while a volume has no nodes.
    #[must_use]
    pub fn objective(&self) -> Option<Objective> {
        self.working.objective()
    }

    /// Returns whether the placement is feasible, computed anew rather than from the incrementally updated loads.
    #[must_use]
    pub fn is_feasible(&self) -> bool {
        self.working.is_feasible()
    }

    /// Places volumes in the given order. Returns those that could not be placed.
    fn place_each(&mut self, volumes: Vec<VolumeIndex>) -> Vec<VolumeIndex> {
        volumes
            .into_iter()
            .filter(|volume| !self.place(*volume))
            .collect()
    }

    /// Places a volume on one of the least loaded node sets. Returns whether one was found that fits.
    fn place(&mut self, volume: VolumeIndex) -> bool {
        (0..MAX_TRIES).any(|exchanges| {
            let nodes = self.least_loaded_set(volume, exchanges);
            nodes.is_some_and(|nodes| self.working.assign_if_fitting(volume, nodes))
        })
    }

    /// Frees capacity for `volume` by evicting random other volumes, which are added to `unplaced`.
    fn evict_others(&mut self, volume: VolumeIndex, unplaced: &mut Vec<VolumeIndex>) {
        for _ in 0..EVICTIONS_PER_REPAIR {
            let other = self.rng.below(self.problem.volumes.len());
            if other != volume && !self.working.nodes_of(other).is_empty() {
                self.working.unassign(other);
                unplaced.insert(0, other);
            }
        }
    }

    /// Returns the first node set in order of load that a volume's own constraints allow, after `exchanges` random
    /// exchanges in that order.
    fn least_loaded_set(
        &mut self,
        volume: VolumeIndex,
        exchanges: usize,
    ) -> Option<Vec<NodeIndex>> {
        let mut by_load: Vec<NodeIndex> = (0..self.problem.nodes.len()).collect();
        by_load.sort_by(|a, b| self.working.compare_load(*a, *b));
        for _ in 0..exchanges {
            let first = self.rng.below(by_load.len());
            let second = self.rng.below(by_load.len());
            by_load.swap(first, second);
        }
        let spread = self.problem.volumes[volume].spread;
        let mut nodes: Vec<NodeIndex> = Vec::new();
        for node in by_load {
            if nodes.len() + 1 < spread {
                if self.working.is_allowed_with(volume, &nodes, node) {
                    nodes.push(node);
                }
                continue;
            }
            let mut complete = nodes.clone();
            complete.push(node);
            complete.sort_unstable();
            if self.working.is_allowed(volume, &complete) {
                return Some(complete);
            }
        }
        None
    }

    fn update_node_gains(&mut self) {
        self.node_gains = (0..self.problem.nodes.len())
            .map(|node| self.working.node_gain(node))
            .collect();
    }

    /// Returns a random change: one volume moves from a node to another one and, with a probability of one half, a volume
    /// of the other node moves in the opposite direction. Returns `None` if the volumes' own constraints forbid it.
    fn random_change(&mut self) -> Option<Vec<Reassignment>> {
        let volume = self.rng.below(self.problem.volumes.len());
        let before = self.working.nodes_of(volume).to_vec();
        if before.is_empty() {
            return None;
        }
        let source = before[self.rng.below(before.len())];
        let target = self.rng.below(self.problem.nodes.len());
        if before.contains(&target) {
            return None;
        }
        let first = Reassignment::replace(volume, before, source, target);
        if !self.working.is_allowed(volume, &first.after) {
            return None;
        }
        let is_not_at_source =
            |other: &&VolumeIndex| !self.working.nodes_of(**other).contains(&source);
        let partners: Vec<VolumeIndex> = self
            .working
            .volumes_at(target)
            .iter()
            .filter(is_not_at_source)
            .copied()
            .collect();
        let is_exchange = self.rng.below(2) == 0 && !partners.is_empty();
        if !is_exchange {
            return Some(vec![first]);
        }
        let partner = partners[self.rng.below(partners.len())];
        let partner_nodes = self.working.nodes_of(partner).to_vec();
        let second = Reassignment::replace(partner, partner_nodes, target, source);
        self.working
            .is_allowed(partner, &second.after)
            .then(|| vec![first, second])
    }

    /// Applies a change and reverts it unless the placement is then feasible and better, that is, has more gain, or the
    /// same gain and less data to move.
    fn accept_if_better(&mut self, change: &[Reassignment]) {
        for step in change {
            self.working.reassign(step.volume, &step.after);
        }
        let mut affected: Vec<NodeIndex> = change
            .iter()
            .flat_map(|step| step.before.iter().chain(&step.after))
            .copied()
            .collect();
        affected.sort_unstable();
        affected.dedup();
        let gain_before: i128 = affected.iter().map(|node| self.node_gains[*node]).sum();
        let gains: Vec<i128> = affected
            .iter()
            .map(|node| self.working.node_gain(*node))
            .collect();
        let gain_after: i128 = gains.iter().sum();
        let is_better = gain_after
            .cmp(&gain_before)
            .then_with(|| self.saved_data(change).cmp(&0))
            .is_gt();
        if is_better && self.working.fits_at(&affected) {
            for (node, gain) in affected.into_iter().zip(gains) {
                self.node_gains[node] = gain;
            }
        } else {
            for step in change.iter().rev() {
                self.working.reassign(step.volume, &step.before);
            }
        }
    }

    /// Returns by how much a change reduces the data that has to move, times [`SCALE`](crate::problem::SCALE).
    fn saved_data(&self, change: &[Reassignment]) -> i128 {
        let moved = |volume, nodes: &[NodeIndex]| moved_data(self.problem, volume, nodes) as i128;
        change
            .iter()
            .map(|step| moved(step.volume, &step.before) - moved(step.volume, &step.after))
            .sum()
    }
}
