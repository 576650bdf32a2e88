//! Commands of clients, from arrival to answer.
use super::Dispatcher;
use super::answers::{self, Answer};
use super::commands::{CommandAnswer, CommandIndex, Issuer, NewCommand};
use super::exported_units::ExportedUnit;
use super::local_commands;
use super::mapped_volumes::MappedVolumes;
use super::transfer::Transfer;
use crate::client_connections::{ClientId, InFlightCommand};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_iscsi::scsi::{self, Sense};
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::BioId;
use mallowseam_scheduler_driver::InFlight;
use mallowseam_sockets::clock::ticks_to_millis;

/// A command as received from a client.
pub(super) struct ClientRequest {
    pub(super) client: ClientId,
    /// The initiator task tag.
    pub(super) task: u32,
    /// Addressed LUN; `None` if it cannot be parsed.
    pub(super) lun: Option<u32>,
    pub(super) cdb: [u8; 16],
    /// Expected data-in length (RFC 7143, 11.3.4): maximum number of bytes that the client accepts.
    pub(super) read_len: usize,
    /// Data to write.
    pub(super) data: Vec<u8>,
}

impl ClientRequest {
    fn issuer(&self) -> Issuer {
        Issuer {
            client: self.client,
            task: self.task,
        }
    }

    /// Returns whether the client has sent exactly `bytes` bytes to write, or accepts at least as many to read.
    fn matches_length(&self, write: bool, bytes: u64) -> bool {
        if write {
            self.data.len() as u64 == bytes
        } else {
            self.read_len as u64 >= bytes
        }
    }
}

impl Dispatcher {
    /// Handles a command: answers it, or splits it and passes its parts to the scheduler.
    pub(super) fn on_command(&mut self, scheduler: &mut Scheduler, request: ClientRequest) {
        let issuer = request.issuer();
        let parsed = scsi::parse_cdb(&request.cdb);
        let unit = request.lun.and_then(|lun| self.find_unit(lun));
        if let Some(transfer) = parsed.as_ref().ok().and_then(Transfer::of_command) {
            match self.admit_transfer(request, unit, &transfer) {
                Ok(command) => self.start_command(scheduler, command),
                Err(answer) => answers::send(&mut self.clients, issuer, answer),
            }
            return;
        }
        let volume = unit.map(|unit| unit.volume);
        let tree = self.mapped.as_ref().and_then(MappedVolumes::tree);
        let answer = parsed
            .and_then(|command| local_commands::answer(&mut self.units, tree, volume, command));
        let answer = match &answer {
            Ok(data) => Answer::Good(data),
            Err(sense) => Answer::CheckCondition(*sense),
        };
        answers::send(&mut self.clients, issuer, answer);
    }

    fn find_unit(&mut self, lun: u32) -> Option<ExportedUnit> {
        let tree = self.mapped.as_ref().and_then(MappedVolumes::tree);
        self.units.find(lun, tree)
    }

    /// Admits a read or write as a command in flight.
    ///
    /// # Errors
    /// The answer, if the command is answered at once.
    fn admit_transfer(
        &mut self,
        request: ClientRequest,
        unit: Option<ExportedUnit>,
        transfer: &Transfer,
    ) -> Result<CommandIndex, Answer<'static>> {
        let unit = unit.ok_or(Answer::CheckCondition(Sense::LOGICAL_UNIT_NOT_SUPPORTED))?;
        self.check_transfer(&request, &unit, transfer)?;
        let parts = self
            .units
            .split(&unit, transfer)
            .map_err(Answer::CheckCondition)?;
        let now = self.now;
        let admission = &self.clients.admission;
        let bytes = transfer.bytes(unit.block_size);
        if !admission.admits_commands(ticks_to_millis(now))
            || !self.block_ios.has_capacity_for(parts.len())
            || !self.clients.memory.admits_command(bytes)
        {
            return Err(Answer::TaskSetFull);
        }
        self.metrics.command_admitted();
        self.clients.memory.command_admitted(bytes);
        let ClientRequest { client, task, .. } = request;
        let command = self.commands.insert(NewCommand {
            issuer: Issuer { client, task },
            transfer: *transfer,
            block_size: unit.block_size,
            data: request.data,
            parts: parts.len() as u32,
        });
        self.clients
            .add_command(client, InFlightCommand { task, command });
        let parts = self
            .block_ios
            .insert_parts(command, &unit, transfer.write, parts, now);
        self.commands.set_part_ids(command, parts);
        Ok(command)
    }

    /// Checks a read or write.
    ///
    /// # Errors
    /// The answer, if there is nothing to send to a node.
    fn check_transfer(
        &self,
        request: &ClientRequest,
        unit: &ExportedUnit,
        transfer: &Transfer,
    ) -> Result<(), Answer<'static>> {
        let bytes = self
            .units
            .check_transfer(unit, transfer)
            .map_err(Answer::CheckCondition)?;
        if !request.matches_length(transfer.write, bytes) {
            return Err(Answer::CheckCondition(Sense::INVALID_FIELD_IN_CDB));
        }
        if transfer.blocks == 0 {
            return Err(Answer::Good(&[]));
        }
        Ok(())
    }

    /// Passes the parts of a new command to the scheduler. Parts of a mapped volume are looked up first.
    fn start_command(&mut self, scheduler: &mut Scheduler, command: CommandIndex) {
        for &id in self.commands.part_ids(command).as_slice() {
            let Some(part) = self.block_ios.part(id, command) else {
                continue;
            };
            let is_mapped = part.data.branch().is_some();
            self.block_ios.assign_sequence(id);
            if self.commands.is_answered(command) {
                // An earlier part has decided the answer, so this part is not needed.
                self.release(id);
            } else if is_mapped {
                self.look_up(scheduler, id);
            } else {
                self.pass_to_scheduler(scheduler, id);
            }
        }
    }

    /// Passes a block I/O to the scheduler.
    pub(super) fn pass_to_scheduler(&mut self, scheduler: &mut Scheduler, id: BioId) {
        let Some(io) = self.block_ios.get(id) else {
            return;
        };
        let is_requested_by_client = io.data.command().is_some();
        let volume_index = io.data.volume();
        let volume = self.units.volume(volume_index);
        let Some(bio) = self.block_ios.schedule(id, volume) else {
            return;
        };
        self.metrics.block_io_admitted(bio.class.into());
        if is_requested_by_client {
            self.metrics.units_requested(volume_index, bio.units);
        }
        let now = self.now;
        scheduler.on_arrival(self, now, bio);
    }

    /// Abandons a command whose client no longer waits for the answer.
    pub(super) fn abandon_command(&mut self, command: CommandIndex) {
        if self.commands.abandon(command) {
            self.metrics.command_abandoned();
            self.withdraw_parts(command);
        }
    }

    /// Withdraws the parts of a command that is answered or abandoned. Earlier parts may be released already.
    fn withdraw_parts(&mut self, command: CommandIndex) {
        for &id in self.commands.part_ids(command).as_slice() {
            let Some(part) = self.block_ios.part_mut(id, command) else {
                continue;
            };
            if !part.mark_answered() {
                continue;
            }
            if part.data.is_scheduled() {
                self.block_ios.driver_mut().queue_withdrawal(id);
            }
            // A part that waits for its location is released by the next lookup.
            if let Some(mapped) = &mut self.mapped {
                mapped.schedule_immediate_lookup(self.now);
            }
        }
    }

    /// Handles the completion of a block I/O.
    pub(super) fn on_completed(&mut self, id: BioId, data: Vec<u8>) {
        let Some(InFlight { data: io, .. }) = self.block_ios.get(id) else {
            return;
        };
        let latency = self.now - io.arrived();
        let objective = self.block_ios.class(io).latency_objective();
        self.metrics
            .block_io_completed(io.class(), latency, objective);
        let location = io.location();
        if let Some(extent) = io.copied_extent() {
            self.on_copy_step_completed(extent, location, data);
            return;
        }
        let volume = self.units.volume(io.volume());
        let units = self.block_ios.bio_builder().units(io, volume);
        self.metrics.units_completed(io.volume(), units);
        let Some(command) = io.command() else { return };
        let part = *io.request();
        let answer = self.commands.part_completed(command, &part, location, data);
        self.send_answer(command, answer);
    }

    /// Sends the answer to a command, if there is one.
    fn send_answer(&mut self, command: CommandIndex, answer: Option<CommandAnswer>) {
        let Some(answer) = answer else { return };
        self.metrics.command_answered(answer.outcome);
        if let Some(issuer) = answer.issuer {
            self.clients.remove_command(issuer.client, issuer.task);
            let answer = Answer::of_outcome(answer.outcome, &answer.data);
            answers::send(&mut self.clients, issuer, answer);
        }
        if answer.outcome != RequestOutcome::Completed {
            self.withdraw_parts(command);
        }
    }

    /// Finishes a block I/O that was shed or has failed, and answers its client if that decides the command.
    pub(super) fn answer_not_completed(&mut self, id: BioId, outcome: RequestOutcome) {
        let Some(io) = self.block_ios.get_mut(id).filter(|io| !io.is_answered()) else {
            return;
        };
        self.metrics
            .block_io_not_completed(io.data.class(), outcome);
        // A copy step has no client. Its copy fails when the step is released.
        let Some(command) = io.data.command() else {
            return;
        };
        io.mark_answered();
        let answer = self.commands.part_finished(command, outcome, Vec::new());
        self.send_answer(command, answer);
    }

    /// Releases a block I/O. Releasing the last part of a command also releases the command.
    pub(super) fn release(&mut self, id: BioId) {
        let Some(io) = self.block_ios.remove(id) else {
            return;
        };
        if let Some(extent) = io.data.copied_extent()
            && let Some(mapped) = &mut self.mapped
            && !io.is_answered()
        {
            mapped.on_copy_step_given_up(extent, ticks_to_millis(self.now));
        }
        if let Some(command) = io.data.command()
            && let Some(bytes) = self.commands.release_part(command)
        {
            self.clients.memory.command_released(bytes);
        }
    }
}
