//! What a host has looked up so far, so that a read costs the same with a thousand snapshots as with none.
use crate::tree::{LayerId, Location, Tree};
use std::collections::{BTreeMap, HashMap};

/// Cached lookups over all heads and snapshots: some 100 MiB at most. Beyond that the cache is cleared.
const MAX_CACHED_LOOKUPS: usize = 1 << 21;

/// Where an extent was found: the layer, and its location there. None: it was never written.
type Found = Option<(LayerId, Location)>;

/// Extents that were looked up, by the layer through which they were read.
#[derive(Default)]
pub(super) struct LookupCache {
    by_head: BTreeMap<LayerId, HashMap<u32, Found>>,
    /// Lookups that were made since the cache was last cleared.
    count: usize,
}

impl LookupCache {
    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.by_head.clear();
        self.count = 0;
    }

    /// Forgets everything if there are too many entries to add one more.
    pub(super) fn clear_if_full(&mut self) {
        if self.count >= MAX_CACHED_LOOKUPS {
            self.clear();
        }
    }

    /// Where an extent is found through a head: as it was found before, or by the tree.
    pub(super) fn locate(&mut self, tree: &Tree, head: LayerId, extent: u32) -> Found {
        let lookups = self.by_head.entry(head).or_default();
        *lookups.entry(extent).or_insert_with(|| {
            self.count += 1;
            tree.locate(head, extent)
        })
    }

    /// A new head shows what the old one did.
    pub(super) fn head_replaced(&mut self, old: LayerId, new: LayerId) {
        if let Some(lookups) = self.by_head.remove(&old) {
            self.by_head.insert(new, lookups);
        }
    }

    /// Nothing is read through a head any more.
    pub(super) fn head_abandoned(&mut self, head: LayerId) {
        self.by_head.remove(&head);
    }

    /// An extent has a location in a head from now on.
    pub(super) fn extent_placed(&mut self, head: LayerId, extent: u32, location: Location) {
        if let Some(lookups) = self.by_head.get_mut(&head) {
            lookups.insert(extent, Some((head, location)));
        }
    }
}

#[cfg(test)]
mod tests;
