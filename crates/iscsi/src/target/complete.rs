//! Completion of commands: SCSI Response and Data-In (sections 11.4 and 11.7).
use super::TargetConnection;
use super::task_table::Task;
use crate::pdu::{Bhs, MAX_RETRY_AFTER, RESERVED_TAG, flag, opcode};
use crate::scsi::{SENSE_LEN, Sense, status};
use std::num::NonZeroU16;

/// Difference between the length of data and the length that the initiator expected (section 11.4.5).
struct Residual {
    /// Difference in bytes.
    count: usize,
    /// `flag::UNDERFLOW` or `flag::OVERFLOW`; 0 for no difference.
    flag: u8,
}

impl Residual {
    const NONE: Residual = Residual { count: 0, flag: 0 };

    /// Returns the residual of a command that completes with `len` bytes of data.
    fn of_data(task: &Task, len: usize) -> Residual {
        if len > task.read_len {
            return Residual {
                count: len - task.read_len,
                flag: flag::OVERFLOW,
            };
        }
        if task.is_read && len < task.read_len {
            return Residual {
                count: task.read_len - len,
                flag: flag::UNDERFLOW,
            };
        }
        Residual::NONE
    }

    /// Returns the residual of a command that ends without data.
    fn of_no_data(task: &Task) -> Residual {
        match task.read_len {
            0 => Residual::NONE,
            count => Residual {
                count,
                flag: flag::UNDERFLOW,
            },
        }
    }
}

impl TargetConnection {
    fn remove_task(&mut self, task: u32) -> Option<Task> {
        self.tasks.remove(task as usize)
    }

    /// Completes a command with status GOOD. Sends `data`, which a read returns, up to the length that the initiator
    /// expects. Does nothing if the command was aborted.
    pub fn complete(&mut self, task: u32, data: &[u8]) {
        let Some(task) = self.remove_task(task) else {
            return;
        };
        let residual = Residual::of_data(&task, data.len());
        let data = &data[..data.len().min(task.read_len)];
        if data.is_empty() {
            let bhs = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL | residual.flag)
                .with_itt(task.itt)
                .with_residual_count(residual.count as u32);
            self.send_response(bhs, &[]);
        } else {
            self.send_data_in(task.itt, data, &residual);
        }
    }

    /// Sends data in Data-In PDUs, the last of which carries status GOOD.
    fn send_data_in(&mut self, itt: u32, data: &[u8], residual: &Residual) {
        let max_len = self.params.max_send_data_segment;
        let last_index = data.len().div_ceil(max_len) - 1;
        for (index, segment) in data.chunks(max_len).enumerate() {
            let is_last = index == last_index;
            let flags = if is_last {
                flag::FINAL | flag::STATUS | residual.flag
            } else {
                0
            };
            let bhs = Bhs::new(opcode::DATA_IN, flags)
                .with_itt(itt)
                .with_target_transfer_tag(RESERVED_TAG)
                .with_data_sn(index as u32)
                .with_buffer_offset((index * max_len) as u32);
            if is_last {
                self.send_response(bhs.with_residual_count(residual.count as u32), segment);
            } else {
                // The StatSN field is reserved in a Data-In without status (section 11.7).
                self.send_numbered(bhs, 0, segment);
            }
        }
    }

    /// Completes a command with a status other than GOOD. `retry_after` is the delay, in units of 100 ms, after which
    /// to retry on BUSY or TASK SET FULL, if known; it is sent only if the session has status qualifiers (RFC 7144).
    /// Does nothing if the command was aborted.
    pub fn complete_with_status(
        &mut self,
        task: u32,
        status: u8,
        sense: Option<Sense>,
        retry_after: Option<NonZeroU16>,
    ) {
        let Some(task) = self.remove_task(task) else {
            return;
        };
        let residual = Residual::of_no_data(&task);
        let retry_after = retry_after.filter(|_| self.params.has_status_qualifier());
        let qualifier = retry_after.map_or(0, |time| time.get().min(MAX_RETRY_AFTER));
        let bhs = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL | residual.flag)
            .with_status(status)
            .with_status_qualifier(qualifier)
            .with_itt(task.itt)
            .with_residual_count(residual.count as u32);
        match sense {
            Some(sense) => self.send_response(bhs, &sense_segment(sense)),
            None => self.send_response(bhs, &[]),
        }
    }

    /// Answers a command that was not added to the task table with CHECK CONDITION.
    pub(super) fn send_check_condition(&mut self, itt: u32, sense: Sense) {
        let bhs = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL)
            .with_status(status::CHECK_CONDITION)
            .with_itt(itt);
        self.send_response(bhs, &sense_segment(sense));
    }
}

/// Returns a data segment with the length of the sense data, followed by the sense data (section 11.4.7).
fn sense_segment(sense: Sense) -> [u8; 2 + SENSE_LEN] {
    let mut segment = [0; 2 + SENSE_LEN];
    segment[1] = SENSE_LEN as u8;
    segment[2..].copy_from_slice(&sense.to_fixed_format());
    segment
}
