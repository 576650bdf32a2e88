//! An index that is derived from layers, branches and snapshots. It is maintained with every change, so that no step
//! has to visit a million locations.
use super::model::{Branch, Layer, LayerId, Snapshot};
use std::collections::{BTreeMap, BTreeSet};

/// Counts and links by layer. Entries that are zero or empty are removed, so that all indexes of one tree are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Index {
    /// Number of branches and snapshots that refer to each layer.
    references: BTreeMap<LayerId, u32>,
    children: BTreeMap<LayerId, BTreeSet<LayerId>>,
    /// Number of locations of each layer that each node holds.
    locations_by_node: BTreeMap<LayerId, BTreeMap<u32, u32>>,
}

impl Index {
    pub(super) fn build<'a>(
        layers: &BTreeMap<LayerId, Layer>,
        branches: impl Iterator<Item = &'a Branch>,
        snapshots: impl Iterator<Item = &'a Snapshot>,
    ) -> Index {
        let mut index = Index::default();
        branches.for_each(|branch| index.add_reference(branch.head));
        snapshots.for_each(|snapshot| index.add_reference(snapshot.layer));
        for (id, layer) in layers {
            index.add_layer(*id, layer.parent);
            layer
                .locations
                .values()
                .for_each(|location| index.add_location(*id, location.node));
        }
        index
    }

    pub(super) fn add_reference(&mut self, layer: LayerId) {
        *self.references.entry(layer).or_default() += 1;
    }

    pub(super) fn remove_reference(&mut self, layer: LayerId) {
        if let Some(count) = self.references.get_mut(&layer) {
            *count -= 1;
            if *count == 0 {
                self.references.remove(&layer);
            }
        }
    }

    pub(super) fn is_referenced(&self, layer: LayerId) -> bool {
        self.references.contains_key(&layer)
    }

    pub(super) fn add_layer(&mut self, layer: LayerId, parent: Option<LayerId>) {
        if let Some(parent) = parent {
            self.children.entry(parent).or_default().insert(layer);
        }
    }

    /// Removes a layer. Its children become children of its parent, and are returned.
    pub(super) fn remove_layer(
        &mut self,
        layer: LayerId,
        parent: Option<LayerId>,
    ) -> BTreeSet<LayerId> {
        let moved = self.children.remove(&layer).unwrap_or_default();
        self.locations_by_node.remove(&layer);
        if let Some(parent) = parent
            && let Some(siblings) = self.children.get_mut(&parent)
        {
            siblings.remove(&layer);
            siblings.extend(&moved);
            if siblings.is_empty() {
                self.children.remove(&parent);
            }
        }
        moved
    }

    pub(super) fn children(&self, layer: LayerId) -> impl Iterator<Item = LayerId> + '_ {
        self.children.get(&layer).into_iter().flatten().copied()
    }

    pub(super) fn add_location(&mut self, layer: LayerId, node: u32) {
        *self
            .locations_by_node
            .entry(layer)
            .or_default()
            .entry(node)
            .or_default() += 1;
    }

    pub(super) fn remove_location(&mut self, layer: LayerId, node: u32) {
        let Some(nodes) = self.locations_by_node.get_mut(&layer) else {
            return;
        };
        if let Some(count) = nodes.get_mut(&node) {
            *count -= 1;
            if *count == 0 {
                nodes.remove(&node);
            }
        }
        if nodes.is_empty() {
            self.locations_by_node.remove(&layer);
        }
    }

    /// Returns the nodes that hold locations of a layer.
    pub(super) fn nodes(&self, layer: LayerId) -> impl Iterator<Item = u32> + '_ {
        self.locations_by_node
            .get(&layer)
            .into_iter()
            .flat_map(|nodes| nodes.keys().copied())
    }
}
