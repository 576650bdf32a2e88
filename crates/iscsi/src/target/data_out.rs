//! The data of writes: R2T and Data-Out (sections 11.7 and 11.8).
use super::task_table::{DataPhase, Task};
use super::{TargetConnection, TargetEvent};
use crate::error::ProtocolError;
use crate::pdu::{Bhs, Pdu, RESERVED_TAG, flag, opcode};

impl TargetConnection {
    /// Goes on with a command behind a burst of data: asks for the next burst, or hands the command to the
    /// caller once all its data is there.
    pub(super) fn request_data_or_deliver(&mut self, index: usize) {
        let Some(task) = self.tasks.get_mut(index) else {
            return;
        };
        let received = task.write_data.len();
        if received >= task.write_len {
            task.phase = DataPhase::Delivered;
            let event = TargetEvent::Command {
                task: index as u32,
                lun: task.lun,
                cdb: task.cdb,
                read_len: task.read_len,
                data: std::mem::take(&mut task.write_data),
            };
            self.events.push_back(event);
            return;
        }
        let len = (task.write_len - received).min(self.params.max_burst_len);
        task.burst_end = received + len;
        task.phase = DataPhase::Solicited;
        task.next_data_sn = 0;
        let bhs = Bhs::new(opcode::R2T, flag::FINAL)
            .with_lun(task.lun.unwrap_or(0))
            .with_itt(task.itt)
            .with_target_transfer_tag(index as u32)
            .with_data_sn(task.next_r2t_sn)
            .with_buffer_offset(received as u32)
            .with_desired_data_len(len as u32);
        task.next_r2t_sn += 1;
        self.send_request(bhs, &[]);
    }

    pub(super) fn on_data_out(&mut self, pdu: &Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        // Data may still be in transit for a command that was aborted or completed meanwhile.
        let Some(index) = self.tasks.index_of(bhs.itt()) else {
            return Ok(());
        };
        let Some(task) = self.tasks.get_mut(index) else {
            return Ok(());
        };
        if task.phase == DataPhase::Delivered {
            return Ok(());
        }
        check_data_out(task, index, &bhs, pdu.data.len())?;
        task.write_data.extend_from_slice(&pdu.data);
        task.next_data_sn += 1;
        let solicited = task.phase == DataPhase::Solicited;
        let burst_complete = task.write_data.len() == task.burst_end;
        match (bhs.is_final(), burst_complete) {
            (true, false) if solicited => return Err(ProtocolError::BurstTooShort),
            (true, _) => self.request_data_or_deliver(index),
            (false, true) if solicited => return Err(ProtocolError::BurstNotEnded),
            (false, _) => {}
        }
        Ok(())
    }
}

/// Checks that a Data-Out PDU is the one that comes next for its task.
fn check_data_out(task: &Task, index: usize, bhs: &Bhs, len: usize) -> Result<(), ProtocolError> {
    let tag = bhs.target_transfer_tag();
    let expected_tag = match task.phase {
        DataPhase::Solicited => index as u32,
        DataPhase::Unsolicited | DataPhase::Delivered => RESERVED_TAG,
    };
    if tag != expected_tag {
        return Err(ProtocolError::UnknownTransferTag { tag });
    }
    let (offset, received) = (bhs.buffer_offset() as usize, task.write_data.len());
    if bhs.data_sn() != task.next_data_sn || offset != received {
        return Err(ProtocolError::WriteDataOutOfOrder {
            offset,
            expected: received,
        });
    }
    if offset + len > task.burst_end {
        return Err(ProtocolError::DataPastBurst {
            end: offset + len,
            limit: task.burst_end,
        });
    }
    if len == 0 && !bhs.is_final() {
        return Err(ProtocolError::EmptyDataOut);
    }
    Ok(())
}
