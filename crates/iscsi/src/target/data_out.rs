//! Reception of the data of writes: R2T and Data-Out (sections 11.7 and 11.8).
use super::{TargetConnection, TargetEvent};
use crate::error::ProtocolError;
use crate::pdu::{Bhs, Pdu, flag, opcode};

impl TargetConnection {
    /// Continues a command after a burst of data: requests the next burst, or delivers the command to the caller if all
    /// its data has been received.
    pub(super) fn request_data_or_deliver(&mut self, index: usize) {
        let Some(task) = self.tasks.get_mut(index) else {
            return;
        };
        if let Some(data) = task.write.deliver() {
            let event = TargetEvent::Command {
                task: index as u32,
                lun: task.lun,
                cdb: task.cdb,
                read_len: task.read_len,
                data,
            };
            self.events.push_back(event);
            return;
        }
        let burst = task.write.next_burst(self.params.max_burst_len);
        let bhs = Bhs::new(opcode::R2T, flag::FINAL)
            .with_lun(task.lun.unwrap_or(0))
            .with_itt(task.itt)
            .with_target_transfer_tag(index as u32)
            .with_data_sn(burst.r2t_sn)
            .with_buffer_offset(burst.offset as u32)
            .with_desired_data_len(burst.len as u32);
        self.send_request(bhs, &[]);
    }

    pub(super) fn on_data_out(&mut self, pdu: &Pdu) -> Result<(), ProtocolError> {
        // Data for a command that has been aborted or completed may still arrive.
        let Some(index) = self.tasks.index_of(pdu.bhs.itt()) else {
            return Ok(());
        };
        let Some(task) = self.tasks.get_mut(index) else {
            return Ok(());
        };
        if task.write.is_delivered() {
            return Ok(());
        }
        if task.write.receive(pdu, index as u32)? {
            self.request_data_or_deliver(index);
        }
        Ok(())
    }
}
