//! Reception of the data of a write: immediate data, unsolicited Data-Out, and bursts that R2Ts request (sections 11.7
//! and 11.8).
use crate::error::ProtocolError;
use crate::pdu::{Bhs, Pdu, RESERVED_TAG};

/// Phase of the data transfer of a command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DataPhase {
    /// Immediate and unsolicited data may be received.
    Unsolicited,
    /// An R2T is outstanding.
    Solicited,
    /// The command and all its data were delivered to the caller.
    Delivered,
}

/// Burst of data that an R2T requests.
pub(super) struct Burst {
    /// `R2TSN` of the R2T.
    pub(super) r2t_sn: u32,
    /// Buffer offset of the first byte.
    pub(super) offset: usize,
    /// Number of bytes to request.
    pub(super) len: usize,
}

/// Transfer of the data of a command; empty for a command that does not write.
pub(super) struct WriteTransfer {
    /// Total number of bytes that the command writes.
    total_len: usize,
    /// Data received so far, until it is delivered.
    data: Vec<u8>,
    phase: DataPhase,
    /// Buffer offset at which the current burst ends at the latest.
    burst_end: usize,
    /// `DataSN` of the next Data-Out PDU in the current burst.
    next_data_sn: u32,
    /// `R2TSN` of the next R2T.
    next_r2t_sn: u32,
}

impl WriteTransfer {
    /// Returns the transfer of a command with its immediate data. `unsolicited_len` is the number of bytes, with the
    /// immediate data, that may be received without an R2T.
    pub(super) fn new(mut immediate: Vec<u8>, total_len: usize, unsolicited_len: usize) -> Self {
        if immediate.len() < total_len {
            immediate.reserve_exact(total_len - immediate.len());
        }
        WriteTransfer {
            total_len,
            data: immediate,
            phase: DataPhase::Unsolicited,
            burst_end: unsolicited_len,
            next_data_sn: 0,
            next_r2t_sn: 0,
        }
    }

    /// Returns the number of bytes received so far; 0 once they were delivered.
    pub(super) fn received_bytes(&self) -> usize {
        self.data.len()
    }

    /// Returns whether the command and all its data were delivered to the caller.
    pub(super) fn is_delivered(&self) -> bool {
        self.phase == DataPhase::Delivered
    }

    /// Returns the data and marks it as delivered, or returns `None` if it has not been received completely.
    pub(super) fn deliver(&mut self) -> Option<Vec<u8>> {
        if self.data.len() < self.total_len {
            return None;
        }
        self.phase = DataPhase::Delivered;
        Some(std::mem::take(&mut self.data))
    }

    /// Starts the next burst, of up to `max_len` bytes.
    pub(super) fn next_burst(&mut self, max_len: usize) -> Burst {
        let offset = self.data.len();
        let len = (self.total_len - offset).min(max_len);
        let r2t_sn = self.next_r2t_sn;
        self.burst_end = offset + len;
        self.phase = DataPhase::Solicited;
        self.next_data_sn = 0;
        self.next_r2t_sn += 1;
        Burst {
            r2t_sn,
            offset,
            len,
        }
    }

    /// Receives a Data-Out PDU. `transfer_tag` is the target transfer tag of R2Ts for this command. Returns whether the
    /// PDU ends its burst.
    ///
    /// # Errors
    /// Fails if the PDU is not the one that comes next, or the burst is longer or shorter than allowed.
    pub(super) fn receive(&mut self, pdu: &Pdu, transfer_tag: u32) -> Result<bool, ProtocolError> {
        self.check_next(&pdu.bhs, pdu.data.len(), transfer_tag)?;
        self.data.extend_from_slice(&pdu.data);
        self.next_data_sn += 1;
        let is_solicited = self.phase == DataPhase::Solicited;
        let is_complete = self.data.len() == self.burst_end;
        let is_final = pdu.bhs.is_final();
        if is_solicited && is_final && !is_complete {
            return Err(ProtocolError::BurstTooShort);
        }
        if is_solicited && is_complete && !is_final {
            return Err(ProtocolError::BurstNotEnded);
        }
        Ok(is_final)
    }

    /// Checks that a Data-Out PDU is the one that comes next and stays within its burst.
    fn check_next(&self, bhs: &Bhs, len: usize, transfer_tag: u32) -> Result<(), ProtocolError> {
        let tag = bhs.target_transfer_tag();
        let expected_tag = match self.phase {
            DataPhase::Solicited => transfer_tag,
            DataPhase::Unsolicited | DataPhase::Delivered => RESERVED_TAG,
        };
        if tag != expected_tag {
            return Err(ProtocolError::UnknownTransferTag { tag });
        }
        let offset = bhs.buffer_offset() as usize;
        let received = self.data.len();
        if bhs.data_sn() != self.next_data_sn || offset != received {
            return Err(ProtocolError::WriteDataOutOfOrder {
                offset,
                expected: received,
            });
        }
        if offset + len > self.burst_end {
            return Err(ProtocolError::DataPastBurst {
                end: offset + len,
                limit: self.burst_end,
            });
        }
        if len == 0 && !bhs.is_final() {
            return Err(ProtocolError::EmptyDataOut);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
