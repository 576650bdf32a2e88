//! Mapped volumes: the location of a block I/O is looked up in the replica of the snapshot catalog's tree,
//! and waited for where it is not known.
use super::{BlockIoIndex, Dispatcher};
use crate::clock::{ticks_from_micros_ceil, ticks_to_millis};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_cow::copy_budget::RETRY_DELAY;
use mallowseam_cow::tree_replica::Lookup;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptResult, BioId, Tick};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

impl Dispatcher {
    /// When block I/Os that wait for their location are to be looked up again.
    pub(crate) fn next_lookup(&self) -> Option<Tick> {
        let quiescing = self
            .catalog
            .as_ref()
            .is_some_and(|catalog| !catalog.quiesce_requests.is_empty());
        (quiescing || !self.waiting.is_empty()).then_some(self.next_lookup)
    }

    /// Puts a block I/O among those that wait for their location, by the order in which they arrived.
    pub(super) fn wait_for_location(&mut self, index: BlockIoIndex) {
        self.insert_waiting(index);
        self.next_lookup = 0;
    }

    fn insert_waiting(&mut self, index: BlockIoIndex) {
        let sequence = self.block_ios.get(index).map_or(0, |io| io.sequence);
        let block_ios = &self.block_ios;
        let arrived_before = |other: &BlockIoIndex| {
            block_ios
                .get(*other)
                .is_some_and(|io| io.sequence < sequence)
        };
        let position = self.waiting.partition_point(arrived_before);
        self.waiting.insert(position, index);
    }

    /// Looks up the location of a block I/O that has just arrived. It waits behind one that waits for the
    /// same extent.
    pub(super) fn look_up(&mut self, scheduler: &mut Scheduler, index: BlockIoIndex) {
        let io = self.block_ios.get(index).expect("in flight");
        let is_ahead = |other: &BlockIoIndex| {
            self.block_ios.get(*other).is_some_and(|other| {
                other.lun == io.lun
                    && other.request.shard == io.request.shard
                    && other.sequence < io.sequence
            })
        };
        if self.waiting.iter().any(is_ahead) || !self.try_locate(scheduler, index) {
            self.wait_for_location(index);
        }
    }

    /// Passes a block I/O to the scheduler if its location is known, or finishes it otherwise. False: it has
    /// to wait.
    fn try_locate(&mut self, scheduler: &mut Scheduler, index: BlockIoIndex) -> bool {
        let io = self.block_ios.get(index).expect("in flight");
        let (write, extent, volume) = (self.is_write(io), io.request.shard, io.volume);
        let Some(catalog) = &mut self.catalog else {
            return false;
        };
        let now = ticks_to_millis(self.now);
        match catalog
            .replica
            .look_up(io.branch.as_deref().unwrap_or_default(), extent, write, now)
        {
            Lookup::Found(layer, location) => {
                if write && !self.may_write_to(index, layer, now) {
                    // A write that was failed is released; else it waits.
                    return self.block_ios.get(index).is_none();
                }
                self.block_ios.get_mut(index).expect("in flight").location =
                    Some((layer, location));
                self.pass_to_scheduler(scheduler, index);
                true
            }
            Lookup::Zeros => {
                self.complete_with_zeros(index);
                true
            }
            Lookup::CopyFirst { into, from } => {
                catalog.request_slots(into, now);
                self.start_copy((into, extent), volume, from);
                false
            }
            Lookup::Blocked | Lookup::NoLease => false,
            Lookup::UnknownName => {
                self.answer_not_completed(BioId(index), RequestOutcome::Failed);
                self.release(index);
                true
            }
        }
    }

    /// Completes a read of an extent that was never written.
    fn complete_with_zeros(&mut self, index: BlockIoIndex) {
        let io = self.block_ios.get_mut(index).expect("in flight");
        io.answered = true;
        let bytes = io.request.blocks as usize * self.volumes[io.volume].block_size as usize;
        self.metrics.classes[io.class()].counts.admitted += 1;
        self.on_completed(index, vec![0; bytes]);
        self.release(index);
    }

    /// Repeats the lookups of all that wait, when the catalog has sent something or the retry delay has
    /// passed. True if any of them waits no more, or a copy has started.
    pub(super) fn retry_lookups(&mut self, scheduler: &mut Scheduler) -> bool {
        let Some(catalog) = &self.catalog else {
            return false;
        };
        if self.lookup_revision == catalog.revision && self.now < self.next_lookup {
            return false;
        }
        self.lookup_revision = catalog.revision;
        self.next_lookup = self.now + ticks_from_micros_ceil(RETRY_DELAY * MICROS_PER_MILLI);
        self.update_copies();
        self.apply_cut_decisions();
        let mut blocked: Vec<(Option<u32>, u32)> = Vec::new();
        let mut moved = false;
        for index in std::mem::take(&mut self.waiting) {
            let Some(io) = self.block_ios.get(index) else {
                continue;
            };
            let unit_and_extent = (io.lun, io.request.shard);
            if io.answered {
                self.release(index);
                moved = true;
            } else if self.now >= io.arrived + self.classes[io.class()].latency_objective {
                // Past its latency objective it is answered at once. It was not sent, so a retry is harmless.
                self.answer_not_completed(BioId(index), RequestOutcome::Shed { retry_after: 0 });
                self.release(index);
                moved = true;
            } else if blocked.contains(&unit_and_extent) || !self.try_locate(scheduler, index) {
                blocked.push(unit_and_extent);
                self.insert_waiting(index);
            } else {
                moved = true;
            }
        }
        moved || !self.arrivals.is_empty()
    }

    /// A node has rejected a write, as its layer is closed: the locations of this write and of those queued
    /// for the same layer are looked up again.
    pub(super) fn on_closed_layer(&mut self, index: BlockIoIndex) {
        let io = self.block_ios.get_mut(index).expect("in flight");
        io.relocating = true;
        let layer = io.layer();
        self.finish_attempt(index, AttemptResult::NotSent);
        for other in self.block_ios.indices() {
            let Some(io) = self.block_ios.get(other) else {
                continue;
            };
            let queued =
                io.layer() == layer && io.scheduled && io.attempt.is_none() && !io.relocating;
            if queued && !io.answered && io.copy.is_none() && self.is_write(io) {
                self.block_ios.get_mut(other).expect("just seen").relocating = true;
                self.withdrawn.push_back(BioId(other));
            }
        }
    }
}
