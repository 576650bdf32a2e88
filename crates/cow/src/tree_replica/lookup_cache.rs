//! A cache of lookups, so that a read costs the same with a thousand snapshots as with none.
use crate::tree::{LayerId, Location, Tree};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of cached lookups over all heads and snapshots, which take some 100 MiB. A full cache is cleared.
const MAX_CACHED_LOOKUPS: usize = 1 << 21;

/// Layer and location at which an extent was found. None: the extent was never written.
type Found = Option<(LayerId, Location)>;

/// Results of lookups, by the layer through which the extents were read.
#[derive(Default)]
pub(super) struct LookupCache {
    by_head: BTreeMap<LayerId, HashMap<u32, Found>>,
    /// Number of lookups added since the cache was last cleared.
    count: usize,
}

impl LookupCache {
    /// Removes all lookups.
    pub(super) fn clear(&mut self) {
        self.by_head.clear();
        self.count = 0;
    }

    /// Removes all lookups if the cache has no room for one more.
    pub(super) fn clear_if_full(&mut self) {
        if self.count >= MAX_CACHED_LOOKUPS {
            self.clear();
        }
    }

    /// Returns where an extent is found through a head: the cached result, or else that of a lookup in the tree, which
    /// is then cached.
    pub(super) fn locate(&mut self, tree: &Tree, head: LayerId, extent: u32) -> Found {
        let lookups = self.by_head.entry(head).or_default();
        *lookups.entry(extent).or_insert_with(|| {
            self.count += 1;
            tree.locate(head, extent)
        })
    }

    /// Assigns the lookups of an old head to the new head, which shows the same data.
    pub(super) fn head_replaced(&mut self, old: LayerId, new: LayerId) {
        if let Some(lookups) = self.by_head.remove(&old) {
            self.by_head.insert(new, lookups);
        }
    }

    /// Removes the lookups of a head through which nothing is read any more.
    pub(super) fn head_abandoned(&mut self, head: LayerId) {
        self.by_head.remove(&head);
    }

    /// Records that an extent has a location in a head from now on.
    pub(super) fn extent_placed(&mut self, head: LayerId, extent: u32, location: Location) {
        if let Some(lookups) = self.by_head.get_mut(&head) {
            lookups.insert(extent, Some((head, location)));
        }
    }
}

#[cfg(test)]
mod tests;
