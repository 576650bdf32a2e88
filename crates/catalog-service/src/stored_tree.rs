//! The stored tree, with the extents and layers of it that are to be reclaimed.
use crate::error::Error;
use crate::subscription::Host;
use mallowseam_cow::Millis;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::messages::{ToHost, TreeVersion, full_tree_messages};
use mallowseam_cow::reclaim::Reclaimer;
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Location, Tree};
use mallowseam_snapshot_catalog::{Catalog, CommittedBatch};
use std::collections::BTreeSet;
use std::path::Path;

/// An extent that nothing refers to any more, with its location.
pub(crate) struct UnreachableExtent {
    pub(crate) layer: LayerId,
    pub(crate) extent: u32,
    pub(crate) location: Location,
}

/// The tree, its store, and the extents and layers to be reclaimed.
pub(crate) struct StoredTree {
    catalog: Catalog,
    reclaimer: Reclaimer,
}

impl StoredTree {
    /// Opens the store at a path, or creates it.
    ///
    /// # Errors
    /// Returns [`Error::OpenStore`] if the store cannot be opened or read, or its contents are damaged.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let catalog = Catalog::open(path).map_err(|source| Error::OpenStore {
            path: path.to_owned(),
            source,
        })?;
        Ok(StoredTree {
            reclaimer: Reclaimer::from_tree(catalog.tree()),
            catalog,
        })
    }

    /// Returns the tree, including changes that are not on disk yet.
    pub(crate) fn tree(&self) -> &Tree {
        self.catalog.tree()
    }

    /// Returns whether the tree has never been changed.
    pub(crate) fn is_new(&self) -> bool {
        self.tree().version == 0
    }

    /// Applies a change in memory; it is durable once the batch is committed. Returns the version of the tree after the
    /// change.
    ///
    /// # Errors
    /// Returns an error if the change does not fit the tree.
    pub(crate) fn propose(&mut self, change: Change) -> Result<u64, ChangeError> {
        let effects = self.catalog.stage(change)?;
        self.reclaimer.record_change(self.catalog.tree(), &effects);
        Ok(self.catalog.tree().version)
    }

    /// Returns whether there are changes that are not on disk yet.
    pub(crate) fn has_uncommitted_changes(&self) -> bool {
        self.catalog.committed_version() < self.tree().version
    }

    /// Commits all changes to disk, and returns them.
    ///
    /// # Errors
    /// Returns an error if the store has failed. The store cannot be used any more and the service ends: hosts may act
    /// until their leases expire, and a new process reads what is on disk.
    pub(crate) fn commit(&mut self) -> Result<CommittedBatch, Error> {
        self.catalog.commit().map_err(Error::Store)
    }

    /// Sends a host what it lacks of the tree on disk: the changes since the version of its replica if they are
    /// retained, or else the full tree.
    pub(crate) fn send_missing(&self, replica_version: Option<TreeVersion>, host: &mut Host) {
        let catalog_id = self.catalog.id();
        let missing = replica_version
            .filter(|replica| replica.catalog_id == catalog_id)
            .and_then(|replica| self.catalog.changes_since(replica.version));
        let Some(missing) = missing else {
            full_tree_messages(catalog_id, self.tree()).for_each(|part| host.send(&part));
            return;
        };
        for (version, change) in missing {
            let change = change.clone();
            host.send(&ToHost::TreeChanged { version, change });
        }
        host.send(&ToHost::CaughtUp);
    }

    /// Returns the extents that nodes are to unmap now. `retained`: the layers of pending cuts. `max_write_duration`:
    /// the longest time that a write of a host can take.
    pub(crate) fn next_unreachable(
        &mut self,
        retained: &BTreeSet<LayerId>,
        leases: &HostLeases,
        max_write_duration: Millis,
        now: Millis,
    ) -> Vec<UnreachableExtent> {
        let tree = self.catalog.tree();
        let batch = self
            .reclaimer
            .next_batch(tree, retained, leases, max_write_duration, now);
        batch
            .into_iter()
            .filter_map(|(layer, extent)| {
                let location = location_of(tree, layer, extent)?;
                Some(UnreachableExtent {
                    layer,
                    extent,
                    location,
                })
            })
            .collect()
    }

    /// Returns the location of an extent in a layer, if it has one there.
    pub(crate) fn location_of(&self, layer: LayerId, extent: u32) -> Option<Location> {
        location_of(self.tree(), layer, extent)
    }

    /// Removes an extent that a node has unmapped from the tree.
    pub(crate) fn on_unmapped(&mut self, layer: LayerId, extent: u32) {
        self.reclaimer.release_completed((layer, extent));
        self.remove_extents(layer, vec![extent]);
    }

    /// Records that a node has not unmapped an extent, so that it is retried.
    pub(crate) fn on_unmap_failed(&mut self, layer: LayerId, extent: u32, now: Millis) {
        self.reclaimer.release_failed((layer, extent), now);
    }

    /// Removes the layers that have no extents and that nothing refers to. `retained`: the layers of pending cuts,
    /// which are not removed.
    pub(crate) fn remove_empty_layers(&mut self, retained: &BTreeSet<LayerId>) {
        let removable = self
            .reclaimer
            .removable_layers(self.catalog.tree(), retained);
        for layer in removable {
            self.remove_extents(layer, Vec::new());
        }
    }

    /// Removes extents from a layer, and then the layer if it is empty and nothing refers to it.
    fn remove_extents(&mut self, layer: LayerId, extents: Vec<u32>) {
        // The change is rejected if the tree has changed in the meantime. Then nothing is left to do.
        let _ = self.propose(Change::ExtentsReclaimed { layer, extents });
    }
}

fn location_of(tree: &Tree, layer: LayerId, extent: u32) -> Option<Location> {
    tree.layers.get(&layer)?.locations.get(&extent).copied()
}
