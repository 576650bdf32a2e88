//! Checks whether a change can be applied to a tree.
use super::{Change, ChangeError, FIRST_LAYER_ID, LAST_LAYER_ID, LayerId, Location, Tree};
use std::collections::BTreeSet;

/// Maximum length of the name of a branch or a snapshot, in characters.
const MAX_NAME_LENGTH: usize = 64;

fn check_name(name: &str) -> Result<(), ChangeError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(allowed) {
        return Err(ChangeError::InvalidName(name.to_owned()));
    }
    Ok(())
}

impl Tree {
    /// Checks whether a change can be applied to the tree.
    ///
    /// # Errors
    ///
    /// Returns why the change cannot be applied.
    pub fn check(&self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::BranchCreated { branch, .. } => self.check_new_branch(branch),
            Change::SlotsAllocated {
                layer,
                first,
                count,
            } => self.check_slots(*layer, *first, *count),
            Change::ExtentPlaced {
                layer,
                extent,
                location,
            } => self.check_placement(*layer, *extent, *location),
            Change::ExtentWritable { layer, extent } => self.check_writable(*layer, *extent),
            Change::HeadFrozen { branch } => {
                self.head(branch)?;
                self.check_layer_ids_left()
            }
            Change::LayerClosed { layer, .. } => self.check_frozen(*layer),
            Change::SnapshotCreated {
                branch,
                name,
                layer,
            } => self.check_snapshot(branch, name, *layer),
            Change::CloneCreated { snapshot, branch } => {
                self.snapshot(snapshot)?;
                self.check_new_branch(branch)
            }
            Change::BranchRolledBack { branch, snapshot } => self.check_rollback(branch, snapshot),
            Change::SnapshotDeleted { snapshot } => self.snapshot(snapshot).map(drop),
            Change::BranchDeleted { branch } => self.check_branch_deletion(branch),
            Change::ExtentsReclaimed { layer, extents } => self.check_reclaim(*layer, extents),
        }
    }

    /// Returns the location that an extent already has, for a change by which a host proposes another one. None: the
    /// change can be applied.
    ///
    /// # Errors
    ///
    /// Returns any other reason why the change cannot be applied.
    pub fn conflicting_location(&self, change: &Change) -> Result<Option<Location>, ChangeError> {
        match self.check(change) {
            Ok(()) => Ok(None),
            Err(ChangeError::AlreadyPlaced(first)) => Ok(Some(first)),
            Err(error) => Err(error),
        }
    }

    fn check_layer_ids_left(&self) -> Result<(), ChangeError> {
        if FIRST_LAYER_ID.saturating_add(self.layers_created) > LAST_LAYER_ID {
            return Err(ChangeError::LayerIdsExhausted);
        }
        Ok(())
    }

    fn check_new_branch(&self, name: &str) -> Result<(), ChangeError> {
        check_name(name)?;
        if self.branches.contains_key(name) {
            return Err(ChangeError::NameInUse(name.to_owned()));
        }
        self.check_layer_ids_left()
    }

    fn check_slots(&self, layer_id: LayerId, first: u32, count: u32) -> Result<(), ChangeError> {
        let layer = self.layer(layer_id)?;
        let end = first.checked_add(count);
        if layer.frozen || first != layer.next_slot || end.is_none() {
            return Err(ChangeError::LayerNotAccepting(layer_id));
        }
        Ok(())
    }

    fn check_placement(
        &self,
        layer_id: LayerId,
        extent: u32,
        location: Location,
    ) -> Result<(), ChangeError> {
        let layer = self.layer(layer_id)?;
        if let Some(first) = layer.locations.get(&extent) {
            return Err(ChangeError::AlreadyPlaced(*first));
        }
        let branch = self
            .branches
            .values()
            .find(|branch| branch.head == layer_id);
        let branch = branch.ok_or(ChangeError::LayerNotAccepting(layer_id))?;
        if extent >= branch.extent_count || location.slot >= layer.next_slot {
            return Err(ChangeError::OutOfRange);
        }
        // The source of the copy must not change any more: its node has to have closed the layer.
        if let Some((source, from)) = self.locate(layer_id, extent)
            && !self.layer(source)?.closed_nodes.contains(&from.node)
        {
            return Err(ChangeError::LayerNotAccepting(source));
        }
        Ok(())
    }

    fn check_writable(&self, layer_id: LayerId, extent: u32) -> Result<(), ChangeError> {
        let layer = self.layer(layer_id)?;
        if layer.locations.contains_key(&extent) && !layer.writable.contains(&extent) {
            Ok(())
        } else {
            Err(ChangeError::LayerNotAccepting(layer_id))
        }
    }

    fn check_frozen(&self, layer_id: LayerId) -> Result<(), ChangeError> {
        if self.layer(layer_id)?.frozen {
            Ok(())
        } else {
            Err(ChangeError::LayerNotAccepting(layer_id))
        }
    }

    fn check_snapshot(
        &self,
        branch: &str,
        name: &str,
        layer_id: LayerId,
    ) -> Result<(), ChangeError> {
        check_name(name)?;
        self.branch(branch)?;
        let full_name = format!("{branch}@{name}");
        if self.snapshots.contains_key(&full_name) {
            return Err(ChangeError::NameInUse(full_name));
        }
        if !self.layer(layer_id)?.frozen || !self.unclosed_nodes(layer_id).is_empty() {
            return Err(ChangeError::LayerNotAccepting(layer_id));
        }
        Ok(())
    }

    fn check_rollback(&self, branch: &str, snapshot: &str) -> Result<(), ChangeError> {
        self.head(branch)?;
        if self.snapshot(snapshot)?.branch != branch {
            return Err(ChangeError::NoSuchSnapshot(snapshot.to_owned()));
        }
        self.check_layer_ids_left()
    }

    fn check_branch_deletion(&self, branch: &str) -> Result<(), ChangeError> {
        self.head(branch)?;
        match self
            .snapshots
            .iter()
            .find(|(_, snapshot)| snapshot.branch == branch)
        {
            Some((name, _)) => Err(ChangeError::StillInUse(name.clone())),
            None => Ok(()),
        }
    }

    fn check_reclaim(&self, layer_id: LayerId, extents: &[u32]) -> Result<(), ChangeError> {
        self.layer(layer_id)?;
        let none_retained = BTreeSet::new();
        let is_allowed = if extents.is_empty() {
            self.is_removable(layer_id)
        } else {
            extents
                .iter()
                .all(|extent| self.is_unreachable(layer_id, *extent, &none_retained))
        };
        if is_allowed {
            Ok(())
        } else {
            Err(ChangeError::LayerNotAccepting(layer_id))
        }
    }
}
