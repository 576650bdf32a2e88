//! Layers, branches and snapshots.
//!
//! A *branch* is what clients write to: a volume or a clone. Its head *layer* takes new locations for extents; an
//! extent that the head lacks is found in the nearest ancestor. A consistent cut freezes the head and puts a new
//! layer under it. A layer is a logical unit of its own at every storage node (its id is the LUN), so that a node can
//! close all of it to writes. Locations in it are numbered slots, and no slot is allocated twice, so that no late
//! write of an abandoned copy can reach a location that is in use.
//!
//! - `model`: the stored data types.
//! - `change`: the numbered changes and their effects.
//! - `validate` and `apply`: whether a change fits a tree, and the tree after it.
//! - `reachability`: which locations are unreachable.
//! - `index`: what follows from layers and names, maintained beside them.
//! - `consistency`: checks of a whole tree, for stores that were just opened and for tests.
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
    /// Changes applied so far.
    pub version: u64,
    /// All layers, by id.
    pub layers: BTreeMap<LayerId, Layer>,
    /// Volumes and clones, by name.
    pub branches: BTreeMap<String, Branch>,
    /// Snapshots, by `branch@name`.
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
    /// Number of layers ever created. Their ids are never used again.
    #[must_use]
    pub fn layers_created(&self) -> u32 {
        self.layers_created
    }

    /// Number of LUNs ever assigned to branches and snapshots. They are never used again.
    #[must_use]
    pub fn luns_assigned(&self) -> u32 {
        self.luns_assigned
    }

    /// The id that the next new layer will have.
    #[must_use]
    pub fn next_layer_id(&self) -> LayerId {
        FIRST_LAYER_ID + self.layers_created
    }

    /// The tree without its locations, which [`Tree::insert_locations`] adds again.
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

    /// Adds locations to a tree that was sent without them. False: there is no such layer.
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

    /// A branch by name.
    ///
    /// # Errors
    ///
    /// [`ChangeError::NoSuchBranch`].
    pub fn branch(&self, name: &str) -> Result<&Branch, ChangeError> {
        self.branches
            .get(name)
            .ok_or_else(|| ChangeError::NoSuchBranch(name.to_owned()))
    }

    /// A snapshot by its full name, `branch@name`.
    ///
    /// # Errors
    ///
    /// [`ChangeError::NoSuchSnapshot`].
    pub fn snapshot(&self, name: &str) -> Result<&Snapshot, ChangeError> {
        self.snapshots
            .get(name)
            .ok_or_else(|| ChangeError::NoSuchSnapshot(name.to_owned()))
    }

    /// The head layer of a branch.
    fn head(&self, branch: &str) -> Result<&Layer, ChangeError> {
        self.layer(self.branch(branch)?.head)
    }

    fn layer(&self, id: LayerId) -> Result<&Layer, ChangeError> {
        self.layers.get(&id).ok_or(ChangeError::NoSuchLayer(id))
    }

    /// The layer through which a branch, or a snapshot (`branch@name`), is read.
    #[must_use]
    pub fn layer_read_by(&self, name: &str) -> Option<LayerId> {
        let head = self.branches.get(name).map(|branch| branch.head);
        head.or_else(|| self.snapshots.get(name).map(|snapshot| snapshot.layer))
    }

    /// A layer and its ancestors, nearest first.
    pub fn ancestors(&self, from: LayerId) -> impl Iterator<Item = (LayerId, &Layer)> {
        let mut next = Some(from);
        std::iter::from_fn(move || {
            let id = next?;
            let layer = self.layers.get(&id)?;
            next = layer.parent;
            Some((id, layer))
        })
    }

    /// The location of an extent as read through a layer: the nearest one. None: the extent was never written.
    #[must_use]
    pub fn locate(&self, from: LayerId, extent: u32) -> Option<(LayerId, Location)> {
        self.ancestors(from)
            .find_map(|(id, layer)| Some((id, *layer.locations.get(&extent)?)))
    }

    /// The nodes that hold locations read through a layer and may still take writes to them, by the layer that they
    /// have not closed.
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

    /// Nodes that hold locations of a layer and have not closed it.
    fn nodes_not_closed<'a>(
        &'a self,
        id: LayerId,
        layer: &'a Layer,
    ) -> impl Iterator<Item = u32> + 'a {
        self.index
            .nodes(id)
            .filter(|node| !layer.closed_nodes.contains(node))
    }

    /// Every frozen layer with the nodes that still have to close it. Until they have, no extent can be copied from
    /// there.
    pub fn pending_closes(&self) -> impl Iterator<Item = (LayerId, u32)> + '_ {
        let frozen = self.layers.iter().filter(|(_, layer)| layer.frozen);
        frozen.flat_map(|(id, layer)| self.nodes_not_closed(*id, layer).map(|node| (*id, node)))
    }

    /// Extents below `extent_count` that are found at different locations through two layers.
    #[must_use]
    pub fn diff(&self, a: LayerId, b: LayerId, extent_count: u32) -> Vec<u32> {
        (0..extent_count)
            .filter(|extent| self.locate(a, *extent) != self.locate(b, *extent))
            .collect()
    }
}
