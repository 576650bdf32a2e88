//! A host's replica of the tree, and where it sends a block I/O by that.
//!
//! - `lease`: whether the host may act on its replica.
//! - `lookup_cache`: what it has looked up so far.
//! - `owned_slots`: the slots that it may use for new locations.
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

/// An unanswered request is sent again after this many milliseconds: the catalog may have restarted.
pub const RESEND_AFTER: Millis = 500;

/// Where a block I/O goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// To this location.
    Found(LayerId, Location),
    /// A read of an extent that was never written: zeros.
    Zeros,
    /// A write whose extent has no location in the head yet: it has to be copied there first.
    CopyFirst {
        /// The head.
        into: LayerId,
        /// What is copied. None: the extent was never written.
        from: Option<(LayerId, Location)>,
    },
    /// Not yet: the location may not be written yet, or the source of the copy may still change.
    Blocked,
    /// The host has no lease, and so may not act on its replica.
    NoLease,
    /// No branch or snapshot has this name.
    UnknownName,
}

/// A full tree that is being received.
struct IncomingTree {
    catalog_id: u64,
    tree: Tree,
}

/// A host's replica of the tree, its lease, and the slots that it owns.
#[derive(Default)]
pub struct TreeReplica {
    tree: Option<Tree>,
    /// Id of the catalog that sent the tree. None: the replica contradicts what the catalog sends.
    catalog_id: Option<u64>,
    incoming: Option<IncomingTree>,
    lease: Lease,
    slots: OwnedSlots,
    lookups: LookupCache,
}

impl TreeReplica {
    /// Milliseconds between two attempts to connect to the catalog.
    pub const RECONNECT_INTERVAL: Millis = 200;

    /// The version of the replica; the host sends it to the catalog when a connection opens.
    #[must_use]
    pub fn tree_version(&self) -> Option<TreeVersion> {
        let tree = self.tree.as_ref()?;
        Some(TreeVersion {
            catalog_id: self.catalog_id.unwrap_or(NO_CATALOG),
            version: tree.version,
        })
    }

    /// A full tree begins to arrive, without locations.
    pub fn begin_full_tree(&mut self, catalog_id: u64, tree: Tree) {
        self.incoming = Some(IncomingTree { catalog_id, tree });
    }

    /// Locations of the tree that is arriving. False: they do not belong to it.
    #[must_use]
    pub fn add_locations(&mut self, layer: LayerId, locations: &[ExtentLocation]) -> bool {
        self.incoming
            .as_mut()
            .is_some_and(|incoming| incoming.tree.insert_locations(layer, locations))
    }

    /// The tree that was arriving is complete and is used from now on. False: none was arriving.
    #[must_use]
    pub fn finish_full_tree(&mut self) -> bool {
        let Some(IncomingTree { catalog_id, tree }) = self.incoming.take() else {
            return false;
        };
        if self.catalog_id != Some(catalog_id) {
            // The slots were allocated by another catalog, and are invalid at this one.
            self.slots.clear();
        }
        self.catalog_id = Some(catalog_id);
        self.replace_tree(tree);
        true
    }

    /// The replica contradicts what the catalog sends: the full tree is needed, whatever its version.
    pub fn invalidate(&mut self) {
        self.catalog_id = None;
        self.incoming = None;
    }

    /// Uses another tree from now on.
    pub fn replace_tree(&mut self, tree: Tree) {
        // Slots allocated before still belong to this host; those of frozen and removed layers are of no use.
        self.slots.retain_open_layers(&tree);
        self.lookups.clear();
        self.tree = Some(tree);
    }

    /// Applies one change. False: it does not follow what is known, so the full tree has to be requested.
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

    /// Version of the replica.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.tree.as_ref().map(|tree| tree.version)
    }

    /// The replica.
    #[must_use]
    pub fn tree(&self) -> Option<&Tree> {
        self.tree.as_ref()
    }

    /// Whether a renewal of the lease is to be sent now; it then counts as sent.
    #[must_use]
    pub fn renewal_due(&mut self, now: Millis) -> bool {
        self.tree.is_some() && self.lease.renewal_due(now)
    }

    /// A renewal that was sent at `sent_at` is granted for a duration from then on.
    pub fn lease_granted(&mut self, sent_at: Millis, duration: Millis) {
        self.lease.granted(sent_at, duration);
    }

    /// Whether the host may act on its replica.
    #[must_use]
    pub fn has_lease(&self, now: Millis) -> bool {
        self.tree.is_some() && self.lease.is_alive(now)
    }

    /// The connection to the catalog was lost: the replica may be used until the lease expires.
    pub fn connection_lost(&mut self) {
        self.lease.connection_lost();
        self.incoming = None;
    }

    /// Where an extent of a branch, or of a snapshot (`branch@name`), is read or written.
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

    /// Whether more slots of a layer are to be requested.
    #[must_use]
    pub fn needs_slots(&self, layer: LayerId) -> bool {
        self.slots.are_low(layer)
    }

    /// The catalog has allocated slots of a layer to this host.
    pub fn add_slots(&mut self, layer: LayerId, first: u32, count: u32) {
        self.slots.add(layer, first, count);
    }

    /// A slot of a layer that no attempt has used yet.
    pub fn take_slot(&mut self, layer: LayerId) -> Option<u32> {
        self.slots.take(layer)
    }
}

/// The head that a branch has until a change gives it another one or deletes the branch.
fn replaced_head(tree: &Tree, change: &Change) -> Option<LayerId> {
    match change {
        Change::HeadFrozen { branch }
        | Change::BranchRolledBack { branch, .. }
        | Change::BranchDeleted { branch } => tree.branches.get(branch).map(|branch| branch.head),
        _ => None,
    }
}

/// Updates the cached lookups after a change, which has led to `tree`.
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

/// The target of a write to an extent that was found in a layer, for a branch with this head.
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
        // Until every host reads the extent here, a write would be missed by one that reads it elsewhere.
        return if layer.writable.contains(&extent) {
            Lookup::Found(layer_id, location)
        } else {
            Lookup::Blocked
        };
    }
    // A copy taken before its node has closed the layer could miss a late write.
    if layer.closed_nodes.contains(&location.node) {
        Lookup::CopyFirst {
            into: head,
            from: Some((layer_id, location)),
        }
    } else {
        Lookup::Blocked
    }
}
