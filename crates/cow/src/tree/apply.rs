//! The tree after a change.
use super::{
    Branch, Change, ChangeEffects, ChangeError, FIRST_LAYER_ID, Layer, LayerId, Snapshot, Tree,
};

impl Tree {
    /// Applies a change and returns what it has affected.
    ///
    /// # Errors
    ///
    /// Why the change does not fit the tree, which is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<ChangeEffects, ChangeError> {
        self.check(change)?;
        self.version += 1;
        let mut effects = ChangeEffects::default();
        match change {
            Change::BranchCreated {
                branch,
                extent_count,
            } => {
                self.add_branch(branch, None, *extent_count, None, &mut effects);
            }
            Change::SlotsAllocated {
                layer,
                first,
                count,
            } => {
                self.checked_layer(*layer).next_slot = first + count;
                effects.layers.insert(*layer);
            }
            Change::ExtentPlaced {
                layer,
                extent,
                location,
            } => {
                self.checked_layer(*layer)
                    .locations
                    .insert(*extent, *location);
                self.index.add_location(*layer, location.node);
                effects.locations.push((*layer, *extent));
                effects.placed = Some((*layer, *extent));
            }
            Change::ExtentWritable { layer, extent } => {
                self.checked_layer(*layer).writable.insert(*extent);
                effects.locations.push((*layer, *extent));
            }
            Change::HeadFrozen { branch } => {
                let head = self.branches[branch].head;
                self.replace_head(branch, head, &mut effects);
            }
            Change::LayerClosed { layer, node } => {
                self.checked_layer(*layer).closed_nodes.insert(*node);
                effects.layers.insert(*layer);
            }
            Change::SnapshotCreated {
                branch,
                name,
                layer,
            } => {
                self.add_snapshot(branch, name, *layer, &mut effects);
            }
            Change::CloneCreated { snapshot, branch } => {
                let Snapshot {
                    layer,
                    extent_count,
                    ..
                } = self.snapshots[snapshot];
                self.add_branch(
                    branch,
                    Some(layer),
                    extent_count,
                    Some(snapshot.clone()),
                    &mut effects,
                );
            }
            Change::BranchRolledBack { branch, snapshot } => {
                let parent = self.snapshots[snapshot].layer;
                effects.dereferenced = self.replace_head(branch, parent, &mut effects);
            }
            Change::SnapshotDeleted { snapshot } => self.delete_snapshot(snapshot, &mut effects),
            Change::BranchDeleted { branch } => self.delete_branch(branch, &mut effects),
            Change::ExtentsReclaimed { layer, extents } => {
                self.reclaim(*layer, extents, &mut effects);
            }
        }
        Ok(effects)
    }

    /// A layer that `check` has found.
    fn checked_layer(&mut self, id: LayerId) -> &mut Layer {
        self.layers.get_mut(&id).expect("check has found the layer")
    }

    fn assign_lun(&mut self) -> u32 {
        self.luns_assigned += 1;
        FIRST_LAYER_ID + self.luns_assigned - 1
    }

    fn add_layer(&mut self, parent: Option<LayerId>, effects: &mut ChangeEffects) -> LayerId {
        let id = FIRST_LAYER_ID + self.layers_created;
        self.layers_created += 1;
        self.layers.insert(
            id,
            Layer {
                parent,
                ..Layer::default()
            },
        );
        self.index.add_layer(id, parent);
        effects.layers.insert(id);
        id
    }

    fn add_branch(
        &mut self,
        name: &str,
        parent: Option<LayerId>,
        extent_count: u32,
        origin: Option<String>,
        effects: &mut ChangeEffects,
    ) {
        let head = self.add_layer(parent, effects);
        self.index.add_reference(head);
        effects.branches.push(name.to_owned());
        let branch = Branch {
            head,
            lun: self.assign_lun(),
            extent_count,
            origin,
        };
        self.branches.insert(name.to_owned(), branch);
    }

    fn add_snapshot(
        &mut self,
        branch: &str,
        name: &str,
        layer: LayerId,
        effects: &mut ChangeEffects,
    ) {
        let extent_count = self.branches[branch].extent_count;
        let lun = self.assign_lun();
        let snapshot = Snapshot {
            branch: branch.to_owned(),
            lun,
            layer,
            extent_count,
        };
        self.index.add_reference(layer);
        let full_name = format!("{branch}@{name}");
        effects.snapshots.push(full_name.clone());
        self.snapshots.insert(full_name, snapshot);
    }

    /// Gives a branch a new head under a layer and freezes the old head, which is returned.
    fn replace_head(
        &mut self,
        branch: &str,
        parent: LayerId,
        effects: &mut ChangeEffects,
    ) -> Option<LayerId> {
        let head = self.add_layer(Some(parent), effects);
        self.index.add_reference(head);
        effects.branches.push(branch.to_owned());
        let old_head = std::mem::replace(&mut self.branches.get_mut(branch)?.head, head);
        self.freeze_head(old_head, effects);
        Some(old_head)
    }

    fn freeze_head(&mut self, head: LayerId, effects: &mut ChangeEffects) {
        self.checked_layer(head).frozen = true;
        self.index.remove_reference(head);
        effects.layers.insert(head);
    }

    fn delete_snapshot(&mut self, name: &str, effects: &mut ChangeEffects) {
        let layer = self
            .snapshots
            .remove(name)
            .expect("check has found the snapshot")
            .layer;
        self.index.remove_reference(layer);
        effects.layers.insert(layer);
        effects.snapshots.push(name.to_owned());
        effects.dereferenced = Some(layer);
    }

    fn delete_branch(&mut self, name: &str, effects: &mut ChangeEffects) {
        let head = self
            .branches
            .remove(name)
            .expect("check has found the branch")
            .head;
        self.freeze_head(head, effects);
        effects.branches.push(name.to_owned());
        effects.dereferenced = Some(head);
    }

    fn reclaim(&mut self, layer_id: LayerId, extents: &[u32], effects: &mut ChangeEffects) {
        let layer = self
            .layers
            .get_mut(&layer_id)
            .expect("check has found the layer");
        for extent in extents {
            if let Some(location) = layer.locations.remove(extent) {
                self.index.remove_location(layer_id, location.node);
            }
            layer.writable.remove(extent);
            effects.locations.push((layer_id, *extent));
        }
        if layer.locations.is_empty() && !self.index.is_referenced(layer_id) {
            self.remove_layer(layer_id, effects);
        }
    }

    /// Removes a layer; its children become those of its parent.
    fn remove_layer(&mut self, layer_id: LayerId, effects: &mut ChangeEffects) {
        let parent = self.layers.remove(&layer_id).and_then(|layer| layer.parent);
        effects.layers.insert(layer_id);
        for child in self.index.remove_layer(layer_id, parent) {
            self.layers
                .get_mut(&child)
                .expect("children are layers")
                .parent = parent;
            effects.layers.insert(child);
        }
    }
}
