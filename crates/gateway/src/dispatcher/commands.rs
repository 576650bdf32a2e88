//! Commands of clients, from their arrival to their answer.
use super::block_io::{BlockIo, Command, CommandIndex, MAX_BLOCK_IOS};
use super::exported_units::ExportedUnit;
use super::extent_copies::CopyState;
use super::{BlockIoIndex, Dispatcher};
use crate::client_connections::{ClientId, InFlightCommand};
use crate::clock::ticks_to_millis;
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::copy_budget::RETRY_DELAY;
use mallowseam_cow::split_write::SplitWrite;
use mallowseam_iscsi::scsi::{self, Sense, status};
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{Bio, BioId, KeyId, Tick, VolumeId};

/// Ticks in the unit of the retry delay in an answer: a tenth of a second (RFC 7144).
const RETRY_DELAY_UNIT: Tick = 1_000;
/// The longest retry delay that an answer can hold.
const MAX_RETRY_DELAY: Tick = 0x3fef;
/// Microseconds in a tick.
const MICROS_PER_TICK: u64 = 100;

/// A command as it comes from a client.
pub(super) struct ClientRequest {
    pub(super) client: ClientId,
    /// The initiator task tag.
    pub(super) task: u32,
    /// None: the LUN cannot be parsed.
    pub(super) lun: Option<u32>,
    pub(super) cdb: [u8; 16],
    /// Expected data-in length (RFC 7143, 11.3.4): bytes that the client takes at most.
    pub(super) read_len: usize,
    /// Bytes that it writes.
    pub(super) data: Vec<u8>,
}

/// Blocks that a command reads or writes.
struct Transfer {
    write: bool,
    lba: u64,
    blocks: u32,
    /// SCSI group number.
    group_number: u8,
}

impl Dispatcher {
    /// Answers a command, or splits it and passes its block I/Os to the scheduler.
    pub(super) fn on_command(&mut self, scheduler: &mut Scheduler, request: ClientRequest) {
        let parsed = scsi::parse_cdb(&request.cdb);
        let unit = request.lun.and_then(|lun| self.find_unit(lun));
        let transfer = match parsed {
            Ok(scsi::Command::Read {
                lba,
                blocks,
                group_number: group,
            }) => Transfer {
                write: false,
                lba,
                blocks,
                group_number: group,
            },
            Ok(scsi::Command::Write {
                lba,
                blocks,
                group_number: group,
            }) => Transfer {
                write: true,
                lba,
                blocks,
                group_number: group,
            },
            parsed => {
                let volume = unit.map(|unit| unit.volume);
                return self.answer_locally(request.client, request.task, volume, parsed);
            }
        };
        let Some(unit) = unit else {
            return self.reject(
                request.client,
                request.task,
                Sense::LOGICAL_UNIT_NOT_SUPPORTED,
            );
        };
        if let Err(sense) = self.check_transfer(&transfer, &unit, &request) {
            return self.reject(request.client, request.task, sense);
        }
        if transfer.blocks == 0 {
            return self.answer_good(request.client, request.task, &[]);
        }
        let mut sub_requests = std::mem::take(&mut self.sub_requests);
        let Transfer {
            write, lba, blocks, ..
        } = transfer;
        let split = self.volumes[unit.volume]
            .layout
            .split(write, lba, blocks, &mut sub_requests);
        if split.is_err() {
            self.reject(request.client, request.task, Sense::LBA_OUT_OF_RANGE);
        } else if !self.admits(sub_requests.len()) {
            // It was never admitted, so a retry is harmless.
            if let Some(session) = self.clients.session_mut(request.client) {
                session.complete_with_status(request.task, status::TASK_SET_FULL, None, 0);
            }
        } else {
            let command = self.insert_command(request, &transfer, &unit, &sub_requests);
            self.sub_requests = sub_requests;
            return self.start_command(scheduler, command);
        }
        self.sub_requests = sub_requests;
    }

    /// Whether a transfer is within the unit and the host's limits. Error: the sense to answer with.
    fn check_transfer(
        &self,
        transfer: &Transfer,
        unit: &ExportedUnit,
        request: &ClientRequest,
    ) -> Result<(), Sense> {
        let Transfer {
            write, lba, blocks, ..
        } = *transfer;
        if write && !unit.writable {
            return Err(Sense::WRITE_PROTECTED);
        }
        let volume = &self.volumes[unit.volume];
        let bytes = u64::from(blocks) * u64::from(volume.block_size);
        if lba
            .checked_add(blocks.into())
            .is_none_or(|end| end > volume.block_count)
        {
            return Err(Sense::LBA_OUT_OF_RANGE);
        }
        let fits_client = if write {
            request.data.len() as u64 == bytes
        } else {
            request.read_len as u64 >= bytes
        };
        if bytes > self.max_transfer_bytes || !fits_client {
            return Err(Sense::INVALID_FIELD_IN_CDB);
        }
        Ok(())
    }

    /// Whether a command of so many block I/Os is admitted now.
    fn admits(&self, sub_requests: usize) -> bool {
        self.clients
            .admission
            .admits_commands(ticks_to_millis(self.now))
            && self.block_ios.len() + sub_requests <= MAX_BLOCK_IOS
    }

    fn insert_command(
        &mut self,
        request: ClientRequest,
        transfer: &Transfer,
        unit: &ExportedUnit,
        sub_requests: &[SubRequest],
    ) -> CommandIndex {
        self.metrics.commands.admitted += 1;
        let block_size = self.volumes[unit.volume].block_size as usize;
        let count = sub_requests.len() as u32;
        let collects = !transfer.write && count > 1;
        let read = if collects {
            vec![0; transfer.blocks as usize * block_size]
        } else {
            Vec::new()
        };
        let ClientRequest {
            client, task, data, ..
        } = request;
        let index = self.commands.insert(Command {
            client: Some(client),
            task,
            progress: CommandProgress::new(count),
            first: None,
            unreleased: count,
            write: transfer.write,
            sub_requests: count,
            split_write: SplitWrite::default(),
            group_number: transfer.group_number,
            block_size,
            data: data.into(),
            read,
        });
        self.clients.add_command(
            client,
            InFlightCommand {
                task,
                command: index,
            },
        );
        let mut first = None;
        for sub_request in sub_requests.iter().rev() {
            first = Some(self.block_ios.insert(BlockIo {
                command: Some(index),
                next: first,
                lun: Some(unit.lun),
                branch: unit.branch.clone(),
                ..BlockIo::new(unit.volume, *sub_request, self.now)
            }));
        }
        self.commands.get_mut(index).expect("just inserted").first = first;
        index
    }

    /// Looks up the block I/Os of a new command, or passes them to the scheduler.
    fn start_command(&mut self, scheduler: &mut Scheduler, command: CommandIndex) {
        let mut next = self.commands.get(command).and_then(|command| command.first);
        while let Some(index) = next {
            let Some(io) = self.block_ios.get_mut(index) else {
                return;
            };
            next = io.next;
            self.last_sequence += 1;
            io.sequence = self.last_sequence;
            let mapped = io.branch.is_some();
            if self
                .commands
                .get(command)
                .is_some_and(|command| command.progress.is_answered())
            {
                // An earlier block I/O has decided the answer: this one is not passed to the scheduler.
                self.release(index);
            } else if mapped {
                self.look_up(scheduler, index);
            } else {
                self.pass_to_scheduler(scheduler, index);
            }
        }
    }

    /// Passes a block I/O to the scheduler.
    pub(super) fn pass_to_scheduler(&mut self, scheduler: &mut Scheduler, index: BlockIoIndex) {
        let Some(io) = self.block_ios.get_mut(index) else {
            return;
        };
        io.scheduled = true;
        let (request, volume) = (io.request, &self.volumes[io.volume]);
        let lun = io.lun.unwrap_or_default();
        let key = request
            .ordering_key
            .map(|key| KeyId(self.ordering_keys.intern(&(lun, key))));
        let bytes = u64::from(request.blocks) * u64::from(volume.block_size);
        let shard = match (io.location, io.copy) {
            (Some((_, location)), _) => Some(self.shards[location.node as usize]),
            // A new copy may go to any node.
            (None, Some(_)) => None,
            (None, None) => Some(request.shard),
        };
        let bio = Bio {
            id: BioId(index),
            class: request.class,
            plan: volume.plan,
            volume: VolumeId(io.volume as u32),
            key,
            deadline: io.arrived + self.classes[io.class()].deadline,
            units: bytes.div_ceil(self.unit_bytes) as f64,
            shard,
            hosts: volume.host_count,
        };
        self.metrics.classes[io.class()].counts.admitted += 1;
        if io.copy.is_none() {
            self.metrics.volumes[io.volume].requested += bio.units;
        }
        let now = self.now;
        scheduler.on_arrival(self, now, bio);
    }

    /// The client of a command does not wait for its answer any more.
    pub(super) fn abandon_command(&mut self, index: CommandIndex) {
        let command = self
            .commands
            .get_mut(index)
            .filter(|command| !command.progress.is_answered());
        let Some(command) = command else { return };
        command.progress.client_disconnected();
        command.client = None;
        self.metrics.commands.abandoned += 1;
        self.withdraw_block_ios(index);
    }

    /// The block I/Os of a command that is answered are of no more use.
    fn withdraw_block_ios(&mut self, command: CommandIndex) {
        let mut next = self.commands.get(command).and_then(|command| command.first);
        while let Some(index) = next {
            let io = self
                .block_ios
                .get_mut(index)
                .filter(|io| io.command == Some(command));
            let Some(io) = io else { return };
            next = io.next;
            if !io.answered {
                io.answered = true;
                if io.scheduled {
                    self.withdrawn.push_back(BioId(index));
                }
                // One that waits for its location is released by the next lookup.
                self.next_lookup = 0;
            }
        }
    }

    /// A block I/O has completed.
    pub(super) fn on_completed(&mut self, index: BlockIoIndex, data: Vec<u8>) {
        let io = self.block_ios.get(index).expect("in flight");
        let class = io.class();
        let metrics = &mut self.metrics.classes[class];
        metrics.counts.completed += 1;
        if io.copy.is_none() {
            let bytes =
                u64::from(io.request.blocks) * u64::from(self.volumes[io.volume].block_size);
            self.metrics.volumes[io.volume].completed += bytes.div_ceil(self.unit_bytes) as f64;
        }
        let latency = self.now - io.arrived;
        metrics.late += u64::from(latency > self.classes[class].latency_objective);
        metrics
            .latencies
            .saturating_record(latency.max(0) as u64 * MICROS_PER_TICK);
        match io.command {
            Some(command) => self.on_sub_request_completed(index, command, data),
            None => self.on_copy_step_completed(index, data),
        }
    }

    fn on_sub_request_completed(
        &mut self,
        index: BlockIoIndex,
        command_index: CommandIndex,
        mut data: Vec<u8>,
    ) {
        let io = self.block_ios.get(index).expect("in flight");
        let Some(command) = self.commands.get_mut(command_index) else {
            return;
        };
        if let Some(layer) = io.layer() {
            command.split_write.part_completed(layer);
        }
        if !command.write && !command.read.is_empty() {
            let first = io.request.offset as usize * command.block_size;
            let len = io.request.blocks as usize * command.block_size;
            command.read[first..first + len].copy_from_slice(&data);
            data = Vec::new();
        }
        self.finish_sub_request(command_index, RequestOutcome::Completed, &data);
    }

    /// A block I/O of a command is finished; the client gets its answer if this decides it.
    fn finish_sub_request(&mut self, index: CommandIndex, outcome: RequestOutcome, data: &[u8]) {
        let Some(command) = self.commands.get_mut(index) else {
            return;
        };
        let Some(answer) = command.progress.sub_request_finished(outcome) else {
            return;
        };
        let (client, task) = (command.client, command.task);
        let read = std::mem::take(&mut command.read);
        let counts = &mut self.metrics.commands;
        match answer {
            RequestOutcome::Completed => counts.completed += 1,
            RequestOutcome::Shed { .. } => counts.shed += 1,
            RequestOutcome::Failed => counts.failed += 1,
        }
        if let Some(client) = client {
            self.clients.remove_command(client, task);
            self.send_answer(
                client,
                task,
                answer,
                if read.is_empty() { data } else { &read },
            );
        }
        if answer != RequestOutcome::Completed {
            self.withdraw_block_ios(index);
        }
    }

    fn send_answer(&mut self, client: ClientId, task: u32, answer: RequestOutcome, data: &[u8]) {
        let Some(session) = self.clients.session_mut(client) else {
            return;
        };
        match answer {
            RequestOutcome::Completed => session.complete(task, data),
            RequestOutcome::Shed { retry_after } => {
                let delay = (retry_after + RETRY_DELAY_UNIT - 1) / RETRY_DELAY_UNIT;
                session.complete_with_status(
                    task,
                    status::BUSY,
                    None,
                    delay.clamp(0, MAX_RETRY_DELAY) as u16,
                );
            }
            RequestOutcome::Failed => {
                session.complete_with_status(
                    task,
                    status::CHECK_CONDITION,
                    Some(Sense::COMMUNICATION_TIMEOUT),
                    0,
                );
            }
        }
    }

    /// Answers the client of a block I/O that is shed or has failed.
    pub(super) fn answer_not_completed(&mut self, id: BioId, outcome: RequestOutcome) {
        let Some(io) = self.block_ios.get_mut(id.0).filter(|io| !io.answered) else {
            return;
        };
        // A step of a copy has no client: its copy is given up when the step is released.
        io.answered = io.copy.is_none();
        let counts = &mut self.metrics.classes[io.class()].counts;
        match outcome {
            RequestOutcome::Shed { .. } => counts.shed += 1,
            RequestOutcome::Completed | RequestOutcome::Failed => counts.failed += 1,
        }
        if let Some(command) = io.command {
            self.finish_sub_request(command, outcome, &[]);
        }
    }

    /// Releases a block I/O, and its command with the last one.
    pub(super) fn release(&mut self, index: BlockIoIndex) {
        let Some(io) = self.block_ios.remove(index) else {
            return;
        };
        if let Some(copy) = io.copy.and_then(|extent| self.copies.get_mut(&extent))
            && matches!(copy.state, CopyState::Reading | CopyState::Writing)
            && !io.answered
        {
            copy.state = CopyState::Failed {
                retry_at: ticks_to_millis(self.now) + RETRY_DELAY,
            };
        }
        let Some(command_index) = io.command else {
            return;
        };
        if let Some(command) = self.commands.get_mut(command_index) {
            command.unreleased -= 1;
            if command.unreleased == 0 {
                self.commands.remove(command_index);
            }
        }
    }

    /// Answers a command with status GOOD.
    pub(super) fn answer_good(&mut self, client: ClientId, task: u32, data: &[u8]) {
        if let Some(session) = self.clients.session_mut(client) {
            session.complete(task, data);
        }
    }

    /// Answers a command with CHECK CONDITION.
    pub(super) fn reject(&mut self, client: ClientId, task: u32, sense: Sense) {
        if let Some(session) = self.clients.session_mut(client) {
            session.complete_with_status(task, status::CHECK_CONDITION, Some(sense), 0);
        }
    }
}
