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

/// Source of a copy.
#[derive(Clone, Copy)]
pub(super) struct CopySource {
    pub(super) volume: VolumeIndex,
    /// Block size of the volume, in bytes.
    pub(super) block_size: u32,
    /// Location that the extent is copied from; `None` if the extent was never written and reads as zeros.
    pub(super) from: Option<LayerLocation>,
}

/// Read or write of a copy, which is submitted as a block I/O.
pub(super) struct CopyStep {
    pub(super) extent: LayerExtent,
    pub(super) volume: VolumeIndex,
    pub(super) write: bool,
    /// Location that a read reads from. A write is assigned a location for each of its attempts.
    pub(super) read_from: Option<LayerLocation>,
    pub(super) request: SubRequest,
}

/// Action that follows the completion of a copy step.
pub(super) enum AfterStep {
    /// Start the write of the data that was read.
    Start(CopyStep),
    /// Propose the location of the copy to the catalog.
    Propose(Location),
    Nothing,
}

/// Slot and data of an attempt to write a copy.
pub(super) struct CopyWrite {
    /// Slot to write to. Each attempt has its own slot, so that a late write of an earlier attempt changes
    /// data that nobody reads.
    pub(super) slot: u32,
    pub(super) data: Payload,
}

/// Copy of an extent to a new location.
struct ExtentCopy {
    source: CopySource,
    /// Data that was read.
    data: Payload,
    /// Unused slots, one for each remaining attempt to write the copy.
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
    /// The location was proposed to the catalog, most recently at `sent_at`.
    Proposed {
        location: Location,
        sent_at: Millis,
    },
    /// The copy has failed and may be started again from `retry_at` on.
    Failed {
        retry_at: Millis,
    },
}

/// Copies in progress, and copies that failed recently.
pub(super) struct ExtentCopies {
    copies: BTreeMap<LayerExtent, ExtentCopy>,
    budget: CopyBudget,
    /// Index of the I/O class of copies.
    class: u16,
    /// Number of blocks of an extent.
    extent_blocks: u64,
    /// Maximum number of attempts of a write. Each attempt needs a slot.
    max_attempts: usize,
}

impl ExtentCopies {
    /// Creates an empty table.
    pub(super) fn new(catalog: &config::Catalog, max_attempts: u32) -> Self {
        ExtentCopies {
            copies: BTreeMap::new(),
            budget: CopyBudget::default(),
            class: catalog.copy_class as u16,
            extent_blocks: catalog.extent_blocks,
            max_attempts: max_attempts as usize,
        }
    }

    /// Returns the number of slots that a copy needs.
    pub(super) fn slots_needed(&self) -> usize {
        self.max_attempts
    }

    /// Returns whether a copy of an extent may start: no copy of it is in progress, and the budget admits one.
    /// The budget counts an admitted copy.
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

    /// Starts a copy that was admitted. Returns `None` if there are too few slots. These slots are discarded;
    /// the caller has requested more from the catalog.
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
            // Writing one block is enough to make the location known to the node. The other blocks read as
            // zeros anyway.
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

    /// Returns the read or write that the state of a copy calls for.
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

    /// Returns the slot and data for the next attempt to write a copy, or `None` if there is no such copy or no
    /// slot left.
    pub(super) fn next_write(&mut self, extent: LayerExtent) -> Option<CopyWrite> {
        let copy = self.copies.get_mut(&extent)?;
        let slot = copy.slots.pop()?;
        Some(CopyWrite {
            slot,
            data: copy.data.clone(),
        })
    }

    /// Records that a copy step has completed. `location`: location that the step read or wrote.
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

    /// Records that a copy step was given up, so that the copy has failed.
    pub(super) fn step_given_up(&mut self, extent: LayerExtent, now: Millis) {
        if let Some(copy) = self.copies.get_mut(&extent)
            && matches!(copy.state, CopyState::Reading | CopyState::Writing)
        {
            copy.state = CopyState::Failed {
                retry_at: now + RETRY_DELAY,
            };
        }
    }

    /// Removes copies whose extent is settled: the tree has a location for it, or its layer is frozen or
    /// deleted. Returns the locations to propose again, as the catalog has not answered.
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
