//! Buffer of the bytes read of a response on a connection to a node.
use crate::buffers::{RESPONSE_LIMITS, recycle};
use mallowseam_http1::{MessageSpan, ParseError, ResponseHead, ResponseReader};
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use std::io::Read;

#[cfg(test)]
mod tests;

/// Maximum number of bytes of one read while the length of a response is unknown: enough for a usual response.
const UNKNOWN_LENGTH_READ_BYTES: usize = 16 * 1024;

/// Bytes read of a response, and the state of its parser.
#[derive(Default)]
pub struct ResponseBuffer {
    bytes: Vec<u8>,
    reader: ResponseReader,
}

/// Outcome of a read into the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferRead {
    /// No bytes have arrived.
    WouldBlock,
    /// As many bytes as requested were read: there may be more.
    Full,
    /// Fewer bytes than requested were read: the socket is empty.
    Short,
    /// The node has closed the connection, or it has failed.
    Closed,
}

impl ResponseBuffer {
    /// Returns the capacity of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether the buffer contains no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads once from the socket. Once the length of the response is known, no bytes after its end are read; stray
    /// bytes there are detected when the connection is idle.
    pub fn read_from(&mut self, socket: &mut impl Read, scratch: &mut [u8]) -> BufferRead {
        let missing = self.missing();
        let remaining_capacity = RESPONSE_LIMITS
            .buffer_capacity()
            .saturating_sub(self.bytes.len())
            + 1;
        let wanted = missing
            .unwrap_or(UNKNOWN_LENGTH_READ_BYTES)
            .min(remaining_capacity)
            .min(scratch.len());
        match nonblocking::read(socket, &mut scratch[..wanted]) {
            ReadOutcome::WouldBlock => BufferRead::WouldBlock,
            ReadOutcome::Closed(_) => BufferRead::Closed,
            ReadOutcome::Read(count) => {
                self.bytes.reserve_exact(missing.unwrap_or(0));
                self.bytes.extend_from_slice(&scratch[..count]);
                if count < wanted {
                    BufferRead::Short
                } else {
                    BufferRead::Full
                }
            }
        }
    }

    /// Returns the number of bytes that are still missing, if the length of the response is known.
    fn missing(&self) -> Option<usize> {
        let remaining = self.reader.remaining(self.bytes.len());
        remaining.filter(|remaining| *remaining > 0)
    }

    /// Parses the bytes read so far. Returns `None` while the response is incomplete.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or exceeds a limit.
    pub fn parse(&mut self) -> Result<Option<MessageSpan>, ParseError> {
        self.reader.advance(&mut self.bytes, RESPONSE_LIMITS)
    }

    /// Returns the head of a complete response, or `None` if it cannot be parsed after all.
    pub fn head(&self, message: &MessageSpan) -> Option<ResponseHead<'_>> {
        let bytes = self.bytes.get(message.start..)?;
        ResponseHead::parse(bytes, RESPONSE_LIMITS).ok().flatten()
    }

    /// Returns the body of a complete response.
    pub fn body(&self, message: &MessageSpan) -> &[u8] {
        self.bytes
            .get(message.body..message.end)
            .unwrap_or_default()
    }

    /// Returns whether bytes after the end of a complete response were read.
    pub fn has_more(&self, message: &MessageSpan) -> bool {
        self.bytes.len() > message.end
    }

    /// Takes the bytes of a complete response out of the buffer.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Removes the response, so that the next one can be read.
    pub fn clear(&mut self) {
        self.reader = ResponseReader::default();
        recycle(&mut self.bytes);
    }
}
