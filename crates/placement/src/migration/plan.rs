//! Result of migration planning.
use crate::{NodeIndex, Placement, VolumeIndex};

/// A migration step: one part of a volume moves from one node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MigrationStep {
    /// Volume that the part belongs to.
    pub volume: VolumeIndex,
    /// Node that the part moves from; `None` for a new part.
    pub from: Option<NodeIndex>,
    /// Node that the part moves to; `None` for a part that is removed.
    pub to: Option<NodeIndex>,
    /// Amount of data that the step copies, times [`SCALE`](crate::problem::SCALE).
    pub data: u128,
}

/// Migration steps in an order in which no step violates a constraint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigrationPlan {
    /// Steps, in the order in which they are to be taken.
    pub steps: Vec<MigrationStep>,
    /// Placement after the last step.
    pub final_placement: Placement,
    /// Volumes that do not move because they exceed the data budget.
    pub deferred: Vec<VolumeIndex>,
    /// Volumes for which no feasible order of steps was found. Some of their parts may have moved.
    pub blocked: Vec<VolumeIndex>,
}

impl MigrationPlan {
    /// Returns the amount of data that all steps copy, times [`SCALE`](crate::problem::SCALE).
    #[must_use]
    pub fn data(&self) -> u128 {
        self.steps.iter().map(|step| step.data).sum()
    }
}
