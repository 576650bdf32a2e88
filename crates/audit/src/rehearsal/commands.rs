//! Commands put together from the record: what a client sent, its attempts at nodes, and its answer.
use crate::trace::Micros;
use mallowseam_iscsi::scsi::status;

/// One attempt of a command, as a node saw it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) at: Micros,
    pub(super) node: u32,
    /// First block of the sub-request, in the volume.
    pub(super) lba: u64,
    pub(super) blocks: u32,
    /// When the node answered, and with which status.
    pub(super) answered: Option<(Micros, u8)>,
    /// When it was aborted, or its connection closed: it may still run.
    pub(super) cut_off: Option<Micros>,
}

/// A client's command with everything that belongs to it.
#[derive(Clone, Debug)]
pub(super) struct Command {
    pub(super) id: u64,
    pub(super) host: u32,
    pub(super) volume: usize,
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) io_class: usize,
    /// Ordering key, where the rule of the volume names one.
    pub(super) key: Option<u64>,
    pub(super) sent_at: Micros,
    pub(super) answered: Option<(Micros, u8)>,
    pub(super) abandoned: bool,
    /// Per block the write that the answer shows.
    pub(super) shown: Vec<Option<u64>>,
    pub(super) attempts: Vec<Attempt>,
}

impl Command {
    /// Attempts that their node did not reject, so that they may have run.
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| !a.answered.is_some_and(|(_, code)| is_shed(code)))
    }

    /// When it completed well.
    pub(super) fn completed_at(&self) -> Option<Micros> {
        self.answered
            .filter(|(_, code)| *code == status::GOOD)
            .map(|(at, _)| at)
    }

    pub(super) fn was_shed(&self) -> bool {
        self.answered.is_some_and(|(_, code)| is_shed(code))
    }

    /// Whether it covers all blocks of a sub-request.
    pub(super) fn contains(&self, volume: usize, lba: u64, blocks: u32) -> bool {
        self.volume == volume
            && self.lba <= lba
            && lba + u64::from(blocks) <= self.lba + u64::from(self.blocks)
    }
}

pub(super) fn is_shed(code: u8) -> bool {
    matches!(code, status::BUSY | status::TASK_SET_FULL)
}
