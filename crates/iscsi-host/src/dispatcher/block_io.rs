//! A block I/O: its origin and its location.
use super::commands::CommandIndex;
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyStep;
use super::layer_location::LayerLocation;
use super::volumes::VolumeIndex;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::{LayerExtent, LayerId};
use mallowseam_scheduler::interface::{NodeId, Tick};
use std::rc::Rc;

/// Origin of a block I/O.
enum Origin {
    /// The block I/O is a part of a client's command.
    Command {
        command: CommandIndex,
        /// LUN that the client has addressed.
        lun: u32,
        /// Branch or snapshot of a mapped volume that the command reads or writes; `None` for other volumes.
        branch: Option<Rc<str>>,
    },
    /// The block I/O is a step of copying this extent.
    Copy(LayerExtent),
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(super) node: NodeId,
    pub(super) tag: u32,
    pub(super) sent: Tick,
}

/// A part of a client's command, or a copy step.
pub(crate) struct BlockIo {
    origin: Origin,
    volume: VolumeIndex,
    write: bool,
    request: SubRequest,
    arrived: Tick,
    /// Number of the block I/O in the order of arrival.
    sequence: u64,
    /// Location, once looked up or assigned; `None` for volumes that are not mapped.
    location: Option<LayerLocation>,
    /// Whether the block I/O was passed to the scheduler.
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

    /// Creates a part of a command that has just arrived.
    pub(super) fn part(
        command: CommandIndex,
        unit: &ExportedUnit,
        write: bool,
        request: SubRequest,
        now: Tick,
    ) -> Self {
        let origin = Origin::Command {
            command,
            lun: unit.lun,
            branch: unit.branch.clone(),
        };
        BlockIo::new(origin, unit.volume, write, request, now)
    }

    /// Creates a copy step.
    pub(super) fn copy_step(step: &CopyStep, now: Tick) -> Self {
        let origin = Origin::Copy(step.extent);
        BlockIo {
            location: step.read_from,
            ..BlockIo::new(origin, step.volume, step.write, step.request, now)
        }
    }

    /// Returns the command of the block I/O, or `None` for a copy step.
    pub(super) fn command(&self) -> Option<CommandIndex> {
        match self.origin {
            Origin::Command { command, .. } => Some(command),
            Origin::Copy(_) => None,
        }
    }

    /// Returns the LUN that the client has addressed, or `None` for a copy step.
    pub(super) fn lun(&self) -> Option<u32> {
        match self.origin {
            Origin::Command { lun, .. } => Some(lun),
            Origin::Copy(_) => None,
        }
    }

    /// Returns the branch or snapshot by which the location is looked up, or `None` for a copy step and for
    /// volumes that are not mapped.
    pub(super) fn branch(&self) -> Option<&str> {
        match &self.origin {
            Origin::Command { branch, .. } => branch.as_deref(),
            Origin::Copy(_) => None,
        }
    }

    /// Returns the extent that a copy step copies, or `None` for a part of a command.
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

    /// Returns the index of the I/O class.
    pub(super) fn class(&self) -> usize {
        self.request.class.into()
    }

    pub(super) fn arrived(&self) -> Tick {
        self.arrived
    }

    /// Returns the number of the block I/O in the order of arrival.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn set_sequence(&mut self, sequence: u64) {
        self.sequence = sequence;
    }

    /// Returns the location, once looked up or assigned.
    pub(super) fn location(&self) -> Option<LayerLocation> {
        self.location
    }

    /// Returns the layer of the location.
    pub(super) fn layer(&self) -> Option<LayerId> {
        self.location.map(|location| location.layer)
    }

    pub(super) fn set_location(&mut self, location: LayerLocation) {
        self.location = Some(location);
    }

    /// Returns whether the block I/O was passed to the scheduler.
    pub(super) fn is_scheduled(&self) -> bool {
        self.scheduled
    }

    /// Records that the block I/O is passed to the scheduler.
    pub(super) fn mark_scheduled(&mut self) {
        self.scheduled = true;
    }

    /// Records that the scheduler has released the block I/O. Clears the location, to be looked up again.
    pub(super) fn mark_unscheduled(&mut self) {
        self.scheduled = false;
        self.location = None;
    }
}
