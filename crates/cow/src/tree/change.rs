//! The numbered changes that lead from one tree to the next, and what each of them has affected.
use super::model::{LayerExtent, LayerId, Location};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One change of the tree. Catalog and hosts apply the same changes in the same order and so hold the same tree.
///
/// Changes are stored and sent as JSON: `serde(rename)` keeps the stored names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates an empty branch.
    #[serde(rename = "Made")]
    BranchCreated {
        /// Name of the new branch.
        branch: String,
        /// Its size in extents.
        #[serde(rename = "extents")]
        extent_count: u32,
    },
    /// Allocates slots of a layer to a host.
    #[serde(rename = "Numbers")]
    SlotsAllocated {
        /// The layer.
        layer: LayerId,
        /// The first slot.
        first: u32,
        /// Number of slots.
        count: u32,
    },
    /// Gives an extent its location in a layer.
    #[serde(rename = "Placed")]
    ExtentPlaced {
        /// The head layer of a branch.
        layer: LayerId,
        /// The extent.
        extent: u32,
        /// Where it is stored from now on.
        #[serde(rename = "place")]
        location: Location,
    },
    /// Allows writes to the location of an extent.
    #[serde(rename = "Opened")]
    ExtentWritable {
        /// The layer.
        layer: LayerId,
        /// The extent.
        extent: u32,
    },
    /// Freezes the head of a branch and puts a new head under it.
    #[serde(rename = "Cut")]
    HeadFrozen {
        /// The branch.
        branch: String,
    },
    /// A node has closed a frozen layer to writes.
    #[serde(rename = "Closed")]
    LayerClosed {
        /// The layer.
        layer: LayerId,
        /// The node.
        node: u32,
    },
    /// Grants a snapshot: gives a frozen layer a name.
    #[serde(rename = "Named")]
    SnapshotCreated {
        /// The branch that it shows.
        branch: String,
        /// Its name within the branch.
        name: String,
        /// The frozen layer.
        layer: LayerId,
    },
    /// Creates a branch that starts as a snapshot.
    #[serde(rename = "Cloned")]
    CloneCreated {
        /// The snapshot, as `branch@name`.
        snapshot: String,
        /// Name of the new branch.
        branch: String,
    },
    /// Abandons the head of a branch for a new one under a snapshot of it.
    #[serde(rename = "RolledBack")]
    BranchRolledBack {
        /// The branch.
        branch: String,
        /// The snapshot, as `branch@name`.
        snapshot: String,
    },
    /// Deletes a snapshot.
    SnapshotDeleted {
        /// The snapshot, as `branch@name`.
        snapshot: String,
    },
    /// Deletes a branch without snapshots.
    BranchDeleted {
        /// The branch.
        branch: String,
    },
    /// Nodes have released locations of a layer. A layer without locations that nothing refers to is removed.
    #[serde(rename = "Freed")]
    ExtentsReclaimed {
        /// The layer.
        layer: LayerId,
        /// Extents whose locations were released; none to remove an empty layer.
        extents: Vec<u32>,
    },
}

/// What a change has affected: a store writes the present state of these records, or deletes those that no longer exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeEffects {
    /// Layers, but for their locations.
    pub layers: BTreeSet<LayerId>,
    /// Locations, by layer and extent.
    pub locations: Vec<LayerExtent>,
    /// Branches, by name.
    pub branches: Vec<String>,
    /// Snapshots, by `branch@name`.
    pub snapshots: Vec<String>,
    /// A layer to which a branch or a snapshot referred before and does not any more.
    pub dereferenced: Option<LayerId>,
    /// An extent that has a location now which hides those of the ancestors.
    pub placed: Option<LayerExtent>,
}
