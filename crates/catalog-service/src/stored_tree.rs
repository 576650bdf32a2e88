//! The tree on disk, with what is to be reclaimed of it.
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

/// An extent that nothing refers to any more, with where it is.
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
    /// The store cannot be opened or read, or its contents are damaged.
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

    /// The tree, with the changes that are not on disk yet.
    pub(crate) fn tree(&self) -> &Tree {
        self.catalog.tree()
    }

    /// Whether the tree has never been changed.
    pub(crate) fn is_new(&self) -> bool {
        self.tree().version == 0
    }

    /// Makes a change, which counts once the batch is on disk. Its version.
    ///
    /// # Errors
    /// The change does not fit the tree.
    pub(crate) fn propose(&mut self, change: Change) -> Result<u64, ChangeError> {
        let effects = self.catalog.stage(change)?;
        self.reclaimer.record_change(self.catalog.tree(), &effects);
        Ok(self.catalog.tree().version)
    }

    /// Whether there are changes that are not on disk yet.
    pub(crate) fn has_uncommitted_changes(&self) -> bool {
        self.catalog.committed_version() < self.tree().version
    }

    /// Puts all changes on disk, and returns them.
    ///
    /// # Errors
    /// The store has failed, and is of no further use: the service ends, hosts go on by their leases, and a new
    /// process reads what is on disk.
    pub(crate) fn commit(&mut self) -> Result<CommittedBatch, Error> {
        self.catalog.commit().map_err(Error::Store)
    }

    /// Sends a host what it lacks of the tree that is on disk: the changes since the version that it knows, if
    /// they are retained, else the full tree.
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

    /// The extents that nodes are to unmap now. `retained`: layers of pending cuts. `longest_write`: the longest
    /// time that a write of a host can take.
    pub(crate) fn next_unreachable(
        &mut self,
        retained: &BTreeSet<LayerId>,
        leases: &HostLeases,
        longest_write: Millis,
        now: Millis,
    ) -> Vec<UnreachableExtent> {
        let tree = self.catalog.tree();
        let batch = self
            .reclaimer
            .next_batch(tree, retained, leases, longest_write, now);
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

    /// Where an extent of a layer is, if the layer has it.
    pub(crate) fn location_of(&self, layer: LayerId, extent: u32) -> Option<Location> {
        location_of(self.tree(), layer, extent)
    }

    /// A node has unmapped an extent, which leaves the tree.
    pub(crate) fn on_unmapped(&mut self, layer: LayerId, extent: u32) {
        self.reclaimer.release_completed((layer, extent));
        self.remove_extents(layer, vec![extent]);
    }

    /// A node has not unmapped an extent: it is retried.
    pub(crate) fn on_unmap_failed(&mut self, layer: LayerId, extent: u32, now: Millis) {
        self.reclaimer.release_failed((layer, extent), now);
    }

    /// Removes layers without extents that nothing refers to.
    pub(crate) fn remove_empty_layers(&mut self, retained: &BTreeSet<LayerId>) {
        let removable = self
            .reclaimer
            .removable_layers(self.catalog.tree(), retained);
        for layer in removable {
            self.remove_extents(layer, Vec::new());
        }
    }

    /// Removes extents from a layer, and the layer if it is empty then.
    fn remove_extents(&mut self, layer: LayerId, extents: Vec<u32>) {
        // Rejected if the tree has changed in the meantime: then there is nothing left to do.
        let _ = self.propose(Change::ExtentsReclaimed { layer, extents });
    }
}

fn location_of(tree: &Tree, layer: LayerId, extent: u32) -> Option<Location> {
    tree.layers.get(&layer)?.locations.get(&extent).copied()
}
