//! One block I/O: where it comes from, where it goes, and how far it has got.
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::volumes::VolumeIndex;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::{LayerExtent, LayerId, Location};
use mallowseam_scheduler::interface::Tick;
use std::rc::Rc;

/// Index of a block I/O, which is its id for the scheduler as well.
pub(super) type BlockIoIndex = u32;

/// The location of an extent, and the layer that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LayerLocation {
    pub(super) layer: LayerId,
    pub(super) location: Location,
}

/// What a block I/O is a part of.
enum Origin {
    /// A client's command.
    Command {
        command: CommandIndex,
        /// The next block I/O of the command.
        next: Option<BlockIoIndex>,
        /// The LUN that the client has named.
        lun: u32,
        /// The branch or snapshot that it reads or writes, where the catalog knows its locations.
        branch: Option<Rc<str>>,
    },
    /// A copy of this extent.
    Copy(LayerExtent),
}

/// An attempt in flight at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    /// Index of the node.
    pub(super) node: u32,
    pub(super) tag: u32,
    pub(super) sent: Tick,
}

/// What the scheduler knows of a block I/O.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scheduling {
    /// Nothing: it has just arrived, or waits for its location.
    NotScheduled,
    /// It may send the block I/O at any moment, or has done so.
    Scheduled,
    /// It was told to withdraw the block I/O, whose location will be looked up again.
    Relocating,
}

/// A part of a command, or a step of copying an extent.
pub(super) struct BlockIo {
    origin: Origin,
    volume: VolumeIndex,
    write: bool,
    request: SubRequest,
    arrived: Tick,
    /// Counts block I/Os in the order in which they arrived.
    sequence: u64,
    /// Where it goes, where the catalog knows that.
    location: Option<LayerLocation>,
    scheduling: Scheduling,
    /// Attempts so far.
    attempts: u32,
    /// The attempt in flight.
    attempt: Option<Attempt>,
    /// Nobody waits for it any more.
    answered: bool,
}

impl BlockIo {
    fn new(
        origin: Origin,
        volume: VolumeIndex,
        write: bool,
        request: SubRequest,
        now: Tick,
    ) -> Self {
        BlockIo {
            origin,
            volume,
            write,
            request,
            arrived: now,
            sequence: 0,
            location: None,
            scheduling: Scheduling::NotScheduled,
            attempts: 0,
            attempt: None,
            answered: false,
        }
    }

    /// A part of a command that has just arrived. `next`: the part behind it.
    pub(super) fn part(
        command: CommandIndex,
        next: Option<BlockIoIndex>,
        unit: &ExportedUnit,
        write: bool,
        request: SubRequest,
        now: Tick,
    ) -> Self {
        let origin = Origin::Command {
            command,
            next,
            lun: unit.lun,
            branch: unit.branch.clone(),
        };
        BlockIo::new(origin, unit.volume, write, request, now)
    }

    /// A step of a copy.
    pub(super) fn copy_step(step: &CopyStep, now: Tick) -> Self {
        let origin = Origin::Copy(step.extent);
        BlockIo {
            location: step.read_from,
            ..BlockIo::new(origin, step.volume, step.write, step.request, now)
        }
    }

    /// The command that it is a part of; none for a step of a copy.
    pub(super) fn command(&self) -> Option<CommandIndex> {
        match self.origin {
            Origin::Command { command, .. } => Some(command),
            Origin::Copy(_) => None,
        }
    }

    /// The next part of its command.
    pub(super) fn next(&self) -> Option<BlockIoIndex> {
        match self.origin {
            Origin::Command { next, .. } => next,
            Origin::Copy(_) => None,
        }
    }

    /// The LUN that the client has named; none for a step of a copy.
    pub(super) fn lun(&self) -> Option<u32> {
        match self.origin {
            Origin::Command { lun, .. } => Some(lun),
            Origin::Copy(_) => None,
        }
    }

    /// The branch or snapshot whose tree tells its location; none: its location is that of the
    /// configuration, or of a copy.
    pub(super) fn branch(&self) -> Option<&str> {
        match &self.origin {
            Origin::Command { branch, .. } => branch.as_deref(),
            Origin::Copy(_) => None,
        }
    }

    /// The extent whose copy it is a step of.
    pub(super) fn copied_extent(&self) -> Option<LayerExtent> {
        match self.origin {
            Origin::Command { .. } => None,
            Origin::Copy(extent) => Some(extent),
        }
    }

    pub(super) fn volume(&self) -> VolumeIndex {
        self.volume
    }

    pub(super) fn is_write(&self) -> bool {
        self.write
    }

    pub(super) fn request(&self) -> &SubRequest {
        &self.request
    }

    /// Index of its I/O class.
    pub(super) fn class(&self) -> usize {
        self.request.class.into()
    }

    pub(super) fn arrived(&self) -> Tick {
        self.arrived
    }

    /// Its number in the order of arrival.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn set_sequence(&mut self, sequence: u64) {
        self.sequence = sequence;
    }

    /// Where it goes, where the catalog knows that.
    pub(super) fn location(&self) -> Option<LayerLocation> {
        self.location
    }

    /// The layer that it goes to.
    pub(super) fn layer(&self) -> Option<LayerId> {
        self.location.map(|location| location.layer)
    }

    pub(super) fn set_location(&mut self, location: LayerLocation) {
        self.location = Some(location);
    }

    /// Whether nobody waits for it any more.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Nobody waits for it from now on. False: that was so before.
    pub(super) fn mark_answered(&mut self) -> bool {
        !std::mem::replace(&mut self.answered, true)
    }

    /// Whether the scheduler knows of it.
    pub(super) fn is_scheduled(&self) -> bool {
        self.scheduling != Scheduling::NotScheduled
    }

    /// The scheduler knows of it from now on.
    pub(super) fn mark_scheduled(&mut self) {
        self.scheduling = Scheduling::Scheduled;
    }

    /// Whether it may reach its layer: the scheduler may send what it has queued at any moment.
    pub(super) fn may_be_sent(&self) -> bool {
        self.is_scheduled() && !self.answered
    }

    /// Whether the scheduler has queued it and was not told to withdraw it.
    pub(super) fn is_queued(&self) -> bool {
        self.scheduling == Scheduling::Scheduled && self.attempt.is_none() && !self.answered
    }

    /// Whether the scheduler was told to withdraw it, to have its location looked up again.
    pub(super) fn is_relocating(&self) -> bool {
        self.scheduling == Scheduling::Relocating
    }

    /// Its location is to be looked up again, once the scheduler has released it.
    pub(super) fn start_relocation(&mut self) {
        self.scheduling = Scheduling::Relocating;
    }

    /// The scheduler has released it: begins anew, without a location.
    pub(super) fn finish_relocation(&mut self) {
        self.scheduling = Scheduling::NotScheduled;
        self.location = None;
        self.attempts = 0;
    }

    /// The attempt in flight.
    pub(super) fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// The attempt in flight, if it is the one of this number, counted from 0.
    pub(super) fn attempt_numbered(&self, number: u32) -> Option<Attempt> {
        self.attempt.filter(|_| self.attempts == number + 1)
    }

    /// An attempt is in flight from now on.
    pub(super) fn begin_attempt(&mut self, attempt: Attempt) {
        self.attempts += 1;
        self.attempt = Some(attempt);
    }

    /// The attempt in flight has ended.
    pub(super) fn end_attempt(&mut self) -> Option<Attempt> {
        self.attempt.take()
    }
}
