//! A host's replica of the tree, and where it sends a block I/O by that.
use crate::Millis;
use crate::leases::LEASE_DURATION;
use crate::messages::TreeVersion;
use crate::tree::{Change, ExtentLocation, LayerId, Location, Tree};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// A host renews its lease when this many milliseconds of it are left: one renewal may be lost.
const RENEWAL_LEAD: Millis = LEASE_DURATION / 2;
/// An unanswered renewal is sent again after this many milliseconds.
const RENEWAL_RETRY: Millis = RENEWAL_LEAD / 2;
/// Slots requested at once: some seconds of first writes, and little lost with a host that dies.
pub const SLOT_BATCH: u32 = 64;
/// With fewer slots left, more are requested.
const SLOTS_LOW_WATERMARK: usize = 16;
/// Cached lookups over all heads and snapshots: some 100 MiB at most. Beyond that the cache is cleared.
const MAX_CACHED_LOOKUPS: usize = 1 << 21;
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
    catalog_id: u64,
    incoming: Option<IncomingTree>,
    lease_expires_at: Millis,
    renewal_sent_at: Option<Millis>,
    slots: BTreeMap<LayerId, Vec<Range<u32>>>,
    cached_lookups: usize,
    /// Extents looked up so far through heads of branches and snapshots, so that a read costs the same with
    /// a thousand snapshots as with none.
    lookups: BTreeMap<LayerId, HashMap<u32, Option<(LayerId, Location)>>>,
}

impl TreeReplica {
    /// Milliseconds between two attempts to connect to the catalog.
    pub const RECONNECT_INTERVAL: Millis = 200;

    /// The version of the replica; the host sends it to the catalog when a connection opens.
    #[must_use]
    pub fn known(&self) -> Option<TreeVersion> {
        let tree = self.tree.as_ref()?;
        Some(TreeVersion {
            catalog_id: self.catalog_id,
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
        if catalog_id != self.catalog_id {
            // The slots were allocated by another catalog, and are invalid at this one.
            self.slots.clear();
        }
        self.catalog_id = catalog_id;
        self.replace_tree(tree);
        true
    }

    /// The replica contradicts what the catalog sends: the full tree is needed, whatever its version.
    pub fn invalidate(&mut self) {
        self.catalog_id = 0;
        self.incoming = None;
    }

    /// Uses another tree from now on.
    pub fn replace_tree(&mut self, tree: Tree) {
        // Slots allocated before still belong to this host; those of frozen and removed layers are of no use.
        self.slots
            .retain(|layer, _| tree.layers.get(layer).is_some_and(|layer| !layer.frozen));
        self.clear_lookups();
        self.tree = Some(tree);
    }

    fn clear_lookups(&mut self) {
        self.lookups.clear();
        self.cached_lookups = 0;
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
        let old_head = match change {
            Change::HeadFrozen { branch }
            | Change::BranchRolledBack { branch, .. }
            | Change::BranchDeleted { branch } => {
                tree.branches.get(branch).map(|branch| branch.head)
            }
            _ => None,
        };
        if version != tree.version + 1 || tree.apply(change).is_err() {
            return false;
        }
        self.update_lookups(change, old_head);
        true
    }

    /// Updates the cached lookups after a change.
    fn update_lookups(&mut self, change: &Change, old_head: Option<LayerId>) {
        match change {
            // The new head shows what the old one did.
            Change::HeadFrozen { branch } => {
                let lookups = old_head.and_then(|head| self.lookups.remove(&head));
                let new_head = self
                    .tree
                    .as_ref()
                    .and_then(|tree| tree.branches.get(branch))
                    .map(|b| b.head);
                if let (Some(lookups), Some(head)) = (lookups, new_head) {
                    self.lookups.insert(head, lookups);
                }
            }
            Change::ExtentPlaced {
                layer,
                extent,
                location,
            } => {
                if let Some(lookups) = self.lookups.get_mut(layer) {
                    lookups.insert(*extent, Some((*layer, *location)));
                }
            }
            Change::BranchRolledBack { .. } | Change::BranchDeleted { .. } => {
                old_head.map(|head| self.lookups.remove(&head));
            }
            _ => {}
        }
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
        let due = self.tree.is_some()
            && now + RENEWAL_LEAD >= self.lease_expires_at
            && self
                .renewal_sent_at
                .is_none_or(|sent_at| now >= sent_at + RENEWAL_RETRY);
        if due {
            self.renewal_sent_at = Some(now);
        }
        due
    }

    /// A renewal that was sent at `sent_at` is granted for a duration from then on.
    pub fn lease_granted(&mut self, sent_at: Millis, duration: Millis) {
        self.lease_expires_at = self.lease_expires_at.max(sent_at + duration);
        self.renewal_sent_at = None;
    }

    /// Whether the host may act on its replica.
    #[must_use]
    pub fn has_lease(&self, now: Millis) -> bool {
        self.tree.is_some() && now < self.lease_expires_at
    }

    /// The connection to the catalog was lost: the replica may be used until the lease expires.
    pub fn connection_lost(&mut self) {
        self.renewal_sent_at = None;
        self.incoming = None;
    }

    /// Where an extent of a branch, or of a snapshot (`branch@name`), is read or written.
    #[must_use]
    pub fn look_up(&mut self, name: &str, extent: u32, is_write: bool, now: Millis) -> Lookup {
        if self.cached_lookups >= MAX_CACHED_LOOKUPS {
            self.clear_lookups();
        }
        let Some(tree) = self.tree.as_ref().filter(|_| now < self.lease_expires_at) else {
            return Lookup::NoLease;
        };
        let Some(head) = tree.layer_read_by(name) else {
            return Lookup::UnknownName;
        };
        let lookups = self.lookups.entry(head).or_default();
        let found = *lookups.entry(extent).or_insert_with(|| {
            self.cached_lookups += 1;
            tree.locate(head, extent)
        });
        match found {
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
        let ranges = self.slots.get(&layer);
        let left: usize = ranges.map_or(0, |ranges| {
            ranges.iter().map(|r| (r.end - r.start) as usize).sum()
        });
        left < SLOTS_LOW_WATERMARK
    }

    /// The catalog has allocated slots of a layer to this host.
    pub fn add_slots(&mut self, layer: LayerId, first: u32, count: u32) {
        self.slots
            .entry(layer)
            .or_default()
            .push(first..first + count);
    }

    /// A slot of a layer that no attempt has used yet.
    pub fn take_slot(&mut self, layer: LayerId) -> Option<u32> {
        let ranges = self.slots.get_mut(&layer)?;
        let range = ranges.first_mut()?;
        let slot = range.start;
        range.start += 1;
        if range.start == range.end {
            ranges.remove(0);
        }
        Some(slot)
    }
}

/// The target of a write to an extent that was found in a layer, for a branch with this head.
fn write_target(
    tree: &Tree,
    head: LayerId,
    extent: u32,
    layer: LayerId,
    location: Location,
) -> Lookup {
    if layer == head {
        // Until every host reads the extent here, a write would be missed by one that reads it elsewhere.
        let is_writable = tree.layers[&layer].writable.contains(&extent);
        return if is_writable {
            Lookup::Found(layer, location)
        } else {
            Lookup::Blocked
        };
    }
    // A copy taken before its node has closed the layer could miss a late write.
    let is_closed = tree.layers[&layer].closed_nodes.contains(&location.node);
    if is_closed {
        Lookup::CopyFirst {
            into: head,
            from: Some((layer, location)),
        }
    } else {
        Lookup::Blocked
    }
}
