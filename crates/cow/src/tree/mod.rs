//! Layers, branches and snapshots.
//!
//! A *branch* is a volume or a clone, to which clients write. Its head *layer* takes new locations for extents; an
//! extent without a location in the head is found in the nearest ancestor that has one. A consistent cut freezes the
//! head and creates a new head layer with the frozen one as its parent. A layer is a logical unit of its own at every
//! storage node (its id is the LUN), so that a node can close all of it to writes. Locations in a layer are numbered
//! slots. No slot is allocated twice, so that no late write of an abandoned copy can reach a location that is in use.
//!
//! - `model`: the stored data types.
//! - `change`: the numbered changes and their effects.
//! - `validate` and `apply`: whether a change fits a tree, and the tree after the change.
//! - `reachability`: which locations are unreachable.
//! - `index`: an index that is derived from layers, branches and snapshots.
//! - `consistency`: checks of a full tree, for stores that were just opened and for tests.
mod apply;
mod change;
mod consistency;
mod error;
mod index;
mod model;
mod reachability;
mod validate;

pub use change::{Change, ChangeEffects};
pub use consistency::Inconsistency;
pub use error::ChangeError;
pub use model::{
    Branch, ExtentLocation, FIRST_LAYER_ID, LAST_LAYER_ID, Layer, LayerExtent, LayerId, Location,
    Snapshot, TreeData,
};

use index::Index;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The tree of layers with the branches and snapshots that refer to them.
///
/// It is stored and sent as JSON: the names and the order of the serialized fields are fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TreeData")]
pub struct Tree {
    /// Version of the tree: the number of changes applied so far.
    pub version: u64,
    /// All layers, by id.
    pub layers: BTreeMap<LayerId, Layer>,
    /// Volumes and clones, by name.
    pub branches: BTreeMap<String, Branch>,
    /// Snapshots, by full name (`branch@name`).
    pub snapshots: BTreeMap<String, Snapshot>,
    #[serde(rename = "made")]
    layers_created: u32,
    #[serde(rename = "units")]
    luns_assigned: u32,
    #[serde(skip)]
    index: Index,
}

impl From<TreeData> for Tree {
    fn from(data: TreeData) -> Tree {
        let TreeData {
            version,
            layers,
            branches,
            snapshots,
            layers_created,
            luns_assigned,
        } = data;
        let index = Index::build(&layers, branches.values(), snapshots.values());
        Tree {
            version,
            layers,
            branches,
            snapshots,
            layers_created,
            luns_assigned,
            index,
        }
    }
}

impl Tree {
    /// Returns the number of layers ever created. Their ids are never used again.
    #[must_use]
    pub fn layers_created(&self) -> u32 {
        self.layers_created
    }

    /// Returns the number of LUNs ever assigned to branches and snapshots. The LUNs are never used again.
    #[must_use]
    pub fn luns_assigned(&self) -> u32 {
        self.luns_assigned
    }

    /// Returns the id that the next new layer will have.
    #[must_use]
    pub fn next_layer_id(&self) -> LayerId {
        FIRST_LAYER_ID + self.layers_created
    }

    /// Returns the tree without its locations, which [`Tree::insert_locations`] adds again.
    pub(crate) fn without_locations(&self) -> Tree {
        let empty = |layer: &Layer| Layer {
            parent: layer.parent,
            frozen: layer.frozen,
            next_slot: layer.next_slot,
            closed_nodes: layer.closed_nodes.clone(),
            ..Layer::default()
        };
        let data = TreeData {
            version: self.version,
            layers: self
                .layers
                .iter()
                .map(|(id, layer)| (*id, empty(layer)))
                .collect(),
            branches: self.branches.clone(),
            snapshots: self.snapshots.clone(),
            layers_created: self.layers_created,
            luns_assigned: self.luns_assigned,
        };
        data.into()
    }

    /// Adds locations of a layer to a tree that was sent without them. Returns false if the tree has no such layer.
    #[must_use]
    pub(crate) fn insert_locations(
        &mut self,
        layer_id: LayerId,
        locations: &[ExtentLocation],
    ) -> bool {
        let Some(layer) = self.layers.get_mut(&layer_id) else {
            return false;
        };
        for entry in locations {
            if layer.place(entry.extent, entry.location).is_none() {
                self.index.add_location(layer_id, entry.location.node);
            }
            if entry.writable {
                layer.make_writable(entry.extent);
            }
        }
        true
    }

    /// Returns the branch of this name.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError::NoSuchBranch`] if there is none.
    pub fn branch(&self, name: &str) -> Result<&Branch, ChangeError> {
        self.branches
            .get(name)
            .ok_or_else(|| ChangeError::NoSuchBranch(name.to_owned()))
    }

    /// Returns the snapshot of this full name, `branch@name`.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeError::NoSuchSnapshot`] if there is none.
    pub fn snapshot(&self, name: &str) -> Result<&Snapshot, ChangeError> {
        self.snapshots
            .get(name)
            .ok_or_else(|| ChangeError::NoSuchSnapshot(name.to_owned()))
    }

    /// Returns the head layer of a branch.
    fn head(&self, branch: &str) -> Result<&Layer, ChangeError> {
        self.layer(self.branch(branch)?.head)
    }

    fn layer(&self, id: LayerId) -> Result<&Layer, ChangeError> {
        self.layers.get(&id).ok_or(ChangeError::NoSuchLayer(id))
    }

    /// Returns the layer through which a branch, or a snapshot (`branch@name`), is read, if there is one of this name.
    #[must_use]
    pub fn layer_read_by(&self, name: &str) -> Option<LayerId> {
        let head = self.branches.get(name).map(|branch| branch.head);
        head.or_else(|| self.snapshots.get(name).map(|snapshot| snapshot.layer))
    }

    /// Returns a layer and its ancestors, nearest first.
    pub fn ancestors(&self, from: LayerId) -> impl Iterator<Item = (LayerId, &Layer)> {
        let mut next = Some(from);
        std::iter::from_fn(move || {
            let id = next?;
            let layer = self.layers.get(&id)?;
            next = layer.parent;
            Some((id, layer))
        })
    }

    /// Returns the layer and location at which an extent is read through a layer: those of the nearest layer that has
    /// one. None: the extent was never written.
    #[must_use]
    pub fn locate(&self, from: LayerId, extent: u32) -> Option<(LayerId, Location)> {
        self.ancestors(from)
            .find_map(|(id, layer)| Some((id, *layer.locations.get(&extent)?)))
    }

    /// Returns the nodes that may still take writes to locations read through a layer, by the layer that the nodes have
    /// not closed.
    #[must_use]
    pub fn unclosed_nodes(&self, from: LayerId) -> BTreeMap<LayerId, BTreeSet<u32>> {
        let mut unclosed = BTreeMap::new();
        for (id, layer) in self.ancestors(from) {
            let nodes: BTreeSet<u32> = self.nodes_not_closed(id, layer).collect();
            if !nodes.is_empty() {
                unclosed.insert(id, nodes);
            }
        }
        unclosed
    }

    /// Returns the nodes that hold locations of a layer and have not closed it.
    fn nodes_not_closed<'a>(
        &'a self,
        id: LayerId,
        layer: &'a Layer,
    ) -> impl Iterator<Item = u32> + 'a {
        self.index
            .nodes(id)
            .filter(|node| !layer.closed_nodes.contains(node))
    }

    /// Returns each frozen layer with each node that still has to close it. Until then, no extent that this node holds
    /// for the layer can be copied.
    pub fn pending_closes(&self) -> impl Iterator<Item = (LayerId, u32)> + '_ {
        let frozen = self.layers.iter().filter(|(_, layer)| layer.frozen);
        frozen.flat_map(|(id, layer)| self.nodes_not_closed(*id, layer).map(|node| (*id, node)))
    }

    /// Returns the extents below `extent_count` that are found at different locations through two layers.
    #[must_use]
    pub fn diff(&self, a: LayerId, b: LayerId, extent_count: u32) -> Vec<u32> {
        (0..extent_count)
            .filter(|extent| self.locate(a, *extent) != self.locate(b, *extent))
            .collect()
    }
}
