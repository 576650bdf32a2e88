//! The block I/Os in flight and their attempts.
use super::attempt_tags::{AttemptTags, MAX_BLOCK_IOS, index_of_tag};
use super::attempt_timeouts::AttemptTimeouts;
use super::block_io::{Attempt, BlockIo, BlockIoIndex};
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::io_classes::IoClass;
use super::volumes::Volume;
use crate::slab::Slab;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::LayerId;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::interface::{
    AttemptOutcome, AttemptResult, Bio, BioId, KeyId, LoadReport, NodeId, Tick, VolumeId,
};
use mallowseam_settings::GatewayConfig;

/// An ordering key: that of the unit with this LUN.
#[derive(Clone, PartialEq, Eq, Hash)]
struct OrderingKey {
    /// The LUN that the client has named; none for a step of a copy.
    lun: Option<u32>,
    key: u64,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// The command that its block I/O is a part of.
    pub(super) command: Option<CommandIndex>,
    /// It may not run twice, and is known not to have run.
    pub(super) did_not_run: bool,
    /// What the scheduler is told.
    pub(super) outcome: AttemptOutcome,
}

/// The parts of a command that may be sent at any moment, or are at nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartsInFlight {
    /// There are such parts.
    pub(super) any: bool,
    /// There are such parts that go to another layer.
    pub(super) in_other_layer: bool,
}

/// All block I/Os in flight.
pub(super) struct BlockIos {
    table: Slab<BlockIo>,
    /// The sequence number of the last block I/O.
    last_sequence: u64,
    tags: AttemptTags,
    timeouts: AttemptTimeouts,
    /// Ordering keys, each with a small index for the scheduler.
    ordering_keys: Interner<OrderingKey>,
    classes: Vec<IoClass>,
    /// Bytes of a unit, in which costs are counted.
    unit_bytes: u64,
    /// The shard of each node.
    node_shards: Vec<u32>,
}

impl BlockIos {
    /// Nothing is in flight.
    pub(super) fn new(config: &GatewayConfig) -> Self {
        BlockIos {
            table: Slab::default(),
            last_sequence: 0,
            tags: AttemptTags::default(),
            timeouts: AttemptTimeouts::default(),
            ordering_keys: Interner::default(),
            classes: config.io_classes.iter().map(IoClass::new).collect(),
            unit_bytes: config.fleet.unit_bytes,
            node_shards: config.nodes.iter().map(|node| node.shard).collect(),
        }
    }

    /// How many are in flight.
    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether so many more can be in flight.
    pub(super) fn has_capacity_for(&self, count: usize) -> bool {
        self.table.len() + count <= MAX_BLOCK_IOS
    }

    pub(super) fn get(&self, index: BlockIoIndex) -> Option<&BlockIo> {
        self.table.get(index)
    }

    pub(super) fn get_mut(&mut self, index: BlockIoIndex) -> Option<&mut BlockIo> {
        self.table.get_mut(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &BlockIo> {
        self.table.iter().map(|(_, io)| io)
    }

    /// Adds the parts of a command, linked in their order. Returns the first.
    pub(super) fn insert_parts(
        &mut self,
        command: CommandIndex,
        unit: &ExportedUnit,
        write: bool,
        parts: &[SubRequest],
        now: Tick,
    ) -> Option<BlockIoIndex> {
        let mut first = None;
        for part in parts.iter().rev() {
            let io = BlockIo::part(command, first, unit, write, *part, now);
            first = Some(self.table.insert(io));
        }
        first
    }

    /// Adds a step of a copy.
    pub(super) fn insert_copy_step(&mut self, step: &CopyStep, now: Tick) -> BlockIoIndex {
        let index = self.table.insert(BlockIo::copy_step(step, now));
        self.assign_sequence(index);
        index
    }

    /// Numbers a block I/O in the order of arrival.
    pub(super) fn assign_sequence(&mut self, index: BlockIoIndex) {
        self.last_sequence += 1;
        if let Some(io) = self.table.get_mut(index) {
            io.set_sequence(self.last_sequence);
        }
    }

    /// A part of a command; none: it is released.
    pub(super) fn part(&self, index: BlockIoIndex, command: CommandIndex) -> Option<&BlockIo> {
        self.table
            .get(index)
            .filter(|io| io.command() == Some(command))
    }

    /// A part of a command; none: it is released.
    pub(super) fn part_mut(
        &mut self,
        index: BlockIoIndex,
        command: CommandIndex,
    ) -> Option<&mut BlockIo> {
        self.table
            .get_mut(index)
            .filter(|io| io.command() == Some(command))
    }

    /// Which parts of a command are in flight, from its first up to one that is released. `layer`: what is
    /// in flight to any other is told apart.
    pub(super) fn parts_in_flight(
        &self,
        command: CommandIndex,
        first: Option<BlockIoIndex>,
        layer: LayerId,
    ) -> PartsInFlight {
        let first = first.and_then(|index| self.part(index, command));
        let parts = std::iter::successors(first, |part| {
            part.next().and_then(|index| self.part(index, command))
        });
        let mut in_flight = PartsInFlight::default();
        for part in parts.filter(|part| part.may_be_sent()) {
            in_flight.any = true;
            in_flight.in_other_layer |= part.layer().is_some_and(|other| other != layer);
        }
        in_flight
    }

    /// Removes a block I/O.
    pub(super) fn remove(&mut self, index: BlockIoIndex) -> Option<BlockIo> {
        self.table.remove(index)
    }

    /// The scheduler knows of a block I/O from now on: its description.
    pub(super) fn schedule(&mut self, index: BlockIoIndex, volume: &Volume) -> Option<Bio> {
        let io = self.table.get_mut(index)?;
        io.mark_scheduled();
        let request = *io.request();
        let lun = io.lun();
        let key = request
            .ordering_key
            .map(|key| KeyId(self.ordering_keys.intern(&OrderingKey { lun, key })));
        let shard = match (io.location(), io.copied_extent()) {
            (Some(to), _) => Some(self.node_shards[to.location.node as usize]),
            // A new copy may go to any node.
            (None, Some(_)) => None,
            (None, None) => Some(request.shard),
        };
        Some(Bio {
            id: BioId(index),
            class: request.class,
            plan: volume.plan(),
            volume: VolumeId(io.volume() as u32),
            key,
            deadline: io.arrived() + self.classes[io.class()].deadline(),
            units: cost_in_units(volume, request.blocks, self.unit_bytes),
            shard,
            hosts: volume.host_count(),
        })
    }

    /// What a block I/O costs.
    pub(super) fn units(&self, io: &BlockIo, volume: &Volume) -> f64 {
        cost_in_units(volume, io.request().blocks, self.unit_bytes)
    }

    /// The scheduler no longer refers to an ordering key.
    pub(super) fn release_key(&mut self, key: KeyId) {
        self.ordering_keys.release(key.0);
    }

    /// The I/O class of a block I/O.
    pub(super) fn class(&self, io: &BlockIo) -> &IoClass {
        &self.classes[io.class()]
    }

    /// Whether a block I/O has waited for as long as its latency objective.
    pub(super) fn is_past_latency_objective(&self, io: &BlockIo, now: Tick) -> bool {
        now >= io.arrived() + self.class(io).latency_objective()
    }

    /// An attempt is in flight from now on: its tag.
    pub(super) fn begin_attempt(
        &mut self,
        index: BlockIoIndex,
        node: NodeId,
        now: Tick,
        timeout: Tick,
    ) -> u32 {
        let tag = self.tags.next(index);
        if let Some(io) = self.table.get_mut(index) {
            io.begin_attempt(Attempt {
                node: node.0,
                tag,
                sent: now,
            });
        }
        self.timeouts.add(now + timeout.max(0), tag);
        tag
    }

    /// The block I/O whose attempt in flight has this tag; none: that attempt has ended.
    pub(super) fn index_in_flight(&self, tag: u32) -> Option<BlockIoIndex> {
        let index = index_of_tag(tag);
        let attempt = self.table.get(index)?.attempt()?;
        (attempt.tag == tag).then_some(index)
    }

    /// When the next attempt times out.
    pub(super) fn next_timeout(&self) -> Option<Tick> {
        self.timeouts.next_due()
    }

    /// The next block I/O whose attempt in flight has timed out.
    pub(super) fn next_timed_out(&mut self, now: Tick) -> Option<BlockIoIndex> {
        while let Some(tag) = self.timeouts.take_due(now) {
            let index = self.index_in_flight(tag);
            if index.is_some() {
                return index;
            }
        }
        None
    }

    /// Forgets the timeouts of attempts that have ended, if they are many.
    pub(super) fn remove_ended_timeouts(&mut self) {
        let table = &self.table;
        let is_in_flight = |tag: u32| {
            let attempt = table.get(index_of_tag(tag)).and_then(BlockIo::attempt);
            attempt.is_some_and(|attempt| attempt.tag == tag)
        };
        self.timeouts.remove_ended(table.len(), is_in_flight);
    }

    /// The attempt in flight has ended; none: there is none.
    pub(super) fn end_attempt(
        &mut self,
        index: BlockIoIndex,
        result: AttemptResult,
        now: Tick,
    ) -> Option<EndedAttempt> {
        let io = self.table.get_mut(index)?;
        let attempt = io.end_attempt()?;
        let did_not_run = matches!(
            result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        Some(EndedAttempt {
            command: io.command(),
            did_not_run: did_not_run && self.classes[io.class()].is_non_idempotent(),
            outcome: AttemptOutcome {
                result,
                node: NodeId(attempt.node),
                client_answered: io.is_answered() || io.is_relocating(),
                latency: now - attempt.sent,
                units_by_other_hosts: 0.0,
                volume_usage: 0.0,
                load_report: LoadReport::default(),
            },
        })
    }

    /// The writes of clients that are queued for a layer are to be looked up again. Returns them.
    pub(super) fn relocate_queued_writes(&mut self, layer: Option<LayerId>) -> Vec<BlockIoIndex> {
        let mut relocated = Vec::new();
        for index in self.table.indices() {
            let is_queued_write = |io: &&mut BlockIo| {
                io.layer() == layer && io.is_queued() && io.command().is_some() && io.is_write()
            };
            if let Some(io) = self.table.get_mut(index).filter(is_queued_write) {
                io.start_relocation();
                relocated.push(index);
            }
        }
        relocated
    }
}

fn cost_in_units(volume: &Volume, blocks: u32, unit_bytes: u64) -> f64 {
    volume.bytes(blocks).div_ceil(unit_bytes) as f64
}
