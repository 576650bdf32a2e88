//! Applies changes to a tree.
use super::{
    Branch, Change, ChangeEffects, ChangeError, FIRST_LAYER_ID, Layer, LayerId, Location, Snapshot,
    Tree,
};

impl Tree {
    /// Applies a change and returns what it has affected.
    ///
    /// # Errors
    ///
    /// Returns why the change does not fit the tree, which is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<ChangeEffects, ChangeError> {
        self.check(change)?;
        self.version += 1;
        let mut effects = ChangeEffects::default();
        self.apply_checked(change, &mut effects);
        Ok(effects)
    }

    /// Applies a change that `check` has accepted. This function is longer than others, as it has one arm for each kind
    /// of change.
    fn apply_checked(&mut self, change: &Change, effects: &mut ChangeEffects) {
        match change {
            Change::BranchCreated {
                branch,
                extent_count,
            } => self.add_branch(branch, None, *extent_count, None, effects),
            Change::SlotsAllocated {
                layer,
                first,
                count,
            } => self.allocate_slots(*layer, first + count, effects),
            Change::ExtentPlaced {
                layer,
                extent,
                location,
            } => self.place_extent(*layer, *extent, *location, effects),
            Change::ExtentWritable { layer, extent } => {
                self.make_writable(*layer, *extent, effects);
            }
            Change::HeadFrozen { branch } => {
                let head = self.checked_head(branch);
                self.replace_head(branch, head, effects);
            }
            Change::LayerClosed { layer, node } => self.close_layer(*layer, *node, effects),
            Change::SnapshotCreated {
                branch,
                name,
                layer,
            } => self.add_snapshot(branch, name, *layer, effects),
            Change::CloneCreated { snapshot, branch } => {
                self.add_clone(snapshot, branch, effects);
            }
            Change::BranchRolledBack { branch, snapshot } => {
                let parent = self.checked_snapshot(snapshot).layer;
                let old_head = self.replace_head(branch, parent, effects);
                effects.dereferenced = Some(old_head);
            }
            Change::SnapshotDeleted { snapshot } => self.delete_snapshot(snapshot, effects),
            Change::BranchDeleted { branch } => self.delete_branch(branch, effects),
            Change::ExtentsReclaimed { layer, extents } => self.reclaim(*layer, extents, effects),
        }
    }

    /// Returns a layer that `check` has found.
    fn checked_layer(&mut self, id: LayerId) -> &mut Layer {
        self.layers.get_mut(&id).expect("check has found the layer")
    }

    /// Returns the head of a branch that `check` has found.
    fn checked_head(&self, branch: &str) -> LayerId {
        let branch = self.branches.get(branch);
        branch.expect("check has found the branch").head
    }

    /// Returns a snapshot that `check` has found.
    fn checked_snapshot(&self, name: &str) -> &Snapshot {
        let snapshot = self.snapshots.get(name);
        snapshot.expect("check has found the snapshot")
    }

    fn allocate_slots(&mut self, layer: LayerId, next_slot: u32, effects: &mut ChangeEffects) {
        self.checked_layer(layer).next_slot = next_slot;
        effects.layers.insert(layer);
    }

    fn place_extent(
        &mut self,
        layer: LayerId,
        extent: u32,
        location: Location,
        effects: &mut ChangeEffects,
    ) {
        self.checked_layer(layer).place(extent, location);
        self.index.add_location(layer, location.node);
        effects.locations.push((layer, extent));
        effects.placed = Some((layer, extent));
    }

    fn make_writable(&mut self, layer: LayerId, extent: u32, effects: &mut ChangeEffects) {
        self.checked_layer(layer).make_writable(extent);
        effects.locations.push((layer, extent));
    }

    fn close_layer(&mut self, layer: LayerId, node: u32, effects: &mut ChangeEffects) {
        self.checked_layer(layer).closed_nodes.insert(node);
        effects.layers.insert(layer);
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

    fn add_clone(&mut self, snapshot_name: &str, branch: &str, effects: &mut ChangeEffects) {
        let snapshot = self.checked_snapshot(snapshot_name);
        let layer = snapshot.layer;
        let extent_count = snapshot.extent_count;
        let origin = Some(snapshot_name.to_owned());
        self.add_branch(branch, Some(layer), extent_count, origin, effects);
    }

    fn add_snapshot(
        &mut self,
        branch: &str,
        name: &str,
        layer: LayerId,
        effects: &mut ChangeEffects,
    ) {
        let extent_count = self
            .branches
            .get(branch)
            .expect("check has found the branch")
            .extent_count;
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

    /// Gives a branch a new head with the parent `parent`, and freezes the old head. Returns the old head.
    fn replace_head(
        &mut self,
        branch: &str,
        parent: LayerId,
        effects: &mut ChangeEffects,
    ) -> LayerId {
        let head = self.add_layer(Some(parent), effects);
        self.index.add_reference(head);
        effects.branches.push(branch.to_owned());
        let branch = self
            .branches
            .get_mut(branch)
            .expect("check has found the branch");
        let old_head = std::mem::replace(&mut branch.head, head);
        self.freeze_head(old_head, effects);
        old_head
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
        for extent in extents {
            if let Some(location) = self.checked_layer(layer_id).release(*extent) {
                self.index.remove_location(layer_id, location.node);
            }
            effects.locations.push((layer_id, *extent));
        }
        if self.is_removable(layer_id) {
            self.remove_layer(layer_id, effects);
        }
    }

    /// Removes a layer; its children become children of its parent.
    fn remove_layer(&mut self, layer_id: LayerId, effects: &mut ChangeEffects) {
        let parent = self.layers.remove(&layer_id).and_then(|layer| layer.parent);
        effects.layers.insert(layer_id);
        for child in self.index.remove_layer(layer_id, parent) {
            self.layers
                .get_mut(&child)
                .expect("each child in the index is a layer of the tree")
                .parent = parent;
            effects.layers.insert(child);
        }
    }
}
