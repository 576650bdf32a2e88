//! Reception, execution and answers of the SCSI commands of a stand-in node.
use super::Server;
use crate::node::queue::QueuedCommand;
use crate::node::transfer::{TaskRef, Transfer};
use mallowseam_audit::trace::{Micros, TraceEvent};
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, Sense, status};
use rand::RngExt;

/// Shortest work that occupies a core, in microseconds; a command with less work completes at once.
const MIN_WORK: f64 = 1.0;

/// Logical unit that a node presents under every logical unit number.
const LOGICAL_UNIT: LogicalUnit<'static> = LogicalUnit {
    blocks: 1 << 40,
    block_size: 512,
    product: "stand-in",
    serial: "node",
    max_transfer_blocks: 1 << 14,
};

impl Server {
    pub(super) fn on_command(
        &mut self,
        origin: TaskRef,
        lun: u32,
        cdb: &[u8; 16],
        read_len: usize,
        data: Vec<u8>,
    ) {
        match Transfer::parse(cdb) {
            Some(transfer) => self.on_transfer(origin, lun, transfer, data),
            None => match scsi::parse_cdb(cdb) {
                Ok(Command::ModeSelect) => self.set_write_protect(origin, lun, &data),
                Ok(Command::GetLbaStatus {
                    lba,
                    allocation_len,
                }) => {
                    self.report_lba_status(origin, lun, lba, allocation_len);
                }
                Ok(Command::Unmap) => self.unmap(origin, lun, &data),
                other => self.report_logical_unit(origin, read_len, &other),
            },
        }
    }

    fn on_transfer(&mut self, origin: TaskRef, lun: u32, transfer: Transfer, data: Vec<u8>) {
        let bytes = transfer.bytes();
        let units = bytes.div_ceil(self.model.unit_bytes).max(1) as f64;
        if self.overload(units) {
            return;
        }
        let wrong_length = transfer.write && data.len() as u64 != bytes;
        if wrong_length || self.rng.random::<f64>() < self.faults.error_rate() {
            return self.answer(origin, status::CHECK_CONDITION, &[]);
        }
        if transfer.write && self.faults.is_full() && !self.store.holds(lun, transfer.lba) {
            return self.answer(origin, status::CHECK_CONDITION, &[]);
        }
        if self.queue.is_full() {
            return self.answer(origin, status::TASK_SET_FULL, &[]);
        }
        let work = units * self.model.unit_work * self.rng.random_range(0.8..1.2);
        self.queue.push(QueuedCommand {
            origin,
            lun,
            transfer,
            data,
            work,
            orphan: false,
        });
    }

    /// Queues a command that was aborted while the node was silent and may have been started before. It is executed
    /// without an answer.
    pub(super) fn queue_orphan(
        &mut self,
        origin: TaskRef,
        lun: u32,
        cdb: &[u8; 16],
        data: Vec<u8>,
    ) {
        let Some(transfer) = Transfer::parse(cdb) else {
            return;
        };
        if !self.queue.is_full() && data.len() as u64 == transfer.bytes() {
            let work = self.model.unit_work;
            self.queue.push(QueuedCommand {
                origin,
                lun,
                transfer,
                data,
                work,
                orphan: true,
            });
        }
    }

    /// Sets or clears write protection. Setting it is answered once all running writes have ended, so that none is
    /// stored later.
    fn set_write_protect(&mut self, origin: TaskRef, lun: u32, data: &[u8]) {
        match scsi::parse_write_protect(data) {
            Some(true) => {
                self.protection.protect(origin, lun);
                self.complete_protects();
            }
            Some(false) => {
                self.protection.unprotect(lun);
                self.answer(origin, status::GOOD, &[]);
            }
            None => self.fail(origin, Sense::INVALID_FIELD_IN_CDB),
        }
    }

    fn unmap(&mut self, origin: TaskRef, lun: u32, data: &[u8]) {
        let Some(ranges) = scsi::parse_unmap(data) else {
            return self.fail(origin, Sense::INVALID_FIELD_IN_CDB);
        };
        self.store.unmap(lun, ranges);
        if let Some(connection) = self.connections.connection_mut(origin.client) {
            connection.complete(origin.task, &[]);
        }
    }

    /// Answers with the ranges of stored blocks from an address on.
    fn report_lba_status(&mut self, origin: TaskRef, lun: u32, from: u64, allocation_len: usize) {
        let ranges = self.store.stored_ranges(lun, from);
        let data = scsi::lba_status_data(&ranges, allocation_len);
        if let Some(connection) = self.connections.connection_mut(origin.client) {
            connection.complete(origin.task, &data);
        }
    }

    /// Answers the commands that describe the logical unit.
    fn report_logical_unit(
        &mut self,
        origin: TaskRef,
        read_len: usize,
        command: &Result<Command, Sense>,
    ) {
        let data = match command {
            Ok(Command::TestUnitReady | Command::SynchronizeCache { .. }) => Some(Vec::new()),
            Ok(Command::Inquiry { page, .. }) => LOGICAL_UNIT.inquiry(*page),
            Ok(Command::ReadCapacity16 { .. }) => Some(LOGICAL_UNIT.read_capacity_16()),
            Ok(Command::ReadCapacity10) => Some(LOGICAL_UNIT.read_capacity_10()),
            _ => None,
        };
        let Some(data) = data else {
            return self.fail(origin, Sense::INVALID_OPERATION_CODE);
        };
        if let Some(connection) = self.connections.connection_mut(origin.client) {
            connection.complete(origin.task, &data[..data.len().min(read_len)]);
        }
    }

    /// Fails a command, and records nothing in the trace.
    fn fail(&mut self, origin: TaskRef, sense: Sense) {
        if let Some(connection) = self.connections.connection_mut(origin.client) {
            connection.complete_with_status(
                origin.task,
                status::CHECK_CONDITION,
                Some(sense),
                None,
            );
        }
    }

    /// Answers a command, and records the answer in the trace.
    fn answer(&mut self, origin: TaskRef, status: u8, data: &[u8]) {
        // Another connection may have the client id by now.
        if !self.connections.is_open(origin) {
            return;
        }
        let Some(connection) = self.connections.connection_mut(origin.client) else {
            return;
        };
        self.trace.record(TraceEvent::NodeAnswered {
            node: self.index,
            connection: origin.connection,
            task: origin.task,
            status,
        });
        match status {
            status::GOOD => connection.complete(origin.task, data),
            status::CHECK_CONDITION => {
                let sense = Some(Sense::UNRECOVERED_READ_ERROR);
                connection.complete_with_status(origin.task, status, sense, None);
            }
            _ => connection.complete_with_status(origin.task, status, None, None),
        }
    }

    /// Completes the commands that are due, and starts waiting commands on free cores.
    pub(super) fn serve(&mut self) {
        if self.faults.is_frozen() {
            return;
        }
        let now = self.trace.now();
        while let Some(done) = self.queue.take_due(now) {
            self.finish(&done);
        }
        while let Some(command) = self.queue.take_startable() {
            self.start(command, now);
        }
    }

    fn start(&mut self, command: QueuedCommand, now: Micros) {
        if command.transfer.write && self.protection.is_protected(command.lun) {
            return self.reject_write_protected(&command);
        }
        let speed = self.lifecycle().speed_fraction(now, &self.model);
        let work = command.work * self.faults.slowdown() / speed;
        if work < MIN_WORK {
            self.finish(&command);
        } else {
            self.queue.run(command, now + work as Micros);
        }
    }

    fn reject_write_protected(&mut self, command: &QueuedCommand) {
        if command.orphan || !self.connections.is_open(command.origin) {
            return;
        }
        // The command is not executed, so the trace shows it as rejected.
        self.trace.record(TraceEvent::NodeAnswered {
            node: self.index,
            connection: command.origin.connection,
            task: command.origin.task,
            status: status::BUSY,
        });
        self.fail(command.origin, Sense::WRITE_PROTECTED);
    }

    fn finish(&mut self, command: &QueuedCommand) {
        let mut data = Vec::new();
        if command.transfer.write {
            self.store
                .write(command.lun, &command.transfer, &command.data);
        } else {
            data = self.store.read(command.lun, &command.transfer);
        }
        self.complete_protects();
        if !command.orphan && self.rng.random::<f64>() >= self.faults.loss_rate() {
            self.answer(command.origin, status::GOOD, &data);
        }
    }

    /// Answers requests for write protection whose logical unit has no running writes left.
    fn complete_protects(&mut self) {
        for origin in self.protection.take_complete(&self.queue) {
            self.answer(origin, status::GOOD, &[]);
        }
    }

    /// Counts the units that a node in slow start receives. Returns true if they overloaded it, in which case it has
    /// crashed.
    fn overload(&mut self, units: f64) -> bool {
        let lifecycle = *self.lifecycle();
        let now = self.trace.now();
        let overloaded = self.slow_start.receive(units, now, lifecycle, &self.model);
        if overloaded {
            self.trace
                .record(TraceEvent::NodeOverloaded { node: self.index });
            self.crash();
        }
        overloaded
    }
}
