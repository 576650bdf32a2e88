//! Two slots for watches of the endpoint list.
//!
//! One slot holds the latest watch, the other its predecessor, which is read until the latest has delivered an event.
//! A host whose watch has become silent therefore always has an open request on which a recovered service can notify
//! it. A third watch replaces the oldest one.

/// Assignment of watches to the two slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSlots {
    latest: usize,
}

impl WatchSlots {
    /// Returns the slot for a new watch, which becomes the latest one. The caller closes a watch that still occupies
    /// the slot. `keep_latest`: the present latest watch is open and keeps its slot.
    pub fn next_slot(&mut self, keep_latest: bool) -> usize {
        if keep_latest {
            self.latest = 1 - self.latest;
        }
        self.latest
    }

    /// Returns whether a slot holds the latest watch, whose state decides whether the host has a working watch.
    #[must_use]
    pub fn is_latest(&self, slot: usize) -> bool {
        slot == self.latest
    }

    /// Returns the slot of the watch that is superseded when the watch in `slot` delivers an event. `None`: the watch
    /// in `slot` is not the latest one and supersedes nothing.
    #[must_use]
    pub fn superseded_by(&self, slot: usize) -> Option<usize> {
        self.is_latest(slot).then_some(1 - slot)
    }
}
