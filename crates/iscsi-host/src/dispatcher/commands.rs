//! Commands of clients, whose outcome is that of their parts.
#[cfg(test)]
mod tests;

use super::layer_location::LayerLocation;
use super::parts_in_flight::PartsInFlight;
use super::transfer::Transfer;
use crate::client_connections::ClientId;
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::Millis;
use mallowseam_cow::split_write::{PartAdmission, SplitWrite};
use mallowseam_cow::tree::LayerId;
use mallowseam_iscsi::initiator::Payload;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::slab::Slab;

/// Index of a command.
pub(super) type CommandIndex = u32;

/// Who has sent a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Issuer {
    pub(super) client: ClientId,
    /// The initiator task tag.
    pub(super) task: u32,
}

/// What a command transfers.
enum CommandData {
    /// What is written.
    Write(Payload),
    /// A read of one part: what that reads is the answer.
    ReadWhole,
    /// What has been read so far of several parts.
    ReadParts(Vec<u8>),
}

/// A command of a client.
struct Command {
    /// None once the client has disconnected or aborted it.
    issuer: Option<Issuer>,
    progress: CommandProgress,
    /// The first of its parts, which are linked.
    first: Option<BioId>,
    /// How many parts it was split into.
    parts: u32,
    /// Its parts that are not released yet.
    unreleased: u32,
    /// Where its parts lie with respect to cuts.
    split_write: SplitWrite,
    /// The client's SCSI group number, which is passed on to the nodes.
    group_number: u8,
    /// Bytes of a block.
    block_size: usize,
    data: CommandData,
}

/// What a new command is.
pub(super) struct NewCommand {
    pub(super) issuer: Issuer,
    pub(super) transfer: Transfer,
    /// Bytes of a block.
    pub(super) block_size: u32,
    /// What is written.
    pub(super) data: Vec<u8>,
    /// How many parts it was split into.
    pub(super) parts: u32,
}

/// The answer to a command.
pub(super) struct CommandAnswer {
    /// None: nobody waits for it any more.
    pub(super) issuer: Option<Issuer>,
    pub(super) outcome: RequestOutcome,
    /// What was read.
    pub(super) data: Vec<u8>,
}

/// What an attempt at a part of a command sends to a node.
pub(super) struct PartTransfer {
    pub(super) group_number: u8,
    /// Empty for a read.
    pub(super) data: Payload,
}

/// All commands in flight.
#[derive(Default)]
pub(super) struct Commands {
    table: Slab<Command>,
}

impl Commands {
    /// Adds a command; its parts are added by [`set_first_part`](Self::set_first_part).
    pub(super) fn insert(&mut self, new: NewCommand) -> CommandIndex {
        let block_size = new.block_size as usize;
        let Transfer { write, blocks, .. } = new.transfer;
        let data = if write {
            CommandData::Write(new.data.into())
        } else if new.parts > 1 {
            CommandData::ReadParts(vec![0; blocks as usize * block_size])
        } else {
            CommandData::ReadWhole
        };
        self.table.insert(Command {
            issuer: Some(new.issuer),
            progress: CommandProgress::new(new.parts),
            first: None,
            parts: new.parts,
            unreleased: new.parts,
            split_write: SplitWrite::default(),
            group_number: new.transfer.group_number,
            block_size,
            data,
        })
    }

    /// The first of a command's parts, which are linked.
    pub(super) fn first_part(&self, index: CommandIndex) -> Option<BioId> {
        self.table.get(index)?.first
    }

    pub(super) fn set_first_part(&mut self, index: CommandIndex, first: Option<BioId>) {
        if let Some(command) = self.table.get_mut(index) {
            command.first = first;
        }
    }

    /// Whether the answer to a command is decided, or nobody waits for it.
    pub(super) fn is_answered(&self, index: CommandIndex) -> bool {
        self.table
            .get(index)
            .is_some_and(|command| command.progress.is_answered())
    }

    /// The client of a command does not wait for its answer any more. False: the answer is decided.
    pub(super) fn abandon(&mut self, index: CommandIndex) -> bool {
        let command = self
            .table
            .get_mut(index)
            .filter(|command| !command.progress.is_answered());
        let Some(command) = command else { return false };
        command.progress.client_disconnected();
        command.issuer = None;
        true
    }

    /// What an attempt at a part sends, which may have run from then on. `non_idempotent`: running it twice
    /// does harm.
    pub(super) fn begin_attempt(
        &mut self,
        index: CommandIndex,
        part: &SubRequest,
        non_idempotent: bool,
    ) -> Option<PartTransfer> {
        let command = self.table.get_mut(index)?;
        if non_idempotent {
            command.progress.attempt_sent();
        }
        let offset = part.offset as usize * command.block_size;
        let len = part.blocks as usize * command.block_size;
        let data = match &command.data {
            CommandData::Write(data) => data.slice(offset, len),
            CommandData::ReadWhole | CommandData::ReadParts(_) => Payload::default(),
        };
        Some(PartTransfer {
            group_number: command.group_number,
            data,
        })
    }

    /// An attempt at a part that may not run twice is known not to have run.
    pub(super) fn attempt_did_not_run(&mut self, index: CommandIndex) {
        if let Some(command) = self.table.get_mut(index) {
            command.progress.attempt_did_not_run();
        }
    }

    /// A part has completed. `location`: where, if the catalog knows that; `data`: what it has read. The
    /// command's answer if this decides it.
    pub(super) fn part_completed(
        &mut self,
        index: CommandIndex,
        part: &SubRequest,
        location: Option<LayerLocation>,
        data: Vec<u8>,
    ) -> Option<CommandAnswer> {
        let command = self.table.get_mut(index)?;
        if let Some(location) = location {
            command.split_write.part_completed(location.layer);
        }
        let offset = part.offset as usize * command.block_size;
        let rest = match &mut command.data {
            CommandData::ReadParts(read) => {
                if let Some(range) = read.get_mut(offset..offset + data.len()) {
                    range.copy_from_slice(&data);
                }
                Vec::new()
            }
            CommandData::Write(_) | CommandData::ReadWhole => data,
        };
        self.part_finished(index, RequestOutcome::Completed, rest)
    }

    /// A part is finished. The command's answer if this decides it.
    pub(super) fn part_finished(
        &mut self,
        index: CommandIndex,
        outcome: RequestOutcome,
        data: Vec<u8>,
    ) -> Option<CommandAnswer> {
        let command = self.table.get_mut(index)?;
        let outcome = command.progress.sub_request_finished(outcome)?;
        let data = match &mut command.data {
            CommandData::ReadParts(read) => std::mem::take(read),
            CommandData::Write(_) | CommandData::ReadWhole => data,
        };
        Some(CommandAnswer {
            issuer: command.issuer,
            outcome,
            data,
        })
    }

    /// A part is released, and its command with the last one.
    pub(super) fn release_part(&mut self, index: CommandIndex) {
        let Some(command) = self.table.get_mut(index) else {
            return;
        };
        command.unreleased -= 1;
        if command.unreleased == 0 {
            self.table.remove(index);
        }
    }

    /// Whether a command was split.
    pub(super) fn is_split(&self, index: CommandIndex) -> bool {
        self.table
            .get(index)
            .is_some_and(|command| command.parts > 1)
    }

    /// The state of a split write that is not answered.
    pub(super) fn open_split_write(&self, index: CommandIndex) -> Option<&SplitWrite> {
        let command = self.table.get(index)?;
        let is_write = matches!(command.data, CommandData::Write(_));
        let is_open = is_write && command.parts > 1 && !command.progress.is_answered();
        is_open.then_some(&command.split_write)
    }

    /// Whether a part of a split write may be sent into a layer, as far as cuts are concerned.
    /// `cut_pending`: a cut of its branch is pending, so that none may begin.
    pub(super) fn admit_part(
        &mut self,
        index: CommandIndex,
        layer: LayerId,
        parts: PartsInFlight,
        cut_pending: bool,
        now: Millis,
    ) -> PartAdmission {
        let Some(command) = self.table.get_mut(index) else {
            return PartAdmission::Wait;
        };
        let has_begun = parts.any || command.split_write.started_in_or_before(LayerId::MAX);
        if cut_pending && !has_begun {
            return PartAdmission::Wait;
        }
        command.split_write.admit(layer, parts.in_other_layer, now)
    }

    /// The catalog has decided about writes with parts in a layer.
    pub(super) fn permission_decided(&mut self, layer: LayerId, granted: bool) {
        for index in self.table.indices() {
            if let Some(command) = self.table.get_mut(index) {
                command.split_write.permission_decided(layer, granted);
            }
        }
    }
}
