//! PDUs to a byte stream.
use super::{Digests, data_digest, padded};
use crate::pdu::Bhs;

/// Largest allocation in bytes that an empty buffer keeps for the next PDUs; also how many sent bytes are
/// left at its front before the rest is moved down.
const RETAINED_CAPACITY: usize = 16 * 1024;

/// Encoded PDUs that wait to be written to a stream, with their position in it.
#[derive(Default)]
pub struct SendBuffer {
    bytes: Vec<u8>,
    /// Index of the first unsent byte.
    start: usize,
    sent: u64,
    digests: Digests,
}

impl SendBuffer {
    /// Sets what was negotiated, with effect from the next PDU on.
    pub fn set_digests(&mut self, digests: Digests) {
        self.digests = digests;
    }

    /// Appends a PDU. Sets the data segment length in its header.
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

    /// The bytes that wait to be written.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Takes note that the first `len` unsent bytes were written.
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

    /// Bytes written since the stream opened.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// Offset in the stream of the next byte that is pushed.
    pub fn end_offset(&self) -> u64 {
        self.sent + self.unsent().len() as u64
    }

    /// Bytes of memory allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}
