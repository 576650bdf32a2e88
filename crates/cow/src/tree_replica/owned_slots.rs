//! The slots that the catalog has allocated to a host, for the locations of its first writes.
use crate::tree::{LayerId, Tree};
use std::collections::BTreeMap;
use std::ops::Range;

/// Slots requested at once: some seconds of first writes, and little lost with a host that dies.
pub const SLOT_BATCH: u32 = 64;
/// With fewer slots left, more are requested.
const SLOTS_LOW_WATERMARK: usize = 16;

/// Slots that no attempt has used yet.
#[derive(Default)]
pub(super) struct OwnedSlots {
    /// Ranges by layer, none of them empty, the next to be used first.
    by_layer: BTreeMap<LayerId, Vec<Range<u32>>>,
}

impl OwnedSlots {
    /// Forgets all slots: they were allocated by another catalog.
    pub(super) fn clear(&mut self) {
        self.by_layer.clear();
    }

    /// Keeps the slots of the layers of a tree that take new locations.
    pub(super) fn retain_open_layers(&mut self, tree: &Tree) {
        self.by_layer
            .retain(|layer, _| tree.layers.get(layer).is_some_and(|layer| !layer.frozen));
    }

    /// Whether more slots of a layer are to be requested.
    pub(super) fn are_low(&self, layer: LayerId) -> bool {
        let ranges = self.by_layer.get(&layer).into_iter().flatten();
        let left: usize = ranges.map(ExactSizeIterator::len).sum();
        left < SLOTS_LOW_WATERMARK
    }

    /// Adds slots that were allocated. No layer has slots past the largest number, so that what a message names
    /// beyond it is left out.
    pub(super) fn add(&mut self, layer: LayerId, first: u32, count: u32) {
        let range = first..first.saturating_add(count);
        if !range.is_empty() {
            self.by_layer.entry(layer).or_default().push(range);
        }
    }

    /// The next slot of a layer.
    pub(super) fn take(&mut self, layer: LayerId) -> Option<u32> {
        let ranges = self.by_layer.get_mut(&layer)?;
        let range = ranges.first_mut()?;
        let slot = range.start;
        range.start += 1;
        if range.start == range.end {
            ranges.remove(0);
        }
        Some(slot)
    }
}
