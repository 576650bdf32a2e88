//! Looks up the locations of block I/Os of mapped volumes, on arrival and whenever the result may have changed.
use super::Dispatcher;
use super::extent_copies::{CopySource, CopyStep};
use super::layer_location::LayerLocation;
use super::mapped_volumes::{MappedVolumes, UnitExtent, WaitingIo};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_cow::tree::{LayerExtent, LayerId, Location};
use mallowseam_cow::tree_replica::Lookup;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptResult, BioId};
use mallowseam_sockets::clock::ticks_to_millis;

impl Dispatcher {
    /// Looks up the location of a block I/O that has just arrived. The block I/O waits if an earlier one waits
    /// for the same extent.
    pub(super) fn look_up(&mut self, scheduler: &mut Scheduler, id: BioId) {
        let (Some(mapped), Some(io)) = (&self.mapped, self.block_ios.get(id)) else {
            return;
        };
        let is_behind_another = mapped.is_behind_another(&WaitingIo::new(id, &io.data));
        if is_behind_another || !self.try_locate(scheduler, id) {
            self.wait_for_location(id);
        }
    }

    /// Adds a block I/O to those that wait for their location, and schedules an immediate lookup.
    pub(super) fn wait_for_location(&mut self, id: BioId) {
        if let (Some(mapped), Some(io)) = (&mut self.mapped, self.block_ios.get(id)) {
            mapped.insert_waiting(WaitingIo::new(id, &io.data));
            mapped.schedule_immediate_lookup(self.now);
        }
    }

    /// Looks up the location of a block I/O, and passes the block I/O to the scheduler or finishes it. Returns
    /// false if the block I/O has to wait.
    fn try_locate(&mut self, scheduler: &mut Scheduler, id: BioId) -> bool {
        let (Some(mapped), Some(io)) = (&mut self.mapped, self.block_ios.get(id)) else {
            return false;
        };
        let now = ticks_to_millis(self.now);
        let extent = io.data.request().shard;
        let name = io.data.branch().unwrap_or_default();
        let lookup = mapped.look_up(name, extent, io.data.is_write(), now);
        if !self.is_location_usable(lookup) {
            self.fail_unsent(id);
            return true;
        }
        match lookup {
            Lookup::Found(layer, location) => {
                self.on_located(scheduler, id, LayerLocation { layer, location })
            }
            Lookup::Zeros => {
                self.complete_with_zeros(id);
                true
            }
            Lookup::CopyFirst { into, from } => {
                self.start_copy(id, (into, extent), from);
                false
            }
            Lookup::Blocked | Lookup::NoLease => false,
            Lookup::UnknownName => {
                self.fail_unsent(id);
                true
            }
        }
    }

    /// Returns whether the node of the location that a lookup returned, if any, is configured. The catalog may
    /// have been started with a different configuration.
    fn is_location_usable(&self, lookup: Lookup) -> bool {
        let (Lookup::Found(_, location)
        | Lookup::CopyFirst {
            from: Some((_, location)),
            ..
        }) = lookup
        else {
            return true;
        };
        let is_known = self.block_ios.bio_builder().shard_of(location).is_some();
        if !is_known {
            let node = location.node;
            tracing::warn!(
                node,
                "snapshot catalog names a node that the configuration lacks"
            );
        }
        is_known
    }

    /// Fails a block I/O that was not passed to the scheduler.
    fn fail_unsent(&mut self, id: BioId) {
        self.answer_not_completed(id, RequestOutcome::Failed);
        self.release(id);
    }

    /// Sets the location of a block I/O and passes the block I/O to the scheduler. Returns false if the block
    /// I/O has to wait because of a cut.
    fn on_located(
        &mut self,
        scheduler: &mut Scheduler,
        id: BioId,
        location: LayerLocation,
    ) -> bool {
        let is_write = self.block_ios.get(id).is_some_and(|io| io.data.is_write());
        if is_write && !self.may_write_to(id, location.layer) {
            // A write that must never be sent is failed and released by now; any other write waits.
            return self.block_ios.get(id).is_none();
        }
        if let Some(io) = self.block_ios.get_mut(id) {
            io.data.set_location(location);
        }
        self.pass_to_scheduler(scheduler, id);
        true
    }

    /// Starts the copy that a write needs first, if it may start now.
    fn start_copy(&mut self, id: BioId, extent: LayerExtent, from: Option<(LayerId, Location)>) {
        let (Some(mapped), Some(io)) = (&mut self.mapped, self.block_ios.get(id)) else {
            return;
        };
        let source = CopySource {
            volume: io.data.volume(),
            block_size: self.units.volume(io.data.volume()).block_size(),
            from: from.map(|(layer, location)| LayerLocation { layer, location }),
        };
        if let Some(step) = mapped.start_copy(extent, source, ticks_to_millis(self.now)) {
            self.queue_copy_step(&step);
        }
    }

    /// Queues a copy step for the scheduler.
    fn queue_copy_step(&mut self, step: &CopyStep) {
        if let Some(mapped) = &mut self.mapped {
            let id = self.block_ios.insert_copy_step(step, self.now);
            mapped.queue_copy_step(id);
        }
    }

    /// Handles the completion of a copy step. `location`: location that the step read or wrote.
    pub(super) fn on_copy_step_completed(
        &mut self,
        extent: LayerExtent,
        location: Option<LayerLocation>,
        data: Vec<u8>,
    ) {
        let now = ticks_to_millis(self.now);
        let Some(mapped) = &mut self.mapped else {
            return;
        };
        if let Some(step) = mapped.on_copy_step_completed(extent, location, data, now) {
            self.queue_copy_step(&step);
        }
    }

    /// Completes a read of an extent that was never written. The data of the read is zeros.
    fn complete_with_zeros(&mut self, id: BioId) {
        let Some(io) = self.block_ios.get_mut(id) else {
            return;
        };
        io.mark_answered();
        let volume = self.units.volume(io.data.volume());
        let bytes = volume.bytes(io.data.request().blocks) as usize;
        self.metrics.block_io_admitted(io.data.class());
        self.on_completed(id, vec![0; bytes]);
        self.release(id);
    }

    /// Repeats the lookups of all waiting block I/Os if the catalog has sent a message or the retry delay has
    /// passed. Returns whether any block I/O has stopped waiting or a copy has started.
    pub(super) fn retry_lookups(&mut self, scheduler: &mut Scheduler) -> bool {
        let now = self.now;
        let Some(mapped) = &mut self.mapped else {
            return false;
        };
        let Some(waiting) = mapped.take_waiting_if_due(now) else {
            return false;
        };
        mapped.update_copies(ticks_to_millis(now));
        self.apply_cut_decisions();
        let mut blocked: Vec<UnitExtent> = Vec::new();
        let mut has_progressed = false;
        for io in waiting {
            if self.end_waiting(io.id) {
                has_progressed = true;
            } else if blocked.contains(&io.extent) || !self.try_locate(scheduler, io.id) {
                blocked.push(io.extent);
                self.insert_waiting(io);
            } else {
                has_progressed = true;
            }
        }
        let mapped = self.mapped.as_ref();
        has_progressed || mapped.is_some_and(MappedVolumes::has_queued_copy_steps)
    }

    fn insert_waiting(&mut self, io: WaitingIo) {
        if let Some(mapped) = &mut self.mapped {
            mapped.insert_waiting(io);
        }
    }

    /// Releases a waiting block I/O whose command is already answered or abandoned, and sheds one that is past
    /// its latency objective. The block I/O was not sent, so a retry is harmless. Returns whether the block I/O
    /// was released.
    fn end_waiting(&mut self, id: BioId) -> bool {
        let Some(io) = self.block_ios.get(id) else {
            return true;
        };
        let is_answered = io.is_answered();
        if !is_answered && !self.block_ios.is_past_latency_objective(&io.data, self.now) {
            return false;
        }
        if !is_answered {
            self.answer_not_completed(id, RequestOutcome::Shed { retry_after: None });
        }
        self.release(id);
        true
    }

    /// Handles a write that a node rejected because its layer is closed to writes. The locations of this write
    /// and of the writes queued for the same layer are looked up again.
    pub(super) fn on_closed_layer(&mut self, id: BioId) {
        let Some(io) = self.block_ios.get_mut(id) else {
            return;
        };
        io.mark_withdrawn();
        let layer = io.data.layer();
        self.finish_attempt(id, AttemptResult::NotSent);
        self.block_ios.relocate_queued_writes(layer);
    }
}
