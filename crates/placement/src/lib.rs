//! Offline solver for the placement of volumes on nodes. `docs/placement.md` describes the problem and the
//! alternatives that were considered.
//!
//! A placement is feasible if the reserved rates of the volumes fit at every node, and still fit after the loss of any
//! one node or zone for the volumes that must survive it. The optimal placement is the feasible one with the highest
//! gain when all volumes surge at once; ties are broken by lowest cost, then by least data moved, then by the order of
//! names. All numbers are integers, so that feasibility and ties are exact, and a problem always has the same solution
//! regardless of the order in which its nodes and volumes are listed.
//!
//! - [`problem`]: nodes, volumes and hosts, validated and sorted by name; [`constraint`]: the constraints on a placement;
//!   `node_sets`: the node sets that a volume may be placed on.
//! - [`feasibility`]: whether a placement is feasible; [`objective`]: the objective function.
//! - [`branch_and_bound`]: the proven optimum of a small problem; [`upper_bound`]: an upper bound on the gain.
//! - [`local_search`]: good placements of large problems.
//! - [`infeasibility`]: the constraints that make a problem infeasible.
//! - [`tuning`]: weights and reserves that the problem leaves open; [`limit_split`]: a limit divided among hosts.
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
//! // 6 units per second over two nodes; the whole reserve must also fit on either node alone.
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
//! let problem = Problem::new(nodes, vec![volume]).expect("valid problem");
//! let SolveOutcome::Optimal(best) = solve(&problem, 1_000) else { panic!("not solved within 1,000 steps") };
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

/// A volume and the nodes that it is placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// Index of the volume.
    pub volume: VolumeIndex,
    /// Nodes of the volume, in ascending order.
    pub nodes: &'a [NodeIndex],
}

/// Returns the assignments of all volumes of a placement, in order of the volumes.
#[must_use]
pub fn assignments(placement: &Placement) -> Vec<Assignment<'_>> {
    placement
        .iter()
        .enumerate()
        .map(|(volume, nodes)| Assignment { volume, nodes })
        .collect()
}

/// Returns the volumes that are placed on a node, in ascending order.
fn volumes_at(placement: &Placement, node: NodeIndex) -> Vec<VolumeIndex> {
    (0..placement.len())
        .filter(|volume| placement[*volume].contains(&node))
        .collect()
}
