//! Copy-on-write: an extent is copied to a new location before its first write in a layer.
#[cfg(test)]
mod tests;

use super::layer_location::LayerLocation;
use super::volumes::VolumeIndex;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::Millis;
use mallowseam_cow::copy_budget::{CopyBudget, FAILURE_RETENTION, RETRY_DELAY};
use mallowseam_cow::tree::{LayerExtent, Location, Tree};
use mallowseam_cow::tree_replica::RESEND_AFTER;
use mallowseam_iscsi::initiator::Payload;
use mallowseam_settings::config;
use std::collections::BTreeMap;

/// What is to be copied.
#[derive(Clone, Copy)]
pub(super) struct CopySource {
    pub(super) volume: VolumeIndex,
    /// Bytes of a block of the volume.
    pub(super) block_size: u32,
    /// Where the extent is copied from; none: it was never written, and reads as zeros.
    pub(super) from: Option<LayerLocation>,
}

/// A block I/O of a copy.
pub(super) struct CopyStep {
    pub(super) extent: LayerExtent,
    pub(super) volume: VolumeIndex,
    pub(super) write: bool,
    /// Where it reads. A write gets a location with each of its attempts.
    pub(super) read_from: Option<LayerLocation>,
    pub(super) request: SubRequest,
}

/// What follows when a step has completed.
pub(super) enum AfterStep {
    /// What was read is written next.
    Start(CopyStep),
    /// The location of the copy is proposed to the catalog.
    Propose(Location),
    Nothing,
}

/// What an attempt to write a copy sends.
pub(super) struct CopyWrite {
    /// Where it goes: each attempt has a location of its own, as one that lands late must land where nobody
    /// reads.
    pub(super) slot: u32,
    pub(super) data: Payload,
}

/// An extent on its way to a new location.
struct ExtentCopy {
    source: CopySource,
    /// What has been read.
    data: Payload,
    /// Slots for the attempts to write it, one each.
    slots: Vec<u32>,
    state: CopyState,
}

impl ExtentCopy {
    fn has_failed(&self) -> bool {
        matches!(self.state, CopyState::Failed { .. })
    }
}

#[derive(Clone, Copy, PartialEq)]
enum CopyState {
    Reading,
    Writing,
    /// Proposed to the catalog, last at that time.
    Proposed {
        location: Location,
        sent_at: Millis,
    },
    /// Failed; may be started again from that time on.
    Failed {
        retry_at: Millis,
    },
}

/// All copies in progress, and those that failed a short time ago.
pub(super) struct ExtentCopies {
    copies: BTreeMap<LayerExtent, ExtentCopy>,
    budget: CopyBudget,
    /// Index of the I/O class of copies.
    class: u16,
    /// Blocks of an extent.
    extent_blocks: u64,
    /// Attempts that a write may have, each with a slot.
    max_attempts: usize,
}

impl ExtentCopies {
    /// No copies.
    pub(super) fn new(catalog: &config::Catalog, max_attempts: u32) -> Self {
        ExtentCopies {
            copies: BTreeMap::new(),
            budget: CopyBudget::default(),
            class: catalog.copy_class as u16,
            extent_blocks: catalog.extent_blocks,
            max_attempts: max_attempts as usize,
        }
    }

    /// Slots that a copy needs.
    pub(super) fn slots_needed(&self) -> usize {
        self.max_attempts
    }

    /// Whether a copy of an extent may start: none is in progress, and the budget admits it. The budget then
    /// counts it.
    pub(super) fn admits(&mut self, extent: LayerExtent, now: Millis) -> bool {
        let is_retry = match self.copies.get(&extent).map(|copy| copy.state) {
            None => false,
            Some(CopyState::Failed { retry_at }) if now >= retry_at => true,
            Some(_) => return false,
        };
        let copies = self.copies.values();
        let in_flight = copies.filter(|copy| !copy.has_failed()).count();
        self.budget.may_start(in_flight, is_retry, now)
    }

    /// Starts a copy that was admitted. None: there are too few slots. They are lost, which costs nothing,
    /// and more were requested.
    pub(super) fn start(
        &mut self,
        extent: LayerExtent,
        source: CopySource,
        slots: Vec<u32>,
    ) -> Option<CopyStep> {
        if slots.len() < self.max_attempts {
            self.copies.remove(&extent);
            return None;
        }
        let (state, data) = match source.from {
            Some(_) => (CopyState::Reading, Vec::new()),
            // One block is enough to have the node know the location: the others read as zeros anyway.
            None => (CopyState::Writing, vec![0; source.block_size as usize]),
        };
        let copy = ExtentCopy {
            source,
            data: data.into(),
            slots,
            state,
        };
        let step = self.step(extent, &copy);
        self.copies.insert(extent, copy);
        Some(step)
    }

    /// The block I/O of a copy's present state.
    fn step(&self, (layer, extent): LayerExtent, copy: &ExtentCopy) -> CopyStep {
        let from = copy.source.from;
        let write = copy.state == CopyState::Writing;
        CopyStep {
            extent: (layer, extent),
            volume: copy.source.volume,
            write,
            read_from: from.filter(|_| !write),
            request: SubRequest {
                offset: 0,
                blocks: from.map_or(1, |_| self.extent_blocks as u32),
                shard: extent,
                node_lba: 0,
                class: self.class,
                ordering_key: None,
            },
        }
    }

    /// What the next attempt to write a copy sends; none: there is no such write.
    pub(super) fn next_write(&mut self, extent: LayerExtent) -> Option<CopyWrite> {
        let copy = self.copies.get_mut(&extent)?;
        let slot = copy.slots.pop()?;
        Some(CopyWrite {
            slot,
            data: copy.data.clone(),
        })
    }

    /// A step has completed. `location`: where it read or wrote.
    pub(super) fn step_completed(
        &mut self,
        extent: LayerExtent,
        location: Option<LayerLocation>,
        data: Vec<u8>,
        now: Millis,
    ) -> AfterStep {
        let Some(copy) = self.copies.get_mut(&extent) else {
            return AfterStep::Nothing;
        };
        match (copy.state, location) {
            (CopyState::Reading, _) => {
                copy.data = data.into();
                copy.state = CopyState::Writing;
                let copy = &self.copies[&extent];
                AfterStep::Start(self.step(extent, copy))
            }
            (CopyState::Writing, Some(LayerLocation { location, .. })) => {
                copy.state = CopyState::Proposed {
                    location,
                    sent_at: now,
                };
                self.budget.record_success();
                AfterStep::Propose(location)
            }
            _ => AfterStep::Nothing,
        }
    }

    /// A step was given up: the copy has failed.
    pub(super) fn step_given_up(&mut self, extent: LayerExtent, now: Millis) {
        if let Some(copy) = self.copies.get_mut(&extent)
            && matches!(copy.state, CopyState::Reading | CopyState::Writing)
        {
            copy.state = CopyState::Failed {
                retry_at: now + RETRY_DELAY,
            };
        }
    }

    /// Forgets copies that the tree has settled. Returns the locations that are to be proposed again, as the
    /// catalog has not answered.
    pub(super) fn update(&mut self, tree: &Tree, now: Millis) -> Vec<(LayerExtent, Location)> {
        let is_settled = |(layer, extent): &LayerExtent| {
            tree.layers
                .get(layer)
                .is_none_or(|layer| layer.frozen || layer.locations.contains_key(extent))
        };
        let mut unanswered = Vec::new();
        self.copies.retain(|extent, copy| match &mut copy.state {
            CopyState::Proposed { location, sent_at } => {
                let settled = is_settled(extent);
                if !settled && now >= *sent_at + RESEND_AFTER {
                    *sent_at = now;
                    unanswered.push((*extent, *location));
                }
                !settled
            }
            CopyState::Failed { retry_at } => {
                !is_settled(extent) && now < *retry_at + FAILURE_RETENTION
            }
            CopyState::Reading | CopyState::Writing => true,
        });
        unanswered
    }
}
