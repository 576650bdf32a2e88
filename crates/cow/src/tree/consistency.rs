//! Checks of a whole tree: for stores that were just opened, for `verify`, and for tests.
use super::index::Index;
use super::{Layer, LayerId, Snapshot, Tree};
use std::collections::BTreeSet;

/// A rule that a tree breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Inconsistency {
    /// The index differs from one that is built from the layers and names.
    #[error("the index does not match the layers")]
    StaleIndex,
    /// The parent is missing or takes writes.
    #[error("layer {0}: its parent is missing or not frozen")]
    InvalidParent(LayerId),
    /// Parents are created first, so that no layer can be its own ancestor.
    #[error("layer {0}: its parent is a later layer")]
    ParentIsLater(LayerId),
    /// A location with a slot that was not allocated.
    #[error("layer {layer} extent {extent}: its slot was never allocated")]
    SlotNotAllocated {
        /// The layer.
        layer: LayerId,
        /// The extent.
        extent: u32,
    },
    /// Two extents of a layer have the same location.
    #[error("layer {layer} extent {extent}: another extent has the same location")]
    SharedLocation {
        /// The layer.
        layer: LayerId,
        /// The extent.
        extent: u32,
    },
    /// The head of the branch is missing or frozen.
    #[error("branch {0}: its head is missing or frozen")]
    InvalidHead(String),
    /// The layer of the snapshot is missing or takes new locations.
    #[error("snapshot {0}: its layer is missing or not frozen")]
    SnapshotNotFrozen(String),
    /// A node that holds locations of the snapshot has not closed their layer.
    #[error("snapshot {0}: can still be written to")]
    SnapshotNotClosed(String),
}

impl Tree {
    /// The rules that the tree breaks; empty for a consistent tree.
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
            found.extend(self.check_granted(name, snapshot));
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

    fn check_granted(&self, name: &str, snapshot: &Snapshot) -> Option<Inconsistency> {
        if !self
            .layers
            .get(&snapshot.layer)
            .is_some_and(|layer| layer.frozen)
        {
            return Some(Inconsistency::SnapshotNotFrozen(name.to_owned()));
        }
        let closed = self.unclosed_nodes(snapshot.layer).is_empty();
        (!closed).then(|| Inconsistency::SnapshotNotClosed(name.to_owned()))
    }
}
