//! The data of one write as it comes in: immediate data, unsolicited Data-Out, and bursts that R2Ts ask for (sections
//! 11.7 and 11.8).
use crate::error::ProtocolError;
use crate::pdu::{Bhs, Pdu, RESERVED_TAG};

/// How far the data of a command has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DataPhase {
    /// Unsolicited Data-Out may come.
    Unsolicited,
    /// An R2T is open.
    Solicited,
    /// The command and all its data were handed to the caller.
    Delivered,
}

/// A burst of data that an R2T asks for.
pub(super) struct Burst {
    /// Number of the R2T.
    pub(super) r2t_sn: u32,
    /// Buffer offset of the first byte.
    pub(super) offset: usize,
    /// Bytes to ask for.
    pub(super) len: usize,
}

/// The data of a write; of a command that writes nothing, none.
pub(super) struct WriteTransfer {
    /// Bytes that the command writes in all.
    total_len: usize,
    /// The data received so far, until it is delivered.
    data: Vec<u8>,
    phase: DataPhase,
    /// Buffer offset at which the present burst ends at the latest.
    burst_end: usize,
    /// Number of the next Data-Out PDU in its burst.
    next_data_sn: u32,
    /// Number of the next R2T.
    next_r2t_sn: u32,
}

impl WriteTransfer {
    /// Begins with the immediate data of a command. `unsolicited_len`: bytes that may come without an R2T.
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

    /// Whether the command and all its data were handed to the caller.
    pub(super) fn is_delivered(&self) -> bool {
        self.phase == DataPhase::Delivered
    }

    /// All the data, once it is there; it then counts as delivered.
    pub(super) fn deliver(&mut self) -> Option<Vec<u8>> {
        if self.data.len() < self.total_len {
            return None;
        }
        self.phase = DataPhase::Delivered;
        Some(std::mem::take(&mut self.data))
    }

    /// Opens the next burst, of `max_len` bytes at most.
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

    /// Takes a Data-Out PDU. `transfer_tag`: the tag of R2Ts for this command. Returns whether the PDU ends its burst.
    ///
    /// # Errors
    /// The PDU is not the one that comes next, or the burst is longer or shorter than was agreed.
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

    /// Checks that a Data-Out PDU is the one that comes next.
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
