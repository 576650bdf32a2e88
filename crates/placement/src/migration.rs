//! Migration plans: steps from the current placement to another one, each moving one part of a volume, in an order in
//! which no step violates a reserve, the survival of a loss, or a zone constraint. A constraint that the current placement
//! violates may stay violated until the step that fixes it, but no step makes the violation worse. Planning moves no data;
//! the steps are the input of the component that moves extents.
//!
//! - `selection`: selection and order of the volumes that move within the data budget.
//! - `plan`: the resulting plan.
//! - `planner`: search for a feasible order of the steps.
mod plan;
mod planner;
mod selection;

use crate::Placement;
use crate::problem::Problem;
pub use plan::{MigrationPlan, MigrationStep};

use planner::Planner;
use selection::{Selection, select_volumes};

/// Returns the current placement of all volumes. A new volume has no nodes.
#[must_use]
pub fn current_placement(problem: &Problem) -> Placement {
    let index_of = |name: &String| problem.nodes.iter().position(|node| node.name == *name);
    problem
        .volumes
        .iter()
        .map(|volume| volume.current_nodes.iter().filter_map(index_of).collect())
        .collect()
}

/// Plans the steps from one placement to another. At most `max_data` data (times
/// [`SCALE`](crate::problem::SCALE)) is copied; `None` is no limit.
///
/// Volumes on lost nodes move first, then those with the highest gain for the data they copy. Volumes that exceed the
/// data budget are deferred. If two volumes block each other, one takes a detour over a third node, which copies its data
/// twice.
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
