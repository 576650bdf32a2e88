//! The block I/Os in flight and their attempts.
use super::attempt_tags::{AttemptTags, MAX_BLOCK_IOS, block_io_of_tag};
use super::attempt_timeouts::AttemptTimeouts;
use super::bio_builder::BioBuilder;
use super::block_io::{Attempt, BlockIo};
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::io_classes::IoClass;
use super::part_ids::PartIds;
use super::parts_in_flight::PartsInFlight;
use super::volumes::Volume;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::LayerId;
use mallowseam_scheduler::interface::{AttemptResult, Bio, BioId, KeyId, NodeId, Tick};
use mallowseam_scheduler::may_have_run;
use mallowseam_scheduler_driver::{FinishedAttempt, InFlight, SchedulerDriver};
use mallowseam_settings::GatewayConfig;

/// A block I/O with its attempt in flight, if any.
pub(super) type InFlightIo = InFlight<BlockIo, Attempt>;

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) node: NodeId,
    /// Command of the block I/O; `None` for a copy step.
    pub(super) command: Option<CommandIndex>,
    /// Whether the block I/O is not idempotent and the attempt is known not to have run.
    pub(super) did_not_run: bool,
}

/// The block I/Os in flight, and their attempts.
pub(super) struct BlockIos {
    /// Table of the block I/Os, and the queue of reports to the scheduler.
    driver: SchedulerDriver<BlockIo, Attempt>,
    /// Sequence number of the last block I/O.
    last_sequence: u64,
    tags: AttemptTags,
    timeouts: AttemptTimeouts,
    bio_builder: BioBuilder,
}

impl BlockIos {
    /// Creates an empty table.
    pub(super) fn new(config: &GatewayConfig) -> Self {
        BlockIos {
            driver: SchedulerDriver::default(),
            last_sequence: 0,
            tags: AttemptTags::default(),
            timeouts: AttemptTimeouts::default(),
            bio_builder: BioBuilder::new(config),
        }
    }

    /// Returns the queued reports to the scheduler and its requests.
    pub(super) fn driver(&self) -> &SchedulerDriver<BlockIo, Attempt> {
        &self.driver
    }

    /// Returns the queued reports to the scheduler and its requests, for changes.
    pub(super) fn driver_mut(&mut self) -> &mut SchedulerDriver<BlockIo, Attempt> {
        &mut self.driver
    }

    /// Returns the number of block I/Os in flight.
    pub(super) fn len(&self) -> usize {
        self.driver.in_flight().len()
    }

    /// Returns whether `count` more block I/Os can be in flight.
    pub(super) fn has_capacity_for(&self, count: usize) -> bool {
        self.len() + count <= MAX_BLOCK_IOS
    }

    pub(super) fn get(&self, id: BioId) -> Option<&InFlightIo> {
        self.driver.in_flight().get(id)
    }

    pub(super) fn get_mut(&mut self, id: BioId) -> Option<&mut InFlightIo> {
        self.driver.in_flight_mut().get_mut(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlightIo> {
        self.driver.in_flight().iter().map(|(_, io)| io)
    }

    /// Adds the parts of a command. Returns their ids in order.
    pub(super) fn insert_parts(
        &mut self,
        command: CommandIndex,
        unit: &ExportedUnit,
        write: bool,
        parts: &[SubRequest],
        now: Tick,
    ) -> PartIds {
        let table = self.driver.in_flight_mut();
        let mut insert =
            |part: &SubRequest| table.insert(BlockIo::part(command, unit, write, *part, now));
        match parts {
            [part] => PartIds::One(insert(part)),
            parts => PartIds::Many(parts.iter().map(insert).collect()),
        }
    }

    /// Adds a copy step.
    pub(super) fn insert_copy_step(&mut self, step: &CopyStep, now: Tick) -> BioId {
        let io = BlockIo::copy_step(step, now);
        let id = self.driver.in_flight_mut().insert(io);
        self.assign_sequence(id);
        id
    }

    /// Assigns the next sequence number to a block I/O.
    pub(super) fn assign_sequence(&mut self, id: BioId) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if let Some(io) = self.get_mut(id) {
            io.data.set_sequence(sequence);
        }
    }

    /// Returns a part of a command, or `None` if the part is released.
    pub(super) fn part(&self, id: BioId, command: CommandIndex) -> Option<&InFlightIo> {
        self.get(id).filter(|io| io.data.command() == Some(command))
    }

    /// Returns a part of a command for changes, or `None` if the part is released.
    pub(super) fn part_mut(&mut self, id: BioId, command: CommandIndex) -> Option<&mut InFlightIo> {
        self.get_mut(id)
            .filter(|io| io.data.command() == Some(command))
    }

    /// Returns whether parts of a command are in flight, and whether any of them go to a layer other than
    /// `layer`. `ids`: all parts of the command, the released ones included.
    pub(super) fn parts_in_flight(
        &self,
        command: CommandIndex,
        ids: &[BioId],
        layer: LayerId,
    ) -> PartsInFlight {
        let parts = ids.iter().filter_map(|id| self.part(*id, command));
        // The scheduler may send a queued part at any moment.
        let in_flight = parts.filter(|part| part.data.is_scheduled() && !part.is_answered());
        let mut found = PartsInFlight::default();
        for part in in_flight {
            found.any = true;
            found.in_other_layer |= part.data.layer().is_some_and(|other| other != layer);
        }
        found
    }

    /// Removes a block I/O from the table.
    pub(super) fn remove(&mut self, id: BioId) -> Option<InFlightIo> {
        self.driver.in_flight_mut().release(id)
    }

    /// Marks a block I/O as passed to the scheduler. Returns its description.
    pub(super) fn schedule(&mut self, id: BioId, volume: &Volume) -> Option<Bio> {
        let io = &mut self.driver.in_flight_mut().get_mut(id)?.data;
        io.mark_scheduled();
        Some(self.bio_builder.build(id, io, volume))
    }

    /// Returns the builder of descriptions for the scheduler.
    pub(super) fn bio_builder(&self) -> &BioBuilder {
        &self.bio_builder
    }

    /// Releases an ordering key that the scheduler no longer refers to.
    pub(super) fn release_key(&mut self, key: KeyId) {
        self.bio_builder.release_key(key);
    }

    /// Returns the I/O class of a block I/O.
    pub(super) fn class(&self, io: &BlockIo) -> &IoClass {
        self.bio_builder.class(io)
    }

    /// Returns whether the latency objective of a block I/O has passed since its arrival.
    pub(super) fn is_past_latency_objective(&self, io: &BlockIo, now: Tick) -> bool {
        now >= io.arrived() + self.class(io).latency_objective()
    }

    /// Records an attempt as in flight. Returns its tag.
    pub(super) fn begin_attempt(
        &mut self,
        id: BioId,
        node: NodeId,
        now: Tick,
        timeout: Tick,
    ) -> u32 {
        let tag = self.tags.next(id);
        if let Some(io) = self.get_mut(id) {
            io.count_attempt();
            io.set_attempt(Attempt {
                node,
                tag,
                sent: now,
            });
        }
        self.timeouts.add(now + timeout.max(0), tag);
        tag
    }

    /// Queues the outcome of an attempt that the scheduler has requested but that cannot be sent.
    pub(super) fn attempt_not_sent(&mut self, id: BioId, node: NodeId) {
        if let Some(io) = self.get_mut(id) {
            io.count_attempt();
        }
        let latency = 0;
        let attempt = FinishedAttempt::new(id, node, AttemptResult::NotSent, latency);
        self.driver.queue_finished(attempt);
    }

    /// Returns the block I/O whose attempt in flight has a tag, or `None` if that attempt has ended.
    pub(super) fn in_flight_with_tag(&self, tag: u32) -> Option<BioId> {
        let id = block_io_of_tag(tag);
        let attempt = self.get(id)?.attempt()?;
        (attempt.tag == tag).then_some(id)
    }

    /// Returns the time of the next timeout of an attempt.
    pub(super) fn next_timeout(&self) -> Option<Tick> {
        self.timeouts.next_due()
    }

    /// Returns the next block I/O whose attempt in flight has timed out, and removes the timeout.
    pub(super) fn next_timed_out(&mut self, now: Tick) -> Option<BioId> {
        while let Some(tag) = self.timeouts.take_due(now) {
            let io = self.in_flight_with_tag(tag);
            if io.is_some() {
                return io;
            }
        }
        None
    }

    /// Removes the timeouts of attempts that have ended, if there are many.
    pub(super) fn remove_ended_timeouts(&mut self) {
        let table = self.driver.in_flight();
        let is_in_flight = |tag: u32| {
            let attempt = table.get(block_io_of_tag(tag)).and_then(InFlight::attempt);
            attempt.is_some_and(|attempt| attempt.tag == tag)
        };
        self.timeouts.remove_ended(table.len(), is_in_flight);
    }

    /// Ends the attempt in flight of a block I/O and queues its outcome for the scheduler. Returns `None` if no
    /// attempt is in flight.
    pub(super) fn end_attempt(
        &mut self,
        id: BioId,
        result: AttemptResult,
        now: Tick,
    ) -> Option<EndedAttempt> {
        let io = self.driver.in_flight().get(id)?;
        let Attempt { node, sent, .. } = *io.attempt()?;
        let did_not_run = !may_have_run(result);
        let ended = EndedAttempt {
            node,
            command: io.data.command(),
            did_not_run: did_not_run && self.class(&io.data).is_non_idempotent(),
        };
        let latency = now - sent;
        self.driver
            .queue_finished(FinishedAttempt::new(id, node, result, latency));
        Some(ended)
    }

    /// Withdraws the client writes that the scheduler has queued for a layer, so that they are looked up again.
    pub(super) fn relocate_queued_writes(&mut self, layer: Option<LayerId>) {
        for id in self.driver.in_flight().ids() {
            let is_queued_write = |io: &&mut InFlightIo| {
                let is_queued = io.data.is_scheduled() && io.attempt().is_none();
                let is_pending = !io.is_withdrawn() && !io.is_answered();
                let is_client_write = io.data.is_write() && io.data.command().is_some();
                io.data.layer() == layer && is_queued && is_pending && is_client_write
            };
            if let Some(io) = self.get_mut(id).filter(is_queued_write) {
                io.mark_withdrawn();
                self.driver.queue_withdrawal(id);
            }
        }
    }
}
