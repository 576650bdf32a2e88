//! Commands as reconstructed from a trace: the request of a client, its attempts at nodes, and its answer.
use crate::trace::Micros;
use mallowseam_iscsi::scsi::status;

/// Attempt of a command, as observed at a node.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) at: Micros,
    pub(super) node: u32,
    /// First block of the sub-request, in the volume.
    pub(super) lba: u64,
    pub(super) blocks: u32,
    /// Time and SCSI status of the node's answer.
    pub(super) answered: Option<(Micros, u8)>,
    /// When the attempt was aborted or its connection closed. The node may still execute it.
    pub(super) interrupted_at: Option<Micros>,
}

/// Command of a client, with its attempts and its answer.
#[derive(Clone, Debug)]
pub(super) struct Command {
    pub(super) id: u64,
    pub(super) host: u32,
    pub(super) volume: usize,
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) io_class: usize,
    /// Ordering key, if the rule of the volume defines one.
    pub(super) key: Option<u64>,
    pub(super) sent_at: Micros,
    pub(super) answered: Option<(Micros, u8)>,
    pub(super) abandoned: bool,
    /// Id of the write whose data each block of the answer holds; none where the data is corrupt.
    pub(super) read_ids: Vec<Option<u64>>,
    pub(super) attempts: Vec<Attempt>,
}

impl Command {
    /// Returns the attempts that may have been executed: those that their node did not shed.
    pub(super) fn possibly_executed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| !a.answered.is_some_and(|(_, code)| is_shed(code)))
    }

    /// Returns when the command completed successfully, if it did.
    pub(super) fn completed_at(&self) -> Option<Micros> {
        self.answered
            .filter(|(_, code)| *code == status::GOOD)
            .map(|(at, _)| at)
    }

    pub(super) fn was_shed(&self) -> bool {
        self.answered.is_some_and(|(_, code)| is_shed(code))
    }

    /// Returns whether the command contains all blocks of a sub-request.
    pub(super) fn contains(&self, volume: usize, lba: u64, blocks: u32) -> bool {
        self.volume == volume
            && self.lba <= lba
            && lba + u64::from(blocks) <= self.lba + u64::from(self.blocks)
    }
}

pub(super) fn is_shed(code: u8) -> bool {
    matches!(code, status::BUSY | status::TASK_SET_FULL)
}
