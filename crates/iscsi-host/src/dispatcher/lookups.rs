//! Looks up where block I/Os of mapped volumes go, when they arrive and whenever the answer may have changed.
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
    /// Looks up the location of a block I/O that has just arrived. It waits behind one that waits for the
    /// same extent.
    pub(super) fn look_up(&mut self, scheduler: &mut Scheduler, id: BioId) {
        let (Some(mapped), Some(io)) = (&self.mapped, self.block_ios.get(id)) else {
            return;
        };
        let is_behind_another = mapped.is_behind_another(&WaitingIo::new(id, &io.data));
        if is_behind_another || !self.try_locate(scheduler, id) {
            self.wait_for_location(id);
        }
    }

    /// Puts a block I/O among those that wait for their location; the next lookup is due at once.
    pub(super) fn wait_for_location(&mut self, id: BioId) {
        if let (Some(mapped), Some(io)) = (&mut self.mapped, self.block_ios.get(id)) {
            mapped.insert_waiting(WaitingIo::new(id, &io.data));
            mapped.look_up_soon(self.now);
        }
    }

    /// Passes a block I/O to the scheduler if its location is known, or finishes it otherwise. False: it has
    /// to wait.
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

    /// Whether a location that was looked up, if there is one, is at a node of the configuration. The catalog
    /// could have another configuration.
    fn is_location_usable(&self, lookup: Lookup) -> bool {
        let (Lookup::Found(_, location)
        | Lookup::CopyFirst {
            from: Some((_, location)),
            ..
        }) = lookup
        else {
            return true;
        };
        let is_known = self.block_ios.bios().shard_of(location).is_some();
        if !is_known {
            let node = location.node;
            tracing::warn!(
                node,
                "snapshot catalog names a node that the configuration lacks"
            );
        }
        is_known
    }

    /// Fails a block I/O that the scheduler does not know of.
    fn fail_unsent(&mut self, id: BioId) {
        self.answer_not_completed(id, RequestOutcome::Failed);
        self.release(id);
    }

    /// The location of a block I/O is known. False: it has to wait, as far as cuts are concerned.
    fn on_located(
        &mut self,
        scheduler: &mut Scheduler,
        id: BioId,
        location: LayerLocation,
    ) -> bool {
        let is_write = self.block_ios.get(id).is_some_and(|io| io.data.is_write());
        if is_write && !self.may_write_to(id, location.layer) {
            // A write that was failed is released; else it waits.
            return self.block_ios.get(id).is_none();
        }
        if let Some(io) = self.block_ios.get_mut(id) {
            io.data.set_location(location);
        }
        self.pass_to_scheduler(scheduler, id);
        true
    }

    /// Starts the copy that a write needs first, if one may start now.
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

    /// Queues a step of a copy for the scheduler.
    fn queue_copy_step(&mut self, step: &CopyStep) {
        if let Some(mapped) = &mut self.mapped {
            let id = self.block_ios.insert_copy_step(step, self.now);
            mapped.queue_copy_step(id);
        }
    }

    /// A step of a copy has completed. `location`: where it read or wrote.
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

    /// Completes a read of an extent that was never written.
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

    /// Repeats the lookups of all that wait, when the catalog has sent something or the retry delay has
    /// passed. True if any of them waits no more, or a copy has started.
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
        let mut moved = false;
        for io in waiting {
            if self.end_waiting(io.id) {
                moved = true;
            } else if blocked.contains(&io.extent) || !self.try_locate(scheduler, io.id) {
                blocked.push(io.extent);
                self.insert_waiting(io);
            } else {
                moved = true;
            }
        }
        let mapped = self.mapped.as_ref();
        moved || mapped.is_some_and(MappedVolumes::has_queued_copy_steps)
    }

    fn insert_waiting(&mut self, io: WaitingIo) {
        if let Some(mapped) = &mut self.mapped {
            mapped.insert_waiting(io);
        }
    }

    /// Releases a block I/O that waits in vain: nobody waits for it any more, or it is past its latency
    /// objective and is answered at once. It was not sent, so a retry is harmless.
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

    /// A node has rejected a write, as its layer is closed: the locations of this write and of those queued
    /// for the same layer are looked up again.
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
