//! SCSI commands of a stand-in node.
use super::queue::{PendingProtect, QueuedCommand, TaskRef};
use super::server::{Server, Transfer};
use crate::trace::TraceEvent;
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, Sense, status};
use rand::RngExt;

/// The logical unit that a node presents whatever its number.
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
                    self.report_mapped(origin, lun, lba, allocation_len);
                }
                Ok(Command::Unmap) => self.unmap(origin, lun, &data),
                other => self.report_unit(origin, read_len, &other),
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
        if wrong_length || self.rng.random::<f64>() < self.faults.error_rate {
            return self.answer(origin, status::CHECK_CONDITION, &[]);
        }
        if transfer.write && self.faults.full && !self.blocks.contains_key(&(lun, transfer.lba)) {
            return self.answer(origin, status::CHECK_CONDITION, &[]);
        }
        if self.waiting.len() >= self.model.queue {
            return self.answer(origin, status::TASK_SET_FULL, &[]);
        }
        let work = units * self.model.unit_work * self.rng.random_range(0.8..1.2);
        self.waiting.push_back(QueuedCommand {
            origin,
            lun,
            transfer,
            data,
            work,
            orphan: false,
        });
    }

    /// Queues an aborted command that may have been started before its abort.
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
        if self.waiting.len() < self.model.queue && data.len() as u64 == transfer.bytes() {
            let work = self.model.unit_work;
            self.waiting.push_back(QueuedCommand {
                origin,
                lun,
                transfer,
                data,
                work,
                orphan: true,
            });
        }
    }

    /// Sets or clears write protection. Set, it is answered once running writes are over, so that none lands later.
    fn set_write_protect(&mut self, origin: TaskRef, lun: u32, data: &[u8]) {
        match scsi::parse_write_protect(data) {
            Some(true) => {
                self.protected.insert(lun);
                self.pending_protects.push(PendingProtect { origin, lun });
                self.complete_protects();
            }
            Some(false) => {
                self.protected.remove(&lun);
                self.answer(origin, status::GOOD, &[]);
            }
            None => self.fail(origin, Sense::INVALID_FIELD_IN_CDB),
        }
    }

    fn unmap(&mut self, origin: TaskRef, lun: u32, data: &[u8]) {
        let Some(runs) = scsi::parse_unmap(data) else {
            return self.fail(origin, Sense::INVALID_FIELD_IN_CDB);
        };
        for (lba, blocks) in runs {
            let unmapped = lba..lba + u64::from(blocks);
            self.blocks
                .retain(|(unit, block), _| *unit != lun || !unmapped.contains(block));
        }
        if let Some(session) = self.clients.session_mut(origin.client) {
            session.complete(origin.task, &[]);
        }
    }

    /// Reports the runs of stored blocks from an address on.
    fn report_mapped(&mut self, origin: TaskRef, lun: u32, from: u64, allocation_len: usize) {
        let mut mapped: Vec<u64> = self
            .blocks
            .keys()
            .filter(|(unit, lba)| *unit == lun && *lba >= from)
            .map(|(_, lba)| *lba)
            .collect();
        mapped.sort_unstable();
        let mut runs: Vec<(u64, u32)> = Vec::new();
        for lba in mapped {
            match runs.last_mut() {
                Some((first, count)) if *first + u64::from(*count) == lba => *count += 1,
                _ => runs.push((lba, 1)),
            }
        }
        let data = scsi::lba_status_data(&runs, allocation_len);
        if let Some(session) = self.clients.session_mut(origin.client) {
            session.complete(origin.task, &data);
        }
    }

    /// Answers the commands that describe the logical unit.
    fn report_unit(&mut self, origin: TaskRef, read_len: usize, command: &Result<Command, Sense>) {
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
        if let Some(session) = self.clients.session_mut(origin.client) {
            session.complete(origin.task, &data[..data.len().min(read_len)]);
        }
    }

    /// Fails a command without a record of it.
    pub(super) fn fail(&mut self, origin: TaskRef, sense: Sense) {
        if let Some(session) = self.clients.session_mut(origin.client) {
            session.complete_with_status(origin.task, status::CHECK_CONDITION, Some(sense), 0);
        }
    }

    /// Answers a read or write, and records the answer.
    pub(super) fn answer(&mut self, origin: TaskRef, status: u8, data: &[u8]) {
        let TaskRef {
            client,
            connection,
            task,
        } = origin;
        // The client id may belong to another connection by now.
        if self
            .sessions
            .get(&client)
            .is_none_or(|session| session.connection != connection)
        {
            return;
        }
        let Some(session) = self.clients.session_mut(client) else {
            return;
        };
        self.trace.record(TraceEvent::NodeAnswered {
            node: self.index,
            connection,
            task,
            status,
        });
        match status {
            status::GOOD => session.complete(task, data),
            status::CHECK_CONDITION => {
                session.complete_with_status(task, status, Some(Sense::UNRECOVERED_READ_ERROR), 0);
            }
            _ => session.complete_with_status(task, status, None, 0),
        }
    }
}
