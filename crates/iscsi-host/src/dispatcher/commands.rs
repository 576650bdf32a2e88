//! Commands of clients, whose outcome follows from that of their parts.
#[cfg(test)]
mod tests;

use super::layer_location::LayerLocation;
use super::part_ids::PartIds;
use super::parts_in_flight::PartsInFlight;
use super::transfer::Transfer;
use crate::client_connections::ClientId;
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::Millis;
use mallowseam_cow::split_write::{PartAdmission, SplitWrite};
use mallowseam_cow::tree::LayerId;
use mallowseam_iscsi::initiator::Payload;
use mallowseam_sockets::slab::Slab;

/// Index of a command.
pub(super) type CommandIndex = u32;

/// Sender of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Issuer {
    pub(super) client: ClientId,
    /// The initiator task tag.
    pub(super) task: u32,
}

/// Data of a command.
enum CommandData {
    /// The data to write.
    Write(Payload),
    /// A read with a single part, whose data is the answer.
    ReadWhole,
    /// A read with several parts, with the data that was read so far.
    ReadParts(Vec<u8>),
}

/// A command of a client.
struct Command {
    /// Sender; `None` once the client has disconnected or aborted the command.
    issuer: Option<Issuer>,
    progress: CommandProgress,
    /// Number of parts that the command was split into.
    parts: u32,
    /// Ids of all parts, in order. The id of a part that is released may belong to another command by now.
    part_ids: PartIds,
    /// Number of parts that are not released yet.
    unreleased: u32,
    /// State of the parts with respect to cuts, used if the command is a split write.
    split_write: SplitWrite,
    /// SCSI group number from the client, which is passed on to nodes.
    group_number: u8,
    /// Block size in bytes.
    block_size: usize,
    /// Number of bytes that the command reads or writes.
    bytes: usize,
    data: CommandData,
}

/// Parameters of a new command.
pub(super) struct NewCommand {
    pub(super) issuer: Issuer,
    pub(super) transfer: Transfer,
    /// Block size in bytes.
    pub(super) block_size: u32,
    /// Data to write; empty for a read.
    pub(super) data: Vec<u8>,
    /// Number of parts that the command is split into.
    pub(super) parts: u32,
}

/// Answer to a command.
pub(super) struct CommandAnswer {
    /// Sender of the command; `None` if the command was abandoned.
    pub(super) issuer: Option<Issuer>,
    pub(super) outcome: RequestOutcome,
    /// Data that was read.
    pub(super) data: Vec<u8>,
}

/// Group number and data of an attempt of a part.
pub(super) struct PartTransfer {
    pub(super) group_number: u8,
    /// Data to write; empty for a read.
    pub(super) data: Payload,
}

/// All commands in flight.
#[derive(Default)]
pub(super) struct Commands {
    table: Slab<Command>,
}

impl Commands {
    /// Adds a command without its parts, which [`set_part_ids`](Self::set_part_ids) adds to it.
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
            parts: new.parts,
            part_ids: PartIds::default(),
            unreleased: new.parts,
            split_write: SplitWrite::default(),
            group_number: new.transfer.group_number,
            block_size,
            bytes: new.transfer.bytes(new.block_size),
            data,
        })
    }

    /// Returns the ids of all parts of a command, the released ones included.
    pub(super) fn part_ids(&self, index: CommandIndex) -> PartIds {
        let command = self.table.get(index);
        command.map_or_else(PartIds::default, |command| command.part_ids.clone())
    }

    pub(super) fn set_part_ids(&mut self, index: CommandIndex, ids: PartIds) {
        if let Some(command) = self.table.get_mut(index) {
            command.part_ids = ids;
        }
    }

    /// Returns whether the answer to a command is decided or the command is abandoned.
    pub(super) fn is_answered(&self, index: CommandIndex) -> bool {
        self.table
            .get(index)
            .is_some_and(|command| command.progress.is_answered())
    }

    /// Abandons a command whose client no longer waits for the answer. Returns false if the answer is already
    /// decided.
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

    /// Records that an attempt of a part is sent, and may run from now on. Returns the group number and data of
    /// the attempt, or `None` if nothing may be sent any more, because the command is answered or abandoned.
    /// `non_idempotent`: whether the part must not run twice.
    pub(super) fn begin_attempt(
        &mut self,
        index: CommandIndex,
        part: &SubRequest,
        non_idempotent: bool,
    ) -> Option<PartTransfer> {
        let command = self.table.get_mut(index)?;
        if command.progress.is_answered() {
            return None;
        }
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

    /// Records that an attempt of a non-idempotent part is known not to have run.
    pub(super) fn attempt_did_not_run(&mut self, index: CommandIndex) {
        if let Some(command) = self.table.get_mut(index) {
            command.progress.attempt_did_not_run();
        }
    }

    /// Records that a part has completed. `location`: location of the part, for mapped volumes; `data`: data
    /// that the part has read. Returns the answer to the command if the part decides it.
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
        let answer_data = match &mut command.data {
            CommandData::ReadParts(read) => {
                if let Some(range) = read.get_mut(offset..offset + data.len()) {
                    range.copy_from_slice(&data);
                }
                Vec::new()
            }
            CommandData::Write(_) | CommandData::ReadWhole => data,
        };
        self.part_finished(index, RequestOutcome::Completed, answer_data)
    }

    /// Records the outcome of a part. Returns the answer to the command if the part decides it.
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

    /// Records that a part is released. Removes the command with its last part, and returns the number of bytes of its
    /// data then.
    pub(super) fn release_part(&mut self, index: CommandIndex) -> Option<usize> {
        let command = self.table.get_mut(index)?;
        command.unreleased -= 1;
        if command.unreleased > 0 {
            return None;
        }
        self.table.remove(index).map(|command| command.bytes)
    }

    /// Returns whether a command has several parts.
    pub(super) fn is_split(&self, index: CommandIndex) -> bool {
        self.table
            .get(index)
            .is_some_and(|command| command.parts > 1)
    }

    /// Returns the state of a command with respect to cuts, if it is a split write that is not answered.
    pub(super) fn unanswered_split_write(&self, index: CommandIndex) -> Option<&SplitWrite> {
        let command = self.table.get(index)?;
        let is_write = matches!(command.data, CommandData::Write(_));
        let is_unanswered = is_write && command.parts > 1 && !command.progress.is_answered();
        is_unanswered.then_some(&command.split_write)
    }

    /// Decides whether cuts admit sending a part of a split write to a layer. `cut_pending`: whether a cut of
    /// the branch is pending, during which no split write may start.
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

    /// Applies a decision of the catalog about split writes with parts in a layer.
    pub(super) fn permission_decided(&mut self, layer: LayerId, granted: bool) {
        for index in self.table.indices() {
            if let Some(command) = self.table.get_mut(index) {
                command.split_write.permission_decided(layer, granted);
            }
        }
    }
}
