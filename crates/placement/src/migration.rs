//! The steps from the current placement to another one, a part of a volume at a time, so that no step violates a
//! reserve, a loss that a volume must survive, or a zone constraint. A constraint that is violated now may stay violated
//! until its step, and not more than now. The steps are input for whatever moves extents.
//!
//! - `selection`: the volumes that move within the data budget, and their order.
//! - `plan`: the steps as a result.
//! - `planner`: the steps of these volumes, one by one.
mod plan;
mod planner;
mod selection;

use crate::Placement;
use crate::problem::Problem;
pub use plan::{MigrationPlan, MigrationStep};

use planner::Planner;
use selection::{Selection, select_volumes};

/// The placement that data has now. A new volume has no nodes.
#[must_use]
pub fn current_placement(problem: &Problem) -> Placement {
    let index_of = |name: &String| problem.nodes.iter().position(|node| node.name == *name);
    problem
        .volumes
        .iter()
        .map(|volume| volume.current_nodes.iter().filter_map(index_of).collect())
        .collect()
}

/// Plans the steps from one placement to another, with at most `max_data` moved (times [`SCALE`]).
///
/// Volumes on lost nodes are first, then those whose moves gain most for their data; those for which the data budget is
/// not enough are deferred. Where two volumes block each other, one takes a detour over a third node, which copies its
/// data twice.
#[must_use]
pub fn plan_migration(
    problem: &Problem,
    from: &Placement,
    to: &Placement,
    max_data: Option<u128>,
) -> MigrationPlan {
    let Selection { mut open, deferred } = select_volumes(problem, from, to, max_data);
    let mut planner = Planner::new(problem, from, to);
    while !open.is_empty() {
        let steps_before = planner.step_count();
        open.retain(|volume| {
            while !planner.is_finished(*volume) && planner.advance(*volume) {}
            !planner.is_finished(*volume)
        });
        if planner.step_count() > steps_before {
            continue;
        }
        let spare_data = max_data.map(|max| planner.spare_data(max, &open));
        if !planner.detour(&open, spare_data) {
            break;
        }
    }
    planner.into_plan(deferred, open)
}
