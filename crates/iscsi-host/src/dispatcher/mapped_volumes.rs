//! Mapped volumes: the location of a block I/O is looked up in the replica of the snapshot catalog's tree. A
//! block I/O whose location is unknown waits.
use super::block_io::BlockIo;
use super::extent_copies::{AfterStep, CopySource, CopyStep, CopyWrite, ExtentCopies};
use super::layer_location::LayerLocation;
use crate::catalog_client::{CatalogClient, CompletionDecision, QuiesceRequest};
use mallowseam_cow::Millis;
use mallowseam_cow::copy_budget::RETRY_DELAY;
use mallowseam_cow::messages::ToCatalog;
use mallowseam_cow::tree::{LayerExtent, LayerId, Location, Tree};
use mallowseam_cow::tree_replica::Lookup;
use mallowseam_scheduler::interface::{BioId, Tick};
use mallowseam_settings::config;
use mallowseam_sockets::clock::{ticks_from_micros_ceil, ticks_to_millis};
use std::collections::VecDeque;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// An extent of a logical unit.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct UnitExtent {
    lun: Option<u32>,
    /// Index of the extent in the unit.
    extent: u32,
}

impl UnitExtent {
    /// Returns the extent that a block I/O reads or writes.
    pub(super) fn of(io: &BlockIo) -> Self {
        UnitExtent {
            lun: io.lun(),
            extent: io.request().shard,
        }
    }
}

/// A block I/O that waits for its location.
#[derive(Clone, Copy)]
pub(super) struct WaitingIo {
    pub(super) id: BioId,
    sequence: u64,
    pub(super) extent: UnitExtent,
}

impl WaitingIo {
    pub(super) fn new(id: BioId, io: &BlockIo) -> Self {
        WaitingIo {
            id,
            sequence: io.sequence(),
            extent: UnitExtent::of(io),
        }
    }
}

/// State of the mapped volumes, and the block I/Os that wait for their location.
pub(super) struct MappedVolumes {
    catalog: CatalogClient,
    /// Number of blocks of an extent.
    extent_blocks: u64,
    /// Block I/Os that wait for their location, in order of arrival.
    waiting: Vec<WaitingIo>,
    /// Revision of the catalog client at the last lookup of waiting block I/Os.
    lookup_revision: u64,
    /// Latest time of the next lookup of waiting block I/Os. A message from the catalog causes an earlier one.
    next_lookup: Tick,
    copies: ExtentCopies,
    /// Copy steps that were not passed to the scheduler yet.
    queued_steps: VecDeque<BioId>,
}

impl MappedVolumes {
    /// Creates the state without waiting block I/Os or copies. `max_attempts`: maximum number of attempts of a
    /// block I/O.
    pub(super) fn new(
        catalog: CatalogClient,
        catalog_config: &config::Catalog,
        max_attempts: u32,
    ) -> Self {
        MappedVolumes {
            catalog,
            extent_blocks: catalog_config.extent_blocks,
            waiting: Vec::new(),
            lookup_revision: 0,
            next_lookup: 0,
            copies: ExtentCopies::new(catalog_config, max_attempts),
            queued_steps: VecDeque::new(),
        }
    }

    /// Returns the replica of the tree, if the host has one.
    pub(super) fn tree(&self) -> Option<&Tree> {
        self.catalog.tree()
    }

    /// Reads from the catalog. Returns whether there may be more to read in another turn.
    pub(super) fn read_catalog(&mut self, readable: bool, buffer: &mut [u8], now: Tick) -> bool {
        self.catalog
            .on_ready(readable, buffer, ticks_to_millis(now))
    }

    /// Connects to the catalog and renews the lease if that is due, and writes the queued messages.
    pub(super) fn on_timer(&mut self, now: Tick) {
        self.catalog.on_timer(ticks_to_millis(now));
    }

    /// Returns the first block of a location, as a block number in the layer's logical unit at the node.
    pub(super) fn first_block(&self, location: Location) -> u64 {
        u64::from(location.slot) * self.extent_blocks
    }

    /// Returns the time of the next lookup, or `None` if no block I/O waits and no layer is being quiesced.
    pub(super) fn next_lookup(&self) -> Option<Tick> {
        let is_needed = self.catalog.is_quiescing() || !self.waiting.is_empty();
        is_needed.then_some(self.next_lookup)
    }

    /// Makes the next lookup due now.
    pub(super) fn schedule_immediate_lookup(&mut self, now: Tick) {
        self.next_lookup = now;
    }

    /// Returns whether a block I/O that arrived earlier waits for the same extent.
    pub(super) fn is_behind_another(&self, io: &WaitingIo) -> bool {
        self.waiting
            .iter()
            .any(|other| other.extent == io.extent && other.sequence < io.sequence)
    }

    /// Adds a block I/O to those that wait for their location, in order of arrival.
    pub(super) fn insert_waiting(&mut self, io: WaitingIo) {
        let position = self
            .waiting
            .partition_point(|other| other.sequence < io.sequence);
        self.waiting.insert(position, io);
    }

    /// Takes all waiting block I/Os to repeat their lookups, if the catalog has sent a message or the retry
    /// delay has passed.
    pub(super) fn take_waiting_if_due(&mut self, now: Tick) -> Option<Vec<WaitingIo>> {
        let revision = self.catalog.revision();
        if self.lookup_revision == revision && now < self.next_lookup {
            return None;
        }
        self.lookup_revision = revision;
        self.next_lookup = now + ticks_from_micros_ceil(RETRY_DELAY * MICROS_PER_MILLI);
        Some(std::mem::take(&mut self.waiting))
    }

    /// Looks up where an extent of a branch or snapshot is read or written now. `name`: the branch or snapshot.
    pub(super) fn look_up(&mut self, name: &str, extent: u32, write: bool, now: Millis) -> Lookup {
        self.catalog.look_up(name, extent, write, now)
    }

    /// Returns whether a cut of a branch is pending.
    pub(super) fn has_pending_cut(&self, branch: &str, now: Millis) -> bool {
        self.catalog.has_pending_cut(branch, now)
    }

    /// Requests permission to complete a split write with parts in a layer.
    pub(super) fn request_completion(&mut self, layer: LayerId) {
        self.catalog.send(&ToCatalog::RequestCompletion { layer });
    }

    /// Takes the decisions of the catalog about split writes.
    pub(super) fn take_completion_decisions(&mut self) -> Vec<CompletionDecision> {
        self.catalog.take_completion_decisions()
    }

    /// Reports the requested layers without a split write in flight as quiesced.
    pub(super) fn report_quiesced(&mut self, has_split_write: impl Fn(&QuiesceRequest) -> bool) {
        self.catalog.report_quiesced(has_split_write);
    }

    /// Starts to copy an extent into a layer. Returns `None` if a copy is in progress, the budget is used up or
    /// there are too few slots.
    pub(super) fn start_copy(
        &mut self,
        extent: LayerExtent,
        source: CopySource,
        now: Millis,
    ) -> Option<CopyStep> {
        let (layer, _) = extent;
        self.catalog.request_slots(layer, now);
        if !self.copies.admits(extent, now) {
            return None;
        }
        let slots = self.catalog.take_slots(layer, self.copies.slots_needed());
        self.copies.start(extent, source, slots)
    }

    /// Queues a copy step for the scheduler.
    pub(super) fn queue_copy_step(&mut self, step: BioId) {
        self.queued_steps.push_back(step);
    }

    /// Takes the next copy step to be passed to the scheduler.
    pub(super) fn next_copy_step(&mut self) -> Option<BioId> {
        self.queued_steps.pop_front()
    }

    /// Returns whether there is a copy step that was not passed to the scheduler yet.
    pub(super) fn has_queued_copy_steps(&self) -> bool {
        !self.queued_steps.is_empty()
    }

    /// Returns the slot and data for the next attempt to write a copy.
    pub(super) fn next_copy_write(&mut self, extent: LayerExtent) -> Option<CopyWrite> {
        self.copies.next_write(extent)
    }

    /// Records that a copy step has completed. Returns the next step, or proposes the location of the copy to
    /// the catalog after the last one.
    pub(super) fn on_copy_step_completed(
        &mut self,
        extent: LayerExtent,
        location: Option<LayerLocation>,
        data: Vec<u8>,
        now: Millis,
    ) -> Option<CopyStep> {
        match self.copies.step_completed(extent, location, data, now) {
            AfterStep::Start(step) => Some(step),
            AfterStep::Propose(location) => {
                self.propose_location(extent, location);
                None
            }
            AfterStep::Nothing => None,
        }
    }

    /// Records that a copy step was given up.
    pub(super) fn on_copy_step_given_up(&mut self, extent: LayerExtent, now: Millis) {
        self.copies.step_given_up(extent, now);
    }

    /// Removes copies that the tree has settled, and proposes again the locations that the catalog has not
    /// answered.
    pub(super) fn update_copies(&mut self, now: Millis) {
        let Some(tree) = self.catalog.tree() else {
            return;
        };
        for (extent, location) in self.copies.update(tree, now) {
            self.propose_location(extent, location);
        }
    }

    fn propose_location(&mut self, (layer, extent): LayerExtent, location: Location) {
        self.catalog.send(&ToCatalog::ProposeLocation {
            layer,
            extent,
            location,
        });
    }
}
