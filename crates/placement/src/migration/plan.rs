//! The steps from one placement to another.
use crate::{NodeIndex, Placement, VolumeIndex};

/// One part of a volume moves from a node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MigrationStep {
    /// The volume.
    pub volume: VolumeIndex,
    /// The node that it moves from; none: the part is new.
    pub from: Option<NodeIndex>,
    /// The node that it moves to; none: the part is removed.
    pub to: Option<NodeIndex>,
    /// Data that is copied, times [`SCALE`].
    pub data: u128,
}

/// Steps in an order in which none violates a constraint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigrationPlan {
    /// The steps in their order.
    pub steps: Vec<MigrationStep>,
    /// The placement after the last step.
    pub final_placement: Placement,
    /// Volumes that do not move, since the data budget is not enough for them.
    pub deferred: Vec<VolumeIndex>,
    /// Volumes that no order of steps was found for. They may have moved in part.
    pub blocked: Vec<VolumeIndex>,
}

impl MigrationPlan {
    /// Data that all steps copy, times [`SCALE`].
    #[must_use]
    pub fn data(&self) -> u128 {
        self.steps.iter().map(|step| step.data).sum()
    }
}
