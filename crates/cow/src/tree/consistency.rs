//! Checks of a full tree: for stores that were just opened, for `verify`, and for tests.
use super::index::Index;
use super::{Layer, LayerId, Snapshot, Tree};
use std::collections::BTreeSet;

/// A rule that a tree breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Inconsistency {
    /// The index of the tree differs from an index that is built from its layers, branches and snapshots.
    #[error("index of the tree does not match its layers, branches and snapshots")]
    StaleIndex,
    /// The parent of the layer is missing or not frozen.
    #[error("parent of layer {0} is missing or not frozen")]
    InvalidParent(LayerId),
    /// The parent of the layer was created later than the layer. Parents are created first, so that no layer can be its
    /// own ancestor.
    #[error("parent of layer {0} was created later than the layer")]
    ParentIsLater(LayerId),
    /// The location of the extent has a slot that was never allocated.
    #[error("layer {layer} has extent {extent} in a slot that was never allocated")]
    SlotNotAllocated {
        /// Id of the layer.
        layer: LayerId,
        /// Index of the extent.
        extent: u32,
    },
    /// Two extents of a layer have the same location.
    #[error("layer {layer} has extent {extent} at the same location as another extent")]
    SharedLocation {
        /// Id of the layer.
        layer: LayerId,
        /// Index of the second of the two extents.
        extent: u32,
    },
    /// The head of the branch is missing or frozen.
    #[error("head layer of branch `{0}` is missing or frozen")]
    InvalidHead(String),
    /// The layer of the snapshot is missing or not frozen.
    #[error("layer of snapshot `{0}` is missing or not frozen")]
    SnapshotNotFrozen(String),
    /// A node that holds locations of the snapshot has not closed their layer to writes.
    #[error("snapshot `{0}` has locations whose node has not closed their layer to writes")]
    SnapshotNotClosed(String),
}

impl Tree {
    /// Returns the rules that the tree breaks, none for a consistent tree.
    #[must_use]
    pub fn inconsistencies(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        if self.index
            != Index::build(
                &self.layers,
                self.branches.values(),
                self.snapshots.values(),
            )
        {
            found.push(Inconsistency::StaleIndex);
        }
        for (id, layer) in &self.layers {
            self.check_layer(*id, layer, &mut found);
        }
        for (name, branch) in &self.branches {
            if self.layers.get(&branch.head).is_none_or(|head| head.frozen) {
                found.push(Inconsistency::InvalidHead(name.clone()));
            }
        }
        for (name, snapshot) in &self.snapshots {
            found.extend(self.check_snapshot_layers(name, snapshot));
        }
        found
    }

    fn check_layer(&self, id: LayerId, layer: &Layer, found: &mut Vec<Inconsistency>) {
        if let Some(parent) = layer.parent {
            if !self.layers.get(&parent).is_some_and(|parent| parent.frozen) {
                found.push(Inconsistency::InvalidParent(id));
            }
            if parent >= id {
                found.push(Inconsistency::ParentIsLater(id));
            }
        }
        let mut seen = BTreeSet::new();
        for (extent, location) in &layer.locations {
            if location.slot >= layer.next_slot {
                found.push(Inconsistency::SlotNotAllocated {
                    layer: id,
                    extent: *extent,
                });
            }
            if !seen.insert(location) {
                found.push(Inconsistency::SharedLocation {
                    layer: id,
                    extent: *extent,
                });
            }
        }
    }

    fn check_snapshot_layers(&self, name: &str, snapshot: &Snapshot) -> Option<Inconsistency> {
        if !self
            .layers
            .get(&snapshot.layer)
            .is_some_and(|layer| layer.frozen)
        {
            return Some(Inconsistency::SnapshotNotFrozen(name.to_owned()));
        }
        let is_closed = self.unclosed_nodes(snapshot.layer).is_empty();
        (!is_closed).then(|| Inconsistency::SnapshotNotClosed(name.to_owned()))
    }
}
