//! One block I/O: where it comes from and where it goes.
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::layer_location::LayerLocation;
use super::volumes::VolumeIndex;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::{LayerExtent, LayerId};
use mallowseam_scheduler::interface::{BioId, NodeId, Tick};
use std::rc::Rc;

/// What a block I/O is a part of.
enum Origin {
    /// A client's command.
    Command {
        command: CommandIndex,
        /// The next block I/O of the command.
        next: Option<BioId>,
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
pub(crate) struct Attempt {
    pub(super) node: NodeId,
    pub(super) tag: u32,
    pub(super) sent: Tick,
}

/// A part of a command, or a step of copying an extent.
pub(crate) struct BlockIo {
    origin: Origin,
    volume: VolumeIndex,
    write: bool,
    request: SubRequest,
    arrived: Tick,
    /// Counts block I/Os in the order in which they arrived.
    sequence: u64,
    /// Where it goes, where the catalog knows that.
    location: Option<LayerLocation>,
    /// The scheduler knows of it.
    scheduled: bool,
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
            scheduled: false,
        }
    }

    /// A part of a command that has just arrived. `next`: the part behind it.
    pub(super) fn part(
        command: CommandIndex,
        next: Option<BioId>,
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
    pub(super) fn next(&self) -> Option<BioId> {
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

    /// Whether the scheduler knows of it.
    pub(super) fn is_scheduled(&self) -> bool {
        self.scheduled
    }

    /// The scheduler knows of it from now on.
    pub(super) fn mark_scheduled(&mut self) {
        self.scheduled = true;
    }

    /// The scheduler has released it: it begins anew, without a location.
    pub(super) fn mark_unscheduled(&mut self) {
        self.scheduled = false;
        self.location = None;
    }
}
