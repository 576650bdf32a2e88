//! Commands of clients, their block I/Os, and the attempts at nodes.
use super::BlockIoIndex;
use crate::client_connections::ClientId;
use mallowseam_connection_policy::command_progress::CommandProgress;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::split_write::SplitWrite;
use mallowseam_cow::tree::{LayerExtent, LayerId, Location};
use mallowseam_iscsi::initiator::Payload;
use mallowseam_scheduler::interface::Tick;
use std::rc::Rc;

/// A tag of an attempt has the block I/O's index in its lower bits and the number of the attempt above them,
/// so that a late answer is not taken for that of a later attempt.
const INDEX_BITS: u32 = 20;
/// Block I/Os that can be in flight.
pub(super) const MAX_BLOCK_IOS: usize = 1 << INDEX_BITS;

/// The tag of an attempt. `count`: the attempts that the block I/O's index has had.
pub(super) fn attempt_tag(index: BlockIoIndex, count: u32) -> u32 {
    count << INDEX_BITS | index
}

/// The block I/O that a tag belongs to.
pub(super) fn index_of_tag(tag: u32) -> BlockIoIndex {
    tag & (MAX_BLOCK_IOS as u32 - 1)
}

/// The number of the next attempt, as far as it fits into a tag.
pub(super) fn next_attempt_count(count: u32) -> u32 {
    (count + 1) & ((1 << (u32::BITS - INDEX_BITS)) - 1)
}

/// Index of a command.
pub(super) type CommandIndex = u32;

/// A command of a client.
pub(super) struct Command {
    /// None once the client has disconnected or aborted it.
    pub(super) client: Option<ClientId>,
    /// The initiator task tag.
    pub(super) task: u32,
    pub(super) progress: CommandProgress,
    /// The first of its block I/Os, which are linked.
    pub(super) first: Option<BlockIoIndex>,
    /// Its block I/Os that are not released yet.
    pub(super) unreleased: u32,
    pub(super) write: bool,
    /// How many block I/Os it was split into.
    pub(super) sub_requests: u32,
    /// Where its parts lie with respect to cuts.
    pub(super) split_write: SplitWrite,
    /// The client's SCSI group number, which is passed on to the nodes.
    pub(super) group_number: u8,
    /// Bytes of a block.
    pub(super) block_size: usize,
    /// What is written.
    pub(super) data: Payload,
    /// What has been read; empty where there is one block I/O only.
    pub(super) read: Vec<u8>,
}

/// An attempt in flight at a node.
pub(super) struct Attempt {
    pub(super) node: u32,
    pub(super) tag: u32,
    pub(super) sent: Tick,
}

/// A block I/O: a part of a command, or a step of copying an extent.
pub(super) struct BlockIo {
    /// None for a step of a copy.
    pub(super) command: Option<CommandIndex>,
    /// The next block I/O of the command.
    pub(super) next: Option<BlockIoIndex>,
    /// Index of the volume.
    pub(super) volume: usize,
    /// The LUN that the client has named; none for a step of a copy.
    pub(super) lun: Option<u32>,
    /// The branch or snapshot that it reads or writes, where the catalog knows its locations.
    pub(super) branch: Option<Rc<str>>,
    /// Counts block I/Os in the order in which they arrived.
    pub(super) sequence: u64,
    /// The layer and location that it goes to, where the catalog knows it.
    pub(super) location: Option<(LayerId, Location)>,
    /// The extent whose copy it is a step of.
    pub(super) copy: Option<LayerExtent>,
    /// Withdrawn from the scheduler, to have its location looked up again.
    pub(super) relocating: bool,
    pub(super) request: SubRequest,
    pub(super) arrived: Tick,
    /// The scheduler knows of it.
    pub(super) scheduled: bool,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// The attempt in flight.
    pub(super) attempt: Option<Attempt>,
    /// Nobody waits for it any more.
    pub(super) answered: bool,
}

impl BlockIo {
    /// A block I/O that has just arrived.
    pub(super) fn new(volume: usize, request: SubRequest, now: Tick) -> Self {
        BlockIo {
            command: None,
            next: None,
            volume,
            lun: None,
            branch: None,
            sequence: 0,
            location: None,
            copy: None,
            relocating: false,
            request,
            arrived: now,
            scheduled: false,
            attempts: 0,
            attempt: None,
            answered: false,
        }
    }

    /// Index of its I/O class.
    pub(super) fn class(&self) -> usize {
        self.request.class as usize
    }

    /// The layer that it goes to.
    pub(super) fn layer(&self) -> Option<LayerId> {
        self.location.map(|(layer, _)| layer)
    }
}
