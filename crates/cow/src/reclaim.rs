//! Decides when unreachable locations may be released. A location is released only once no host acts any more on a
//! tree in which it is reachable, and every block I/O that a host has sent on the basis of such a tree is past its
//! deadline. Locations are released in small batches, so that nodes keep capacity for clients.
use crate::Millis;
use crate::leases::HostLeases;
use crate::tree::{ChangeEffects, LayerExtent, LayerId, Tree};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of releases in flight. A node takes some milliseconds to release this many extents.
pub const BATCH_SIZE: usize = 64;
/// Maximum number of queue entries that one call of [`Reclaimer::next_batch`] examines.
const MAX_SCANNED_ENTRIES: usize = BATCH_SIZE * 4;

/// An unreachable location. The version at which it became unreachable is not effective yet.
#[derive(Clone, Copy)]
struct Unreachable {
    version: u64,
    extent: LayerExtent,
}

/// An unreachable location. The version at which it became unreachable is effective, and the catalog has known so
/// since `effective_at`.
struct Ready {
    effective_at: Millis,
    version: u64,
    extent: LayerExtent,
}

/// The unreachable locations that are to be released. Each step examines only the locations that are due, however many
/// are pending.
#[derive(Default)]
pub struct Reclaimer {
    /// Version at which each location was last found to be unreachable. Only the queue entry with this version is
    /// valid: a location that was reachable again in the meantime has to wait again.
    unreachable_since: BTreeMap<LayerExtent, u64>,
    /// Locations whose version is not effective yet, in order of versions.
    waiting: VecDeque<Unreachable>,
    /// Locations whose version is effective, in order of the time since which it is.
    ready: VecDeque<Ready>,
    /// Locations whose release is in flight.
    in_flight: BTreeSet<LayerExtent>,
    /// Layers that may have no locations and no references any more.
    maybe_empty: BTreeSet<LayerId>,
}

impl Reclaimer {
    /// Returns a reclaimer of everything that is unreachable in a tree that has just been opened.
    #[must_use]
    pub fn from_tree(tree: &Tree) -> Reclaimer {
        let mut reclaimer = Reclaimer::default();
        for (layer, extents) in tree.unreachable_extents() {
            reclaimer.maybe_empty.insert(layer);
            for extent in extents {
                reclaimer.enqueue(tree.version, (layer, extent));
            }
        }
        reclaimer
    }

    fn enqueue(&mut self, version: u64, extent: LayerExtent) {
        self.unreachable_since.insert(extent, version);
        self.waiting.push_back(Unreachable { version, extent });
    }

    /// Records the locations that a change has made unreachable. `tree` is the tree after the change.
    pub fn record_change(&mut self, tree: &Tree, effects: &ChangeEffects) {
        for extent in tree.newly_unreachable(effects) {
            self.enqueue(tree.version, extent);
        }
        self.maybe_empty.extend(
            effects
                .layers
                .iter()
                .filter(|layer| tree.is_removable(**layer)),
        );
    }

    /// Returns the next batch of locations to release.
    ///
    /// `retained`: the frozen layers of cuts that are not granted yet. If they were not retained, the first write of
    /// an extent in the new head would hide the location that the cut needs, and the snapshot would lose it.
    /// `max_in_flight`: the longest time that a block I/O that was sent on the basis of an older tree can still take.
    pub fn next_batch(
        &mut self,
        tree: &Tree,
        retained: &BTreeSet<LayerId>,
        leases: &HostLeases,
        max_in_flight: Millis,
        now: Millis,
    ) -> Vec<LayerExtent> {
        self.promote_effective(leases, now);
        let mut batch = Vec::new();
        // A retained location goes to the back of the queue, and is not examined twice in one call.
        for _ in 0..self.ready.len().min(MAX_SCANNED_ENTRIES) {
            if self.in_flight.len() >= BATCH_SIZE {
                break;
            }
            let Some(entry) = self
                .ready
                .pop_front_if(|entry| now >= entry.effective_at + max_in_flight)
            else {
                break;
            };
            if let Some(extent) = self.release(tree, retained, &entry, now) {
                batch.push(extent);
            }
        }
        batch
    }

    /// Moves the locations whose version has become effective from `waiting` to `ready`.
    fn promote_effective(&mut self, leases: &HostLeases, now: Millis) {
        while let Some(entry) = self
            .waiting
            .pop_front_if(|entry| leases.is_effective(entry.version, now))
        {
            let Unreachable { version, extent } = entry;
            self.ready.push_back(Ready {
                effective_at: now,
                version,
                extent,
            });
        }
    }

    /// Returns the location of a queue entry, and marks its release as in flight, if it may be released now.
    fn release(
        &mut self,
        tree: &Tree,
        retained: &BTreeSet<LayerId>,
        entry: &Ready,
        now: Millis,
    ) -> Option<LayerExtent> {
        let Ready {
            version,
            extent: layer_extent,
            ..
        } = *entry;
        if self.unreachable_since.get(&layer_extent) != Some(&version) {
            return None;
        }
        let (layer, extent) = layer_extent;
        if !tree.is_unreachable(layer, extent, &BTreeSet::new()) {
            // The location is already released, or it is read by a snapshot that was granted in the meantime. Deleting
            // that snapshot enqueues the location again.
            self.unreachable_since.remove(&layer_extent);
            return None;
        }
        if !tree.is_unreachable(layer, extent, retained) {
            self.ready.push_back(Ready {
                effective_at: now,
                version,
                extent: layer_extent,
            });
            return None;
        }
        self.in_flight.insert(layer_extent).then_some(layer_extent)
    }

    /// Records that a node has released a location.
    pub fn release_completed(&mut self, extent: LayerExtent) {
        self.in_flight.remove(&extent);
        self.unreachable_since.remove(&extent);
    }

    /// Records that a node has not released a location, which is retried.
    pub fn release_failed(&mut self, extent: LayerExtent, now: Millis) {
        if self.in_flight.remove(&extent)
            && let Some(version) = self.unreachable_since.get(&extent)
        {
            self.ready.push_back(Ready {
                effective_at: now,
                version: *version,
                extent,
            });
        }
    }

    /// Returns the layers that have no locations and that nothing refers to, except retained layers.
    pub fn removable_layers(&mut self, tree: &Tree, retained: &BTreeSet<LayerId>) -> Vec<LayerId> {
        self.maybe_empty
            .retain(|layer| tree.layers.contains_key(layer) && !tree.is_referenced(*layer));
        let removable = |layer: &LayerId| tree.is_removable(*layer) && !retained.contains(layer);
        self.maybe_empty.iter().copied().filter(removable).collect()
    }

    /// Returns the number of unreachable locations that are not released yet.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.unreachable_since.len()
    }
}
