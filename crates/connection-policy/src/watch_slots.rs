//! Two slots for watches of the endpoint list.
//!
//! One holds the latest watch, the other the one before it, which is read until the latest has delivered an
//! event. So a host whose watch has fallen silent always has a request open on which a service that recovers can
//! notify it. A third request takes the slot of the oldest.

/// Which of the two slots holds the latest watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSlots {
    latest: usize,
}

impl WatchSlots {
    /// The slot of the next request, which is the latest from now on; a watch that still has the slot is to be closed.
    /// `keep_latest`: the latest watch is open and keeps its slot.
    pub fn next_slot(&mut self, keep_latest: bool) -> usize {
        if keep_latest {
            self.latest = 1 - self.latest;
        }
        self.latest
    }

    /// Whether what happens to the watch in a slot decides whether the host has a watch.
    #[must_use]
    pub fn is_latest(&self, slot: usize) -> bool {
        slot == self.latest
    }

    /// The watch in a slot has delivered an event: the slot of the watch that it supersedes.
    #[must_use]
    pub fn superseded_by(&self, slot: usize) -> Option<usize> {
        self.is_latest(slot).then_some(1 - slot)
    }
}
