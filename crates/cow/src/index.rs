//! What follows from layers and names, kept beside them so that no step walks a million places.
use crate::tree::{Branch, Layer, LayerId, Snapshot};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that have come to nothing are not kept: two indexes of one tree are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    /// How many names each layer is read by.
    named: BTreeMap<LayerId, u32>,
    under: BTreeMap<LayerId, BTreeSet<LayerId>>,
    /// How many places of a layer each node holds.
    held: BTreeMap<LayerId, BTreeMap<u32, u32>>,
}

impl Index {
    pub(crate) fn of<'a>(
        layers: &BTreeMap<LayerId, Layer>,
        branches: impl Iterator<Item = &'a Branch>,
        snapshots: impl Iterator<Item = &'a Snapshot>,
    ) -> Index {
        let mut index = Index::default();
        branches.for_each(|b| index.name(b.head));
        snapshots.for_each(|s| index.name(s.layer));
        for (id, layer) in layers {
            index.made(*id, layer.parent);
            layer.places.values().for_each(|p| index.placed(*id, p.node));
        }
        index
    }

    pub(crate) fn name(&mut self, layer: LayerId) {
        *self.named.entry(layer).or_default() += 1;
    }

    pub(crate) fn unname(&mut self, layer: LayerId) {
        if let Some(count) = self.named.get_mut(&layer) {
            *count -= 1;
            if *count == 0 {
                self.named.remove(&layer);
            }
        }
    }

    pub(crate) fn is_named(&self, layer: LayerId) -> bool {
        self.named.contains_key(&layer)
    }

    pub(crate) fn made(&mut self, layer: LayerId, parent: Option<LayerId>) {
        if let Some(parent) = parent {
            self.under.entry(parent).or_default().insert(layer);
        }
    }

    /// A layer goes; those under it, which are returned, move up to its parent.
    pub(crate) fn gone(&mut self, layer: LayerId, parent: Option<LayerId>) -> BTreeSet<LayerId> {
        let moved = self.under.remove(&layer).unwrap_or_default();
        self.held.remove(&layer);
        if let Some(siblings) = parent.and_then(|p| self.under.get_mut(&p)) {
            siblings.remove(&layer);
            siblings.extend(&moved);
            if siblings.is_empty() {
                self.under.remove(&parent.expect("just seen"));
            }
        }
        moved
    }

    pub(crate) fn under(&self, layer: LayerId) -> impl Iterator<Item = LayerId> + '_ {
        self.under.get(&layer).into_iter().flatten().copied()
    }

    pub(crate) fn placed(&mut self, layer: LayerId, node: u32) {
        *self.held.entry(layer).or_default().entry(node).or_default() += 1;
    }

    pub(crate) fn freed(&mut self, layer: LayerId, node: u32) {
        let Some(nodes) = self.held.get_mut(&layer) else { return };
        if let Some(count) = nodes.get_mut(&node) {
            *count -= 1;
            if *count == 0 {
                nodes.remove(&node);
            }
        }
        if nodes.is_empty() {
            self.held.remove(&layer);
        }
    }

    /// Nodes that hold places of a layer.
    pub(crate) fn nodes(&self, layer: LayerId) -> impl Iterator<Item = u32> + '_ {
        self.held.get(&layer).into_iter().flat_map(|nodes| nodes.keys().copied())
    }
}
