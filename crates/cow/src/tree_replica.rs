//! A host's replica of the tree, by which the host decides where to send each block I/O.
//!
//! - `lease`: whether the host may act on its replica.
//! - `lookup_cache`: cached lookups of extents.
//! - `owned_slots`: the slots that the host may use for new locations.
mod lease;
mod lookup_cache;
mod owned_slots;

pub use owned_slots::SLOT_BATCH;

use crate::Millis;
use crate::messages::{NO_CATALOG, TreeVersion};
use crate::tree::{Change, ExtentLocation, LayerId, Location, Tree};
use lease::Lease;
use lookup_cache::LookupCache;
use owned_slots::OwnedSlots;

/// Time after which an unanswered request is sent again, in milliseconds: the catalog may have restarted.
pub const RESEND_AFTER: Millis = 500;

/// Result of looking up where a block I/O is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The block I/O goes to this location of the layer.
    Found(LayerId, Location),
    /// The block I/O is a read of an extent that was never written, which reads as zeros.
    Zeros,
    /// The block I/O is a write to an extent without a location in the head: the extent has to be copied there first.
    CopyFirst {
        /// Head layer into which the extent is copied.
        into: LayerId,
        /// Layer and location that are copied. None: the extent was never written.
        from: Option<(LayerId, Location)>,
    },
    /// The write has to wait: its location may not be written yet, or the source of its copy may still change.
    Blocked,
    /// The host has no lease, so it may not act on its replica.
    NoLease,
    /// No branch or snapshot has this name.
    UnknownName,
}

/// A full tree that is being received from a catalog.
struct IncomingTree {
    catalog_id: u64,
    tree: Tree,
}

/// A host's replica of the tree, its lease, and the slots that it owns.
#[derive(Default)]
pub struct TreeReplica {
    tree: Option<Tree>,
    /// Id of the catalog that sent the tree. None: the replica contradicts the messages of the catalog.
    catalog_id: Option<u64>,
    incoming: Option<IncomingTree>,
    lease: Lease,
    slots: OwnedSlots,
    lookups: LookupCache,
}

impl TreeReplica {
    /// Interval between two attempts to connect to the catalog, in milliseconds.
    pub const RECONNECT_INTERVAL: Millis = 200;

    /// Returns the catalog and version of the replica, which the host sends to the catalog when a connection opens.
    #[must_use]
    pub fn tree_version(&self) -> Option<TreeVersion> {
        let tree = self.tree.as_ref()?;
        Some(TreeVersion {
            catalog_id: self.catalog_id.unwrap_or(NO_CATALOG),
            version: tree.version,
        })
    }

    /// Begins to receive a full tree, which is still without locations.
    pub fn begin_full_tree(&mut self, catalog_id: u64, tree: Tree) {
        self.incoming = Some(IncomingTree { catalog_id, tree });
    }

    /// Adds locations to the tree that is being received. Returns false if they do not belong to that tree, or none is
    /// being received.
    #[must_use]
    pub fn add_locations(&mut self, layer: LayerId, locations: &[ExtentLocation]) -> bool {
        self.incoming
            .as_mut()
            .is_some_and(|incoming| incoming.tree.insert_locations(layer, locations))
    }

    /// Replaces the replica by the tree that was being received, which is complete. Returns false if none was being
    /// received.
    #[must_use]
    pub fn finish_full_tree(&mut self) -> bool {
        let Some(IncomingTree { catalog_id, tree }) = self.incoming.take() else {
            return false;
        };
        if self.catalog_id != Some(catalog_id) {
            // The slots were allocated by another catalog, and are not valid at this one.
            self.slots.clear();
        }
        self.catalog_id = Some(catalog_id);
        self.replace_tree(tree);
        true
    }

    /// Records that the replica contradicts the messages of the catalog. The full tree is needed, whatever its version.
    pub fn invalidate(&mut self) {
        self.catalog_id = None;
        self.incoming = None;
    }

    /// Replaces the replica by another tree.
    pub fn replace_tree(&mut self, tree: Tree) {
        // The host still owns the slots that were allocated to it; those of frozen and removed layers are of no use.
        self.slots.retain_open_layers(&tree);
        self.lookups.clear();
        self.tree = Some(tree);
    }

    /// Applies one change, or ignores it if the replica already includes it. Returns false if the change does not
    /// follow the version of the replica or does not fit its tree, so that the full tree has to be requested.
    #[must_use]
    pub fn apply_change(&mut self, version: u64, change: &Change) -> bool {
        let Some(tree) = &mut self.tree else {
            return false;
        };
        if version <= tree.version {
            return true;
        }
        let old_head = replaced_head(tree, change);
        if version != tree.version + 1 || tree.apply(change).is_err() {
            return false;
        }
        update_lookups(&mut self.lookups, tree, change, old_head);
        true
    }

    /// Returns the version of the replica, if there is one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.tree.as_ref().map(|tree| tree.version)
    }

    /// Returns the tree of the replica, if there is one.
    #[must_use]
    pub fn tree(&self) -> Option<&Tree> {
        self.tree.as_ref()
    }

    /// Returns whether a renewal of the lease is to be sent now. If so, records it as sent.
    #[must_use]
    pub fn renewal_due(&mut self, now: Millis) -> bool {
        self.tree.is_some() && self.lease.renewal_due(now)
    }

    /// Records that the catalog has granted the renewal that was sent at `sent_at`, for a duration from then on.
    pub fn lease_granted(&mut self, sent_at: Millis, duration: Millis) {
        self.lease.granted(sent_at, duration);
    }

    /// Returns whether the host may act on its replica now.
    #[must_use]
    pub fn has_lease(&self, now: Millis) -> bool {
        self.tree.is_some() && self.lease.is_alive(now)
    }

    /// Records that the connection to the catalog was lost. The host may act on its replica until the lease expires.
    pub fn connection_lost(&mut self) {
        self.lease.connection_lost();
        self.incoming = None;
    }

    /// Looks up where an extent of a branch, or of a snapshot (`branch@name`), is read or written.
    #[must_use]
    pub fn look_up(&mut self, name: &str, extent: u32, is_write: bool, now: Millis) -> Lookup {
        self.lookups.clear_if_full();
        let Some(tree) = self.tree.as_ref().filter(|_| self.lease.is_alive(now)) else {
            return Lookup::NoLease;
        };
        let Some(head) = tree.layer_read_by(name) else {
            return Lookup::UnknownName;
        };
        match self.lookups.locate(tree, head, extent) {
            None if !is_write => Lookup::Zeros,
            None => Lookup::CopyFirst {
                into: head,
                from: None,
            },
            Some((layer, location)) if !is_write => Lookup::Found(layer, location),
            Some((layer, location)) => write_target(tree, head, extent, layer, location),
        }
    }

    /// Returns whether more slots of a layer are to be requested.
    #[must_use]
    pub fn needs_slots(&self, layer: LayerId) -> bool {
        self.slots.are_low(layer)
    }

    /// Adds slots of a layer that the catalog has allocated to this host.
    pub fn add_slots(&mut self, layer: LayerId, first: u32, count: u32) {
        self.slots.add(layer, first, count);
    }

    /// Takes a slot of a layer that no attempt has used yet.
    pub fn take_slot(&mut self, layer: LayerId) -> Option<u32> {
        self.slots.take(layer)
    }
}

/// Returns the current head of the branch to which a change gives another head, or which it deletes.
fn replaced_head(tree: &Tree, change: &Change) -> Option<LayerId> {
    match change {
        Change::HeadFrozen { branch }
        | Change::BranchRolledBack { branch, .. }
        | Change::BranchDeleted { branch } => tree.branches.get(branch).map(|branch| branch.head),
        _ => None,
    }
}

/// Updates the cached lookups after a change. `tree` is the tree after the change.
fn update_lookups(
    lookups: &mut LookupCache,
    tree: &Tree,
    change: &Change,
    old_head: Option<LayerId>,
) {
    match change {
        Change::HeadFrozen { branch } => {
            if let Some(old) = old_head
                && let Some(branch) = tree.branches.get(branch)
            {
                lookups.head_replaced(old, branch.head);
            }
        }
        Change::ExtentPlaced {
            layer,
            extent,
            location,
        } => lookups.extent_placed(*layer, *extent, *location),
        Change::BranchRolledBack { .. } | Change::BranchDeleted { .. } => {
            if let Some(old) = old_head {
                lookups.head_abandoned(old);
            }
        }
        _ => {}
    }
}

/// Returns where to send a write to an extent that was found at `location` in the layer `layer_id`, for a branch with
/// the head `head`.
fn write_target(
    tree: &Tree,
    head: LayerId,
    extent: u32,
    layer_id: LayerId,
    location: Location,
) -> Lookup {
    let Some(layer) = tree.layers.get(&layer_id) else {
        return Lookup::Blocked;
    };
    if layer_id == head {
        // Until every host reads the extent at this location, a host that reads it elsewhere would miss the write.
        return if layer.writable.contains(&extent) {
            Lookup::Found(layer_id, location)
        } else {
            Lookup::Blocked
        };
    }
    // A copy that is read before the source's node has closed the layer could miss a late write.
    if layer.closed_nodes.contains(&location.node) {
        Lookup::CopyFirst {
            into: head,
            from: Some((layer_id, location)),
        }
    } else {
        Lookup::Blocked
    }
}
