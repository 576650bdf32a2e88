//! Encoding of PDUs into a byte stream.
use super::{Digests, data_digest, padded};
use crate::pdu::Bhs;

/// Largest allocation that an empty buffer keeps for the next PDUs, in bytes. Also the number of sent bytes that
/// may stay at the front of a buffer before the unsent ones are moved there.
const RETAINED_CAPACITY: usize = 16 * 1024;

/// Encoded PDUs that are waiting to be written to a stream, with their position in it.
#[derive(Default)]
pub struct SendBuffer {
    bytes: Vec<u8>,
    /// Index of the first unsent byte.
    start: usize,
    /// Bytes written since the stream opened.
    sent: u64,
    digests: Digests,
}

impl SendBuffer {
    /// Sets the negotiated digests, with effect from the next PDU on.
    pub fn set_digests(&mut self, digests: Digests) {
        self.digests = digests;
    }

    /// Appends a PDU, after setting the data segment length in its header.
    pub fn push(&mut self, mut bhs: Bhs, data: &[u8]) {
        bhs.set_data_len(data.len());
        self.bytes.extend_from_slice(bhs.as_bytes());
        if self.digests.header {
            self.bytes
                .extend_from_slice(&crc32c::crc32c(bhs.as_bytes()).to_le_bytes());
        }
        if data.is_empty() {
            return;
        }
        let padding = &[0; 3][..padded(data.len()) - data.len()];
        self.bytes.extend_from_slice(data);
        self.bytes.extend_from_slice(padding);
        if self.digests.data {
            self.bytes.extend_from_slice(&data_digest(data, padding));
        }
    }

    /// Returns the bytes that are waiting to be written.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Records that the first `len` unsent bytes have been written.
    pub fn mark_sent(&mut self, len: usize) {
        self.start += len;
        self.sent += len as u64;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        } else if self.start > RETAINED_CAPACITY {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    /// Drops the unsent bytes from a stream offset on.
    pub fn truncate(&mut self, offset: u64) {
        let kept = offset.saturating_sub(self.sent) as usize;
        self.bytes.truncate(self.start + kept);
        self.mark_sent(0);
    }

    /// Returns the number of bytes written since the stream opened.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// Returns the stream offset of the next byte to be appended.
    pub fn end_offset(&self) -> u64 {
        self.sent + self.unsent().len() as u64
    }

    /// Returns the memory allocated for the buffer, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}
