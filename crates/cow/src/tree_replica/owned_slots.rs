//! The slots that the catalog has allocated to a host, for the locations of its first writes.
use crate::tree::{LayerId, Tree};
use std::collections::BTreeMap;
use std::ops::Range;

/// Number of slots in one request: enough for some seconds of first writes, and few enough that little is lost with a
/// host that fails.
pub const SLOT_BATCH: u32 = 64;
/// Number of slots of a layer below which more are requested.
const SLOTS_LOW_WATERMARK: usize = 16;

/// The slots of a host that no attempt has used yet.
#[derive(Default)]
pub(super) struct OwnedSlots {
    /// Ranges of slots by layer, in the order in which they are used. No range is empty.
    by_layer: BTreeMap<LayerId, Vec<Range<u32>>>,
}

impl OwnedSlots {
    /// Removes all slots, for a host whose slots were allocated by another catalog.
    pub(super) fn clear(&mut self) {
        self.by_layer.clear();
    }

    /// Removes the slots of all layers but those of a tree that take new locations.
    pub(super) fn retain_open_layers(&mut self, tree: &Tree) {
        self.by_layer
            .retain(|layer, _| tree.layers.get(layer).is_some_and(|layer| !layer.frozen));
    }

    /// Returns whether so few slots of a layer are left that more are to be requested.
    pub(super) fn are_low(&self, layer: LayerId) -> bool {
        let ranges = self.by_layer.get(&layer).into_iter().flatten();
        let left: usize = ranges.map(ExactSizeIterator::len).sum();
        left < SLOTS_LOW_WATERMARK
    }

    /// Adds `count` slots of a layer, of which `first` is the first. No layer has slots beyond `u32::MAX`, so a range
    /// in a message is cut off there.
    pub(super) fn add(&mut self, layer: LayerId, first: u32, count: u32) {
        let range = first..first.saturating_add(count);
        if !range.is_empty() {
            self.by_layer.entry(layer).or_default().push(range);
        }
    }

    /// Takes the next slot of a layer, if one is left.
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
