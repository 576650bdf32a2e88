//! The block I/Os in flight and their attempts.
use super::attempt_tags::{AttemptTags, MAX_BLOCK_IOS, block_io_of_tag};
use super::attempt_timeouts::AttemptTimeouts;
use super::bio_builder::BioBuilder;
use super::block_io::{Attempt, BlockIo};
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::io_classes::IoClass;
use super::parts_in_flight::PartsInFlight;
use super::volumes::Volume;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::LayerId;
use mallowseam_scheduler::interface::{AttemptResult, Bio, BioId, KeyId, NodeId, Tick};
use mallowseam_scheduler_driver::{FinishedAttempt, InFlight, SchedulerDriver};
use mallowseam_settings::GatewayConfig;

/// A block I/O with its attempt in flight.
pub(super) type InFlightIo = InFlight<BlockIo, Attempt>;

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) node: NodeId,
    /// The command that its block I/O is a part of.
    pub(super) command: Option<CommandIndex>,
    /// The block I/O may not run twice, and this attempt is known not to have run.
    pub(super) did_not_run: bool,
}

/// All block I/Os in flight.
pub(super) struct BlockIos {
    /// The block I/Os, and what the scheduler is to be told of them.
    driver: SchedulerDriver<BlockIo, Attempt>,
    /// The sequence number of the last block I/O.
    last_sequence: u64,
    tags: AttemptTags,
    timeouts: AttemptTimeouts,
    bios: BioBuilder,
}

impl BlockIos {
    /// Nothing is in flight.
    pub(super) fn new(config: &GatewayConfig) -> Self {
        BlockIos {
            driver: SchedulerDriver::default(),
            last_sequence: 0,
            tags: AttemptTags::default(),
            timeouts: AttemptTimeouts::default(),
            bios: BioBuilder::new(config),
        }
    }

    /// What the scheduler is to be told, and what it has requested.
    pub(super) fn driver(&self) -> &SchedulerDriver<BlockIo, Attempt> {
        &self.driver
    }

    /// What the scheduler is to be told, and what it has requested.
    pub(super) fn driver_mut(&mut self) -> &mut SchedulerDriver<BlockIo, Attempt> {
        &mut self.driver
    }

    /// How many are in flight.
    pub(super) fn len(&self) -> usize {
        self.driver.in_flight().len()
    }

    /// Whether so many more can be in flight.
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

    /// Adds the parts of a command, linked in their order. Returns the first.
    pub(super) fn insert_parts(
        &mut self,
        command: CommandIndex,
        unit: &ExportedUnit,
        write: bool,
        parts: &[SubRequest],
        now: Tick,
    ) -> Option<BioId> {
        let table = self.driver.in_flight_mut();
        let mut first = None;
        for part in parts.iter().rev() {
            let io = BlockIo::part(command, first, unit, write, *part, now);
            first = Some(table.insert(io));
        }
        first
    }

    /// Adds a step of a copy.
    pub(super) fn insert_copy_step(&mut self, step: &CopyStep, now: Tick) -> BioId {
        let io = BlockIo::copy_step(step, now);
        let id = self.driver.in_flight_mut().insert(io);
        self.assign_sequence(id);
        id
    }

    /// Numbers a block I/O in the order of arrival.
    pub(super) fn assign_sequence(&mut self, id: BioId) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if let Some(io) = self.get_mut(id) {
            io.data.set_sequence(sequence);
        }
    }

    /// A part of a command; none: it is released.
    pub(super) fn part(&self, id: BioId, command: CommandIndex) -> Option<&InFlightIo> {
        self.get(id).filter(|io| io.data.command() == Some(command))
    }

    /// A part of a command; none: it is released.
    pub(super) fn part_mut(&mut self, id: BioId, command: CommandIndex) -> Option<&mut InFlightIo> {
        self.get_mut(id)
            .filter(|io| io.data.command() == Some(command))
    }

    /// Which parts of a command are in flight, from its first up to one that is released. `layer`: what is
    /// in flight to any other is told apart.
    pub(super) fn parts_in_flight(
        &self,
        command: CommandIndex,
        first: Option<BioId>,
        layer: LayerId,
    ) -> PartsInFlight {
        let first = first.and_then(|id| self.part(id, command));
        let parts = std::iter::successors(first, |part| {
            part.data.next().and_then(|id| self.part(id, command))
        });
        // What the scheduler has queued may be sent at any moment.
        let in_flight = parts.filter(|part| part.data.is_scheduled() && !part.is_answered());
        let mut found = PartsInFlight::default();
        for part in in_flight {
            found.any = true;
            found.in_other_layer |= part.data.layer().is_some_and(|other| other != layer);
        }
        found
    }

    /// Removes a block I/O.
    pub(super) fn remove(&mut self, id: BioId) -> Option<InFlightIo> {
        self.driver.in_flight_mut().release(id)
    }

    /// The scheduler knows of a block I/O from now on: its description.
    pub(super) fn schedule(&mut self, id: BioId, volume: &Volume) -> Option<Bio> {
        let io = &mut self.driver.in_flight_mut().get_mut(id)?.data;
        io.mark_scheduled();
        Some(self.bios.build(id, io, volume))
    }

    /// How block I/Os are described to the scheduler.
    pub(super) fn bios(&self) -> &BioBuilder {
        &self.bios
    }

    /// The scheduler no longer refers to an ordering key.
    pub(super) fn release_key(&mut self, key: KeyId) {
        self.bios.release_key(key);
    }

    /// The I/O class of a block I/O.
    pub(super) fn class(&self, io: &BlockIo) -> &IoClass {
        self.bios.class(io)
    }

    /// Whether a block I/O has waited for as long as its latency objective.
    pub(super) fn is_past_latency_objective(&self, io: &BlockIo, now: Tick) -> bool {
        now >= io.arrived() + self.class(io).latency_objective()
    }

    /// An attempt is in flight from now on: its tag.
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

    /// The scheduler has asked for an attempt that cannot be sent: its outcome is queued.
    pub(super) fn attempt_not_sent(&mut self, id: BioId, node: NodeId) {
        if let Some(io) = self.get_mut(id) {
            io.count_attempt();
        }
        let latency = 0;
        let attempt = FinishedAttempt::new(id, node, AttemptResult::NotSent, latency);
        self.driver.queue_finished(attempt);
    }

    /// The block I/O whose attempt in flight has this tag; none: that attempt has ended.
    pub(super) fn in_flight_with_tag(&self, tag: u32) -> Option<BioId> {
        let id = block_io_of_tag(tag);
        let attempt = self.get(id)?.attempt()?;
        (attempt.tag == tag).then_some(id)
    }

    /// When the next attempt times out.
    pub(super) fn next_timeout(&self) -> Option<Tick> {
        self.timeouts.next_due()
    }

    /// The next block I/O whose attempt in flight has timed out.
    pub(super) fn next_timed_out(&mut self, now: Tick) -> Option<BioId> {
        while let Some(tag) = self.timeouts.take_due(now) {
            let io = self.in_flight_with_tag(tag);
            if io.is_some() {
                return io;
            }
        }
        None
    }

    /// Forgets the timeouts of attempts that have ended, if they are many.
    pub(super) fn remove_ended_timeouts(&mut self) {
        let table = self.driver.in_flight();
        let is_in_flight = |tag: u32| {
            let attempt = table.get(block_io_of_tag(tag)).and_then(InFlight::attempt);
            attempt.is_some_and(|attempt| attempt.tag == tag)
        };
        self.timeouts.remove_ended(table.len(), is_in_flight);
    }

    /// The attempt in flight has ended; none: there is none. Its outcome is queued for the scheduler.
    pub(super) fn end_attempt(
        &mut self,
        id: BioId,
        result: AttemptResult,
        now: Tick,
    ) -> Option<EndedAttempt> {
        let io = self.driver.in_flight().get(id)?;
        let Attempt { node, sent, .. } = *io.attempt()?;
        let did_not_run = matches!(
            result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
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

    /// The writes of clients that are queued for a layer are to be looked up again: withdraws them.
    pub(super) fn relocate_queued_writes(&mut self, layer: Option<LayerId>) {
        for id in self.driver.in_flight().ids() {
            let is_queued_write = |io: &&mut InFlightIo| {
                let is_queued = io.data.is_scheduled() && io.attempt().is_none();
                let is_open = !io.is_withdrawn() && !io.is_answered();
                let is_clients_write = io.data.is_write() && io.data.command().is_some();
                io.data.layer() == layer && is_queued && is_open && is_clients_write
            };
            if let Some(io) = self.get_mut(id).filter(is_queued_write) {
                io.mark_withdrawn();
                self.driver.queue_withdrawal(id);
            }
        }
    }
}
