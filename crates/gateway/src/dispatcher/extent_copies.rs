//! Copy-on-write: an extent is copied to a new location before its first write in a layer.
use super::block_io::BlockIo;
use super::{BlockIoIndex, Dispatcher};
use crate::clock::ticks_to_millis;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::Millis;
use mallowseam_cow::copy_budget::FAILURE_MEMORY;
use mallowseam_cow::messages::ToCatalog;
use mallowseam_cow::tree::{LayerExtent, LayerId, Location};
use mallowseam_cow::tree_replica::RESEND_AFTER;
use mallowseam_iscsi::initiator::Payload;

/// An extent on its way to a new location.
pub(super) struct ExtentCopy {
    /// Index of the volume.
    volume: usize,
    /// Where it is copied from; none: it was never written, and reads as zeros.
    from: Option<(LayerId, Location)>,
    /// What has been read.
    pub(super) data: Payload,
    /// Slots for the attempts to write it, one each.
    pub(super) slots: Vec<u32>,
    pub(super) state: CopyState,
}

impl ExtentCopy {
    pub(super) fn is_writing(&self) -> bool {
        self.state == CopyState::Writing
    }

    fn has_failed(&self) -> bool {
        matches!(self.state, CopyState::Failed { .. })
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum CopyState {
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

impl Dispatcher {
    /// Whether a step of a copy writes.
    pub(super) fn writes_copy(&self, io: &BlockIo) -> bool {
        io.copy
            .and_then(|extent| self.copies.get(&extent))
            .is_some_and(ExtentCopy::is_writing)
    }

    /// Starts to copy an extent into a layer, unless a copy is in progress or the budget is used up.
    pub(super) fn start_copy(
        &mut self,
        extent: LayerExtent,
        volume: usize,
        from: Option<(LayerId, Location)>,
    ) {
        let now = ticks_to_millis(self.now);
        let Some(catalog) = &mut self.catalog else {
            return;
        };
        let is_retry = match self.copies.get(&extent).map(|copy| copy.state) {
            None => false,
            Some(CopyState::Failed { retry_at }) if now >= retry_at => true,
            Some(_) => return,
        };
        let in_flight = self
            .copies
            .values()
            .filter(|copy| !copy.has_failed())
            .count();
        if !self.copy_budget.may_start(in_flight, is_retry, now) {
            return;
        }
        let wanted = self.max_attempts as usize;
        let slots: Vec<u32> = std::iter::from_fn(|| catalog.replica.take_slot(extent.0))
            .take(wanted)
            .collect();
        if slots.len() < wanted {
            // These slots are lost, which costs nothing; more were requested.
            self.copies.remove(&extent);
            return;
        }
        let (state, data) = match from {
            Some(_) => (CopyState::Reading, Vec::new()),
            // One block is enough to have the node know the location: the others read as zeros anyway.
            None => (
                CopyState::Writing,
                vec![0; self.volumes[volume].block_size as usize],
            ),
        };
        self.copies.insert(
            extent,
            ExtentCopy {
                volume,
                from,
                data: data.into(),
                slots,
                state,
            },
        );
        self.start_copy_step(extent);
    }

    /// Queues the block I/O of a copy's present state.
    fn start_copy_step(&mut self, extent: LayerExtent) {
        let copy = &self.copies[&extent];
        let request = SubRequest {
            offset: 0,
            blocks: if copy.from.is_some() {
                self.extent_blocks as u32
            } else {
                1
            },
            shard: extent.1,
            node_lba: 0,
            class: self.copy_class as u16,
            ordering_key: None,
        };
        self.last_sequence += 1;
        let io = BlockIo {
            sequence: self.last_sequence,
            location: if copy.state == CopyState::Reading {
                copy.from
            } else {
                None
            },
            copy: Some(extent),
            ..BlockIo::new(copy.volume, request, self.now)
        };
        let index = self.block_ios.insert(io);
        self.arrivals.push_back(index);
    }

    /// A step of a copy has completed.
    pub(super) fn on_copy_step_completed(&mut self, index: BlockIoIndex, data: Vec<u8>) {
        let io = self.block_ios.get(index).expect("in flight");
        let (Some(extent), location) = (io.copy, io.location) else {
            return;
        };
        let Some(copy) = self.copies.get_mut(&extent) else {
            return;
        };
        match (copy.state, location) {
            (CopyState::Reading, _) => {
                copy.data = data.into();
                copy.state = CopyState::Writing;
                self.start_copy_step(extent);
            }
            (CopyState::Writing, Some((_, location))) => {
                let sent_at = ticks_to_millis(self.now);
                copy.state = CopyState::Proposed { location, sent_at };
                self.copy_budget.record_success();
                self.propose_location(extent, location);
            }
            _ => {}
        }
    }

    fn propose_location(&mut self, (layer, extent): LayerExtent, location: Location) {
        if let Some(catalog) = &mut self.catalog {
            catalog.send(&ToCatalog::ProposeLocation {
                layer,
                extent,
                location,
            });
        }
    }

    /// Forgets copies that the tree has settled, and proposes locations again that the catalog has not
    /// answered.
    pub(super) fn update_copies(&mut self) {
        let now = ticks_to_millis(self.now);
        let Some(tree) = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.replica.tree())
        else {
            return;
        };
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
                !is_settled(extent) && now < *retry_at + FAILURE_MEMORY
            }
            CopyState::Reading | CopyState::Writing => true,
        });
        for (extent, location) in unanswered {
            self.propose_location(extent, location);
        }
    }
}
