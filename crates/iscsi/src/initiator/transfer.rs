//! The data of one command at its initiator.
use super::Payload;
use crate::error::ProtocolError;
use crate::pdu::Bhs;

/// The data that a command reads.
pub(super) struct ReadTransfer {
    data: Vec<u8>,
    /// Bytes expected in all.
    expected_len: usize,
}

impl ReadTransfer {
    pub(super) fn new(expected_len: usize) -> Self {
        ReadTransfer {
            data: Vec::new(),
            expected_len,
        }
    }

    /// Takes the data of a Data-In PDU.
    ///
    /// # Errors
    /// It is not the data that comes next, or more than was expected.
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
            // The usual case, all data in one PDU: its buffer is handed on without a copy.
            self.data = data;
            return Ok(());
        }
        if received == 0 {
            self.data.reserve_exact(self.expected_len);
        }
        self.data.extend_from_slice(&data);
        Ok(())
    }

    /// Drops what was received: nobody takes it any more.
    pub(super) fn discard(&mut self) {
        self.data = Vec::new();
    }

    pub(super) fn into_data(self) -> Vec<u8> {
        self.data
    }
}

/// The data that a command writes.
pub(super) struct WriteTransfer {
    data: Payload,
    /// Bytes sent so far.
    sent: usize,
}

/// A part of a command's data, for one Data-Out PDU.
pub(super) struct Segment<'a> {
    pub(super) offset: usize,
    pub(super) bytes: &'a [u8],
    /// Whether it ends its burst.
    pub(super) is_last: bool,
}

impl WriteTransfer {
    /// Of data whose first `sent` bytes go out with the command itself.
    pub(super) fn new(data: Payload, sent: usize) -> Self {
        WriteTransfer { data, sent }
    }

    /// The next part of a burst that ends at an offset, of `max_len` bytes at most. None: all of it was sent.
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

    /// The offset at which a burst ends that an R2T asks for.
    ///
    /// # Errors
    /// It asks for no data, or for other data than the next.
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

    /// Drops the data: nothing more of it is sent.
    pub(super) fn discard(&mut self) {
        self.data = Payload::default();
    }
}

#[cfg(test)]
mod tests;
