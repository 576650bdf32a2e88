//! The optimal placement, proven by branch and bound: volumes are placed one by one, the hardest first, and partial
//! placements that are infeasible or cannot be optimal are pruned.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::feasibility::{FULL_CAPACITY, fits};
use crate::objective::{Objective, cost, moved_data, objective};
use crate::problem::{Problem, Volume};
use crate::upper_bound::gain_upper_bound;
use crate::{Assignment, NodeIndex, Placement, VolumeIndex};
use std::cmp::Reverse;

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SolveOutcome {
    /// The optimal placement, proven.
    Optimal(Objective),
    /// Proven that no placement is feasible.
    Infeasible,
    /// The search has exceeded its steps.
    StepsExhausted {
        /// The best placement so far.
        best: Option<Objective>,
        /// An upper bound on the gain of any placement.
        gain_upper_bound: i128,
    },
}

struct Search<'a> {
    problem: &'a Problem,
    is_active: ConstraintFilter<'a>,
    capacity_per_mille: u64,
    /// Volumes in the order in which they are placed.
    order: Vec<VolumeIndex>,
    /// The node sets that each volume's own constraints allow.
    allowed: Vec<Vec<Vec<NodeIndex>>>,
    /// For each position in the order, the last position before it with a volume that differs by its name only. The
    /// node set of such a volume is never before that of its predecessor (symmetry breaking): with the two exchanged the
    /// objective would be the same, and the first placement in order of names is the better one.
    identical_predecessors: Vec<Option<usize>>,
    /// For each position in the order, the index of the chosen node set.
    chosen: Vec<usize>,
    gain_upper_bound: i128,
    /// Stop at the first placement that fits.
    stop_at_first: bool,
    steps_left: u64,
    best: Option<Objective>,
}

/// Finds the optimal placement within `max_steps`. A step is one node set tried for one volume.
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

/// Whether any placement meets the active constraints, with capacities in thousandths of the given ones. None:
/// `max_steps` was exceeded.
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
        // Volumes without an allowed set and those with much reserve first, so that infeasible branches are pruned early.
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

    /// Searches all placements, but for pruned ones, of the volumes from a position in the order on.
    fn place_from(&mut self, position: usize, placement: &mut Placement) {
        if position == self.order.len() {
            return self.consider(placement);
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

    /// Retains a complete placement if it is the best so far.
    fn consider(&mut self, placement: &Placement) {
        let found = objective(self.problem, placement);
        if self.best.as_ref().is_none_or(|best| found > *best) {
            self.best = Some(found);
        }
    }

    /// Whether the volumes placed so far fit. Further volumes only add load.
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

    /// Whether a completion of this partial placement can be better than the best so far: no gain is above the upper
    /// bound, and cost and moved data never shrink.
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

/// For each position in the order, the last position before it with a volume that differs by its name only.
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
