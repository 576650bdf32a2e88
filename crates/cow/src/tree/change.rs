//! The numbered changes that lead from one tree to the next, and the effects of each change.
use super::model::{LayerExtent, LayerId, Location};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One change of the tree. The catalog and the hosts apply the same changes in the same order, so they hold the same
/// tree.
///
/// Changes are stored and sent as JSON: `serde(rename)` keeps the stored names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates an empty branch.
    #[serde(rename = "Made")]
    BranchCreated {
        /// Name of the new branch.
        branch: String,
        /// Size of the branch in extents.
        #[serde(rename = "extents")]
        extent_count: u32,
    },
    /// Allocates slots of a layer to a host.
    #[serde(rename = "Numbers")]
    SlotsAllocated {
        /// Layer that the slots belong to.
        layer: LayerId,
        /// First of the slots.
        first: u32,
        /// Number of slots.
        count: u32,
    },
    /// Gives an extent its location in a layer.
    #[serde(rename = "Placed")]
    ExtentPlaced {
        /// Head layer of a branch.
        layer: LayerId,
        /// Index of the extent.
        extent: u32,
        /// Location where the extent is stored from now on.
        #[serde(rename = "place")]
        location: Location,
    },
    /// Allows writes to the location of an extent.
    #[serde(rename = "Opened")]
    ExtentWritable {
        /// Layer that holds the location.
        layer: LayerId,
        /// Index of the extent.
        extent: u32,
    },
    /// Freezes the head of a branch and creates a new head with the frozen one as its parent.
    #[serde(rename = "Cut")]
    HeadFrozen {
        /// Name of the branch.
        branch: String,
    },
    /// Records that a node has closed a frozen layer to writes.
    #[serde(rename = "Closed")]
    LayerClosed {
        /// Layer that was closed.
        layer: LayerId,
        /// Index of the storage node.
        node: u32,
    },
    /// Grants a snapshot: gives a frozen layer a name.
    #[serde(rename = "Named")]
    SnapshotCreated {
        /// Name of the branch that the snapshot shows.
        branch: String,
        /// Name of the snapshot within the branch.
        name: String,
        /// Frozen layer of the snapshot.
        layer: LayerId,
    },
    /// Creates a branch that starts with the data of a snapshot.
    #[serde(rename = "Cloned")]
    CloneCreated {
        /// Full name of the snapshot, `branch@name`.
        snapshot: String,
        /// Name of the new branch.
        branch: String,
    },
    /// Replaces the head of a branch by a new one whose parent is the layer of a snapshot of the branch.
    #[serde(rename = "RolledBack")]
    BranchRolledBack {
        /// Name of the branch.
        branch: String,
        /// Full name of the snapshot, `branch@name`.
        snapshot: String,
    },
    /// Deletes a snapshot.
    SnapshotDeleted {
        /// Full name of the snapshot, `branch@name`.
        snapshot: String,
    },
    /// Deletes a branch without snapshots.
    BranchDeleted {
        /// Name of the branch.
        branch: String,
    },
    /// Removes locations of a layer that nodes have released. A layer without locations that nothing refers to is
    /// removed.
    #[serde(rename = "Freed")]
    ExtentsReclaimed {
        /// Layer that held the locations.
        layer: LayerId,
        /// Extents whose locations were released; empty to remove an empty layer.
        extents: Vec<u32>,
    },
}

/// The records that a change has affected. A store writes the current state of these records, or deletes those that no
/// longer exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeEffects {
    /// Affected layers, apart from their locations.
    pub layers: BTreeSet<LayerId>,
    /// Affected locations, by layer and extent.
    pub locations: Vec<LayerExtent>,
    /// Names of affected branches.
    pub branches: Vec<String>,
    /// Full names of affected snapshots, `branch@name`.
    pub snapshots: Vec<String>,
    /// Layer to which a branch or a snapshot referred before the change and does not any more.
    pub dereferenced: Option<LayerId>,
    /// Extent with a new location, which hides those in the ancestors of its layer.
    pub placed: Option<LayerExtent>,
}
