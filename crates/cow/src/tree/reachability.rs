//! Determines which locations can be read through a branch or a snapshot, and which are unreachable.
use super::{ChangeEffects, LayerExtent, LayerId, Tree};
use std::collections::{BTreeMap, BTreeSet};

impl Tree {
    /// Returns whether a layer is the head of a branch or the layer of a snapshot.
    #[must_use]
    pub fn is_referenced(&self, layer: LayerId) -> bool {
        self.index.is_referenced(layer)
    }

    /// Returns whether a layer may be removed: it has no locations, and no branch or snapshot refers to it.
    #[must_use]
    pub fn is_removable(&self, layer_id: LayerId) -> bool {
        let is_empty = self
            .layers
            .get(&layer_id)
            .is_some_and(|layer| layer.locations.is_empty());
        is_empty && !self.is_referenced(layer_id)
    }

    /// Returns whether an extent has a location in a layer that no branch and no snapshot reads. `retained`: layers
    /// that may yet become snapshots, and are treated as such.
    #[must_use]
    pub fn is_unreachable(
        &self,
        layer: LayerId,
        extent: u32,
        retained: &BTreeSet<LayerId>,
    ) -> bool {
        let is_read = |id: LayerId| self.is_referenced(id) || retained.contains(&id);
        if !self.has_location(layer, extent) || is_read(layer) {
            return false;
        }
        let mut descendants: Vec<LayerId> = self.index.children(layer).collect();
        while let Some(id) = descendants.pop() {
            // The nearest location of an extent hides those of the ancestors.
            if self.has_location(id, extent) {
                continue;
            }
            if is_read(id) {
                return false;
            }
            descendants.extend(self.index.children(id));
        }
        true
    }

    fn has_location(&self, layer_id: LayerId, extent: u32) -> bool {
        self.layers
            .get(&layer_id)
            .is_some_and(|layer| layer.locations.contains_key(&extent))
    }

    /// Returns all extents with an unreachable location, by layer. A layer with an empty set has no locations and may
    /// be removed itself.
    #[must_use]
    pub fn unreachable_extents(&self) -> BTreeMap<LayerId, BTreeSet<u32>> {
        let none_retained = BTreeSet::new();
        let mut found = BTreeMap::new();
        for (id, layer) in self
            .layers
            .iter()
            .filter(|(id, _)| !self.is_referenced(**id))
        {
            let unreachable = layer.locations.keys().copied();
            let unreachable: BTreeSet<u32> = unreachable
                .filter(|extent| self.is_unreachable(*id, *extent, &none_retained))
                .collect();
            if !unreachable.is_empty() || layer.locations.is_empty() {
                found.insert(*id, unreachable);
            }
        }
        found
    }

    /// Returns the extents whose location a change has made unreachable.
    #[must_use]
    pub fn newly_unreachable(&self, effects: &ChangeEffects) -> Vec<LayerExtent> {
        let none_retained = BTreeSet::new();
        let mut found = Vec::new();
        if let Some((layer, extent)) = effects.placed
            && let Some(parent) = self.layers.get(&layer).and_then(|layer| layer.parent)
            && let Some((hidden, _)) = self.locate(parent, extent)
            && self.is_unreachable(hidden, extent, &none_retained)
        {
            found.push((hidden, extent));
        }
        if let Some(from) = effects.dereferenced {
            // Locations that are read through a referenced ancestor stay reachable through it.
            for (id, layer) in self
                .ancestors(from)
                .take_while(|(id, _)| !self.is_referenced(*id))
            {
                let extents = layer.locations.keys().copied();
                let unreachable =
                    extents.filter(|extent| self.is_unreachable(id, *extent, &none_retained));
                found.extend(unreachable.map(|extent| (id, extent)));
            }
        }
        found
    }
}
