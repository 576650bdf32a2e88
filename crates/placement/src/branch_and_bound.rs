//! Exact search for the optimal placement by branch and bound: volumes are placed one by one, the hardest first, and
//! partial placements that are infeasible or cannot become optimal are pruned.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::feasibility::{FULL_CAPACITY, fits};
use crate::objective::{Objective, cost, moved_data, objective};
use crate::problem::{Problem, Volume};
use crate::upper_bound::gain_upper_bound;
use crate::{Assignment, NodeIndex, Placement, VolumeIndex};
use std::cmp::Reverse;

/// Result of [`solve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SolveOutcome {
    /// The placement is proven to be optimal.
    Optimal(Objective),
    /// It is proven that no placement is feasible.
    Infeasible,
    /// The search has used up its steps before a proof.
    StepsExhausted {
        /// Best placement found so far; `None` if none was found.
        best: Option<Objective>,
        /// Upper bound on the gain of any placement.
        gain_upper_bound: i128,
    },
}

/// State of a branch-and-bound search.
struct Search<'a> {
    problem: &'a Problem,
    is_active: ConstraintFilter<'a>,
    capacity_per_mille: u64,
    /// All volumes, in the order in which they are placed.
    order: Vec<VolumeIndex>,
    /// For each volume, the node sets that satisfy its zone constraints.
    allowed: Vec<Vec<Vec<NodeIndex>>>,
    /// For each position in `order`, the last earlier position with a volume that differs in its name only. The search is
    /// limited to placements in which the node set of a volume is not before that of its identical predecessor (symmetry
    /// breaking): exchanging the two node sets changes nothing but the tie-break by order of names, which prefers the
    /// ascending one.
    identical_predecessors: Vec<Option<usize>>,
    /// For each position in `order`, the index of the chosen node set in `allowed`.
    chosen: Vec<usize>,
    gain_upper_bound: i128,
    /// Whether the search stops at the first feasible placement.
    stop_at_first: bool,
    steps_left: u64,
    best: Option<Objective>,
}

/// Searches for the optimal placement with at most `max_steps` steps. A step is one node set tried for one volume.
#[must_use]
pub fn solve(problem: &Problem, max_steps: u64) -> SolveOutcome {
    let mut search = Search::new(problem, &|_| true, FULL_CAPACITY, false, max_steps);
    search.run();
    match (search.steps_left, search.best) {
        (0, best) => SolveOutcome::StepsExhausted {
            best,
            gain_upper_bound: search.gain_upper_bound,
        },
        (_, Some(best)) => SolveOutcome::Optimal(best),
        (_, None) => SolveOutcome::Infeasible,
    }
}

/// Returns whether any placement meets the active constraints. `capacity_per_mille` is a factor on all capacities, in
/// thousandths. Returns `None` if the answer is still unknown after `max_steps` steps.
#[must_use]
pub fn is_feasible(
    problem: &Problem,
    is_active: ConstraintFilter,
    capacity_per_mille: u64,
    max_steps: u64,
) -> Option<bool> {
    let mut search = Search::new(problem, is_active, capacity_per_mille, true, max_steps);
    search.run();
    match (search.best, search.steps_left) {
        (Some(_), _) => Some(true),
        (None, 0) => None,
        (None, _) => Some(false),
    }
}

impl<'a> Search<'a> {
    fn new(
        problem: &'a Problem,
        is_active: ConstraintFilter<'a>,
        capacity_per_mille: u64,
        stop_at_first: bool,
        max_steps: u64,
    ) -> Self {
        let volumes = 0..problem.volumes.len();
        let allowed: Vec<_> = volumes
            .clone()
            .map(|volume| problem.allowed_node_sets(volume, is_active))
            .collect();
        let mut order: Vec<VolumeIndex> = volumes.collect();
        // Volumes without an allowed node set come first, then those with the largest reserves, so that infeasible
        // branches are pruned early.
        order.sort_by_key(|v| {
            (
                allowed[*v].len().min(1),
                Reverse(problem.volumes[*v].reserved_rate),
                *v,
            )
        });
        let identical_predecessors = find_identical_predecessors(problem, &order, is_active);
        Search {
            problem,
            is_active,
            capacity_per_mille,
            chosen: vec![0; order.len()],
            order,
            allowed,
            identical_predecessors,
            gain_upper_bound: gain_upper_bound(problem),
            stop_at_first,
            steps_left: max_steps,
            best: None,
        }
    }

    fn run(&mut self) {
        let mut placement = vec![Vec::new(); self.problem.volumes.len()];
        self.place_from(0, &mut placement);
    }

    fn is_done(&self) -> bool {
        self.steps_left == 0 || self.stop_at_first && self.best.is_some()
    }

    /// Searches the placements of the volumes from `position` in `order` on, given the placement of those before it.
    fn place_from(&mut self, position: usize, placement: &mut Placement) {
        if position == self.order.len() {
            return self.keep_if_best(placement);
        }
        let volume = self.order[position];
        let first = self.identical_predecessors[position].map_or(0, |earlier| self.chosen[earlier]);
        for choice in first..self.allowed[volume].len() {
            if self.is_done() {
                return;
            }
            self.chosen[position] = choice;
            self.steps_left -= 1;
            placement[volume].clone_from(&self.allowed[volume][choice]);
            let placed = &self.order[..=position];
            if self.fits_so_far(placed, placement) && self.may_be_optimal(placed, placement) {
                self.place_from(position + 1, placement);
            }
        }
        placement[volume] = Vec::new();
    }

    /// Keeps a complete placement if it is better than the best so far.
    fn keep_if_best(&mut self, placement: &Placement) {
        let found = objective(self.problem, placement);
        if self.best.as_ref().is_none_or(|best| found > *best) {
            self.best = Some(found);
        }
    }

    /// Returns whether the volumes placed so far fit. If not, no completion fits, since further volumes only add load.
    fn fits_so_far(&self, placed: &[VolumeIndex], placement: &Placement) -> bool {
        let assignments: Vec<Assignment> = placed
            .iter()
            .map(|volume| Assignment {
                volume: *volume,
                nodes: &placement[*volume],
            })
            .collect();
        fits(
            self.problem,
            &assignments,
            self.is_active,
            self.capacity_per_mille,
        )
    }

    /// Returns whether a completion of this partial placement can be better than the best placement so far. Its gain is at
    /// most the upper bound, and its cost and moved data are at least those of the partial placement.
    fn may_be_optimal(&self, placed: &[VolumeIndex], placement: &Placement) -> bool {
        let Some(best) = self.best.as_ref().filter(|_| !self.stop_at_first) else {
            return true;
        };
        if self.gain_upper_bound > best.gain {
            return true;
        }
        let used = placed
            .iter()
            .flat_map(|volume| placement[*volume].iter().copied());
        let cost = cost(self.problem, used);
        let moved: u128 = placed
            .iter()
            .map(|volume| moved_data(self.problem, *volume, &placement[*volume]))
            .sum();
        (self.gain_upper_bound, Reverse(cost), Reverse(moved))
            >= (best.gain, best.cost, best.moved_data)
    }
}

/// Returns for each position in `order` the last earlier position with a volume that differs in its name only.
fn find_identical_predecessors(
    problem: &Problem,
    order: &[VolumeIndex],
    is_active: ConstraintFilter,
) -> Vec<Option<usize>> {
    let active_constraints = |volume: VolumeIndex| {
        [
            Constraint::Reserve(volume),
            Constraint::Zone(volume),
            Constraint::DistinctZones(volume),
            Constraint::SurvivesNodeLoss(volume),
            Constraint::SurvivesZoneLoss(volume),
        ]
        .map(is_active)
    };
    let are_identical = |a: VolumeIndex, b: VolumeIndex| {
        let (first, second) = (&problem.volumes[a], &problem.volumes[b]);
        Volume {
            name: second.name.clone(),
            ..first.clone()
        } == *second
            && active_constraints(a) == active_constraints(b)
    };
    let last_identical = |position: usize| {
        (0..position)
            .rev()
            .find(|earlier| are_identical(order[*earlier], order[position]))
    };
    (0..order.len()).map(last_identical).collect()
}
