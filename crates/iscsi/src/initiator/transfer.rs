//! Data transfer of a command at its initiator.
use super::Payload;
use crate::error::ProtocolError;
use crate::pdu::Bhs;

/// Data that a command reads.
pub(super) struct ReadTransfer {
    data: Vec<u8>,
    /// Total number of bytes expected.
    expected_len: usize,
}

impl ReadTransfer {
    pub(super) fn new(expected_len: usize) -> Self {
        ReadTransfer {
            data: Vec::new(),
            expected_len,
        }
    }

    /// Appends the data of a Data-In PDU.
    ///
    /// # Errors
    /// Fails if the data is not the data that comes next, or exceeds the expected length.
    pub(super) fn receive(&mut self, bhs: &Bhs, data: Vec<u8>) -> Result<(), ProtocolError> {
        let received = self.data.len();
        let is_next = bhs.buffer_offset() as usize == received;
        if !is_next || received + data.len() > self.expected_len {
            return Err(ProtocolError::ReadDataOutOfOrder {
                offset: bhs.buffer_offset(),
                expected: received,
            });
        }
        if received == 0 && data.len() == self.expected_len {
            // In the usual case all data is in one PDU, whose buffer is kept without a copy.
            self.data = data;
            return Ok(());
        }
        if received == 0 {
            self.data.reserve_exact(self.expected_len);
        }
        self.data.extend_from_slice(&data);
        Ok(())
    }

    /// Drops the data received so far, which is no longer needed.
    pub(super) fn discard(&mut self) {
        self.data = Vec::new();
    }

    pub(super) fn into_data(self) -> Vec<u8> {
        self.data
    }
}

/// Data that a command writes.
pub(super) struct WriteTransfer {
    data: Payload,
    /// Number of bytes sent so far.
    sent: usize,
}

/// Part of the data of a command, for one Data-Out PDU.
pub(super) struct Segment<'a> {
    /// Buffer offset of the first byte.
    pub(super) offset: usize,
    pub(super) bytes: &'a [u8],
    /// Whether the segment is the last of its burst.
    pub(super) is_last: bool,
}

impl WriteTransfer {
    /// Returns the transfer of `data`, of which the first `sent` bytes are sent with the command itself.
    pub(super) fn new(data: Payload, sent: usize) -> Self {
        WriteTransfer { data, sent }
    }

    /// Returns the next segment, of up to `max_len` bytes, of a burst that ends at buffer offset `end`; `None` if all
    /// of the burst has been sent.
    pub(super) fn next_segment(&mut self, end: usize, max_len: usize) -> Option<Segment<'_>> {
        let offset = self.sent;
        let len = end.checked_sub(offset)?.min(max_len);
        let bytes = self.data.bytes().get(offset..offset + len)?;
        if bytes.is_empty() {
            return None;
        }
        self.sent = offset + len;
        Some(Segment {
            offset,
            bytes,
            is_last: self.sent == end,
        })
    }

    /// Returns the buffer offset at which the burst that an R2T requests ends.
    ///
    /// # Errors
    /// Fails if the R2T requests no data, or data other than that which comes next.
    pub(super) fn burst_end(&self, r2t: &Bhs) -> Result<usize, ProtocolError> {
        let offset = r2t.buffer_offset() as usize;
        let len = r2t.desired_data_len() as usize;
        if offset != self.sent || offset + len > self.data.bytes().len() || len == 0 {
            return Err(ProtocolError::InvalidReadyToTransfer {
                len,
                offset,
                sent: self.sent,
            });
        }
        Ok(offset + len)
    }

    /// Drops the data, of which nothing more is to be sent.
    pub(super) fn discard(&mut self) {
        self.data = Payload::default();
    }
}

#[cfg(test)]
mod tests;
