//! Explanation of infeasible problems: an irreducible set of constraints that contradict each other, and the least
//! increase of all capacities that makes the problem feasible.
use crate::branch_and_bound::is_feasible;
use crate::constraint::Constraint;
use crate::feasibility::FULL_CAPACITY;
use crate::problem::Problem;
use std::collections::BTreeSet;

/// Largest capacity factor that is tried, in thousandths. A problem that is infeasible with a thousand times its
/// capacities is not infeasible for lack of capacity.
const MAX_CAPACITY_PER_MILLE: u64 = 1_000_000;

/// Reasons why a problem has no feasible placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Infeasibility {
    /// Constraints that contradict each other. If any one of them is removed, the others can be met.
    pub constraints: Vec<Constraint>,
    /// Least factor on all capacities, in thousandths, that makes the problem feasible; `None` if no factor does.
    pub least_capacity_per_mille: Option<u64>,
}

/// Explains why a problem is infeasible. Returns `None` if the problem is feasible, or if one of the searches needs more
/// than `max_steps` steps.
#[must_use]
pub fn explain(problem: &Problem, max_steps: u64) -> Option<Infeasibility> {
    let all: BTreeSet<Constraint> = problem.constraints().into_iter().collect();
    let is_feasible_with = |constraints: &BTreeSet<Constraint>, capacity_per_mille| {
        is_feasible(
            problem,
            &|c| constraints.contains(&c),
            capacity_per_mille,
            max_steps,
        )
    };
    if is_feasible_with(&all, FULL_CAPACITY)? {
        return None;
    }
    // A constraint is redundant if the problem stays infeasible without it. One pass is enough: a constraint that
    // cannot be removed from a larger set cannot be removed from a smaller one either.
    let mut contradiction = all.clone();
    for constraint in problem.constraints().into_iter().rev() {
        contradiction.remove(&constraint);
        if is_feasible_with(&contradiction, FULL_CAPACITY)? {
            contradiction.insert(constraint);
        }
    }
    let mut least_capacity_per_mille = None;
    if is_feasible_with(&all, MAX_CAPACITY_PER_MILLE)? {
        let mut too_low = FULL_CAPACITY;
        let mut enough = MAX_CAPACITY_PER_MILLE;
        while too_low + 1 < enough {
            let middle = too_low + (enough - too_low) / 2;
            if is_feasible_with(&all, middle)? {
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
