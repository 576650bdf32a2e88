//! Why no placement is feasible: an irreducible set of constraints that contradict each other, and the least relaxation of
//! capacities that makes it feasible.
use crate::branch_and_bound::is_feasible;
use crate::constraint::Constraint;
use crate::feasibility::FULL_CAPACITY;
use crate::problem::Problem;
use std::collections::BTreeSet;

/// Largest relaxation of capacities, a thousandfold: beyond it, capacity is not the reason.
const MAX_CAPACITY_PER_MILLE: u64 = 1_000_000;

/// Why no placement is feasible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Infeasibility {
    /// Constraints that contradict each other. Without any one of them the others can be met.
    pub constraints: Vec<Constraint>,
    /// Least thousandths of all capacities with which the problem is feasible; none if no capacity is enough.
    pub least_capacity_per_mille: Option<u64>,
}

/// Explains why a problem is infeasible. None: it is feasible, or a search has exceeded `max_steps`, which bounds each of
/// the searches.
#[must_use]
pub fn explain(problem: &Problem, max_steps: u64) -> Option<Infeasibility> {
    let all: BTreeSet<Constraint> = problem.constraints().into_iter().collect();
    let is_possible = |constraints: &BTreeSet<Constraint>, capacity_per_mille| {
        is_feasible(
            problem,
            &|c| constraints.contains(&c),
            capacity_per_mille,
            max_steps,
        )
    };
    if is_possible(&all, FULL_CAPACITY)? {
        return None;
    }
    // A constraint whose removal leaves the problem infeasible is no part of the contradiction. One pass is
    // enough: what could not be removed from a larger set cannot be removed from a smaller one.
    let mut contradiction = all.clone();
    for constraint in problem.constraints().into_iter().rev() {
        contradiction.remove(&constraint);
        if is_possible(&contradiction, FULL_CAPACITY)? {
            contradiction.insert(constraint);
        }
    }
    let mut least_capacity_per_mille = None;
    if is_possible(&all, MAX_CAPACITY_PER_MILLE)? {
        let mut too_low = FULL_CAPACITY;
        let mut enough = MAX_CAPACITY_PER_MILLE;
        while too_low + 1 < enough {
            let middle = too_low + (enough - too_low) / 2;
            if is_possible(&all, middle)? {
                enough = middle;
            } else {
                too_low = middle;
            }
        }
        least_capacity_per_mille = Some(enough);
    }
    Some(Infeasibility {
        constraints: contradiction.into_iter().collect(),
        least_capacity_per_mille,
    })
}
