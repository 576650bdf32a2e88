//! Works out, ahead of time, which nodes each volume is placed on. `docs/placement.md` describes the problem and
//! the alternatives that were considered.
//!
//! A placement must fit: the volumes' reserved rates fit at every node, also with any one node or zone lost where
//! a volume must survive that. Of those that fit, the best one has the most gain when all volumes surge at once,
//! then the least cost, then the least data moved, then the first in order of names. All numbers are integers, so that what
//! fits and what ties is exact, and the same problem always has the same answer, in whatever order it is written.
//!
//! - [`problem`]: nodes, volumes and hosts, checked and put in order; [`constraint`]: what a placement must meet;
//!   `node_sets`: the sets of nodes that a volume may be placed on.
//! - [`feasibility`]: whether a placement fits; [`objective`]: how good it is.
//! - [`branch_and_bound`]: the optimal placement of a small problem, proven; [`upper_bound`]: an upper bound of the gain.
//! - [`local_search`]: good placements of large problems.
//! - [`infeasibility`]: why no placement fits.
//! - [`tuning`]: weights and reserves that the problem leaves open; [`limit_split`]: a limit divided over hosts.
//! - [`migration`]: the steps from the current placement to another one.
//!
//! ```
//! use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
//! use mallowseam_placement::problem::{Node, Problem, Volume};
//!
//! let node = |name: &str, zone: &str| Node {
//!     name: name.into(),
//!     zone: zone.into(),
//!     capacity: 10_000,
//!     cost: 1,
//! };
//! // 6 units a second on two nodes, which must fit on one of them as well.
//! let volume = Volume {
//!     name: "water".into(),
//!     reserved_rate: 6_000,
//!     surge_rate: 6_000,
//!     spread: 2,
//!     survives_node_loss: true,
//!     distinct_zones: true,
//!     ..Volume::default()
//! };
//! let nodes = vec![node("a", "east"), node("b", "east"), node("c", "west")];
//! let problem = Problem::new(nodes, vec![volume]).expect("no mistakes");
//! let SolveOutcome::Optimal(best) = solve(&problem, 1_000) else { panic!("it is small") };
//! assert_eq!(best.placement.0, [[0, 2]]);
//! ```
#![warn(missing_docs)]

pub mod branch_and_bound;
pub mod constraint;
pub mod feasibility;
pub mod infeasibility;
pub mod limit_split;
mod load_table;
pub mod local_search;
pub mod migration;
mod node_sets;
pub mod objective;
pub mod problem;
pub mod tuning;
pub mod upper_bound;

/// Index of a node in [`problem::Problem::nodes`].
pub type NodeIndex = usize;
/// Index of a volume in [`problem::Problem::volumes`].
pub type VolumeIndex = usize;
/// For each volume, by its index, the indices of its nodes in ascending order.
pub type Placement = Vec<Vec<NodeIndex>>;

/// A volume with the nodes that it is placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The volume.
    pub volume: VolumeIndex,
    /// Its nodes, in ascending order.
    pub nodes: &'a [NodeIndex],
}

/// The assignments of all volumes of a placement.
#[must_use]
pub fn assignments(placement: &Placement) -> Vec<Assignment<'_>> {
    placement
        .iter()
        .enumerate()
        .map(|(volume, nodes)| Assignment { volume, nodes })
        .collect()
}

/// The volumes that a placement puts on a node, in ascending order.
fn volumes_at(placement: &Placement, node: NodeIndex) -> Vec<VolumeIndex> {
    (0..placement.len())
        .filter(|volume| placement[*volume].contains(&node))
        .collect()
}
