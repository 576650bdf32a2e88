//! The response on a connection to a node, as far as it was read.
use crate::buffers::{RESPONSE_LIMITS, recycle};
use mallowseam_http1::{MessageSpan, ParseError, ResponseHead, ResponseReader};
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use std::io::Read;

#[cfg(test)]
mod tests;

/// Bytes read at once while the length of a response is not known: enough for a usual one.
const FIRST_READ: usize = 16 * 1024;

/// What was read of a response.
#[derive(Default)]
pub struct ResponseBuffer {
    bytes: Vec<u8>,
    reader: ResponseReader,
}

/// The outcome of a read into the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferRead {
    /// Nothing more has arrived.
    WouldBlock,
    /// As many bytes as were asked for: there may be more.
    Full,
    /// Fewer bytes than were asked for: the socket is empty.
    Short,
    /// The connection has ended.
    Closed,
}

impl ResponseBuffer {
    /// Bytes of memory held.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether nothing was read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads once. Of a long response exactly the rest is read; stray bytes after it are found when the connection is
    /// idle.
    pub fn read_from(&mut self, socket: &mut impl Read, scratch: &mut [u8]) -> BufferRead {
        let missing = self.missing();
        let room = RESPONSE_LIMITS
            .buffer_capacity()
            .saturating_sub(self.bytes.len())
            + 1;
        let wanted = missing.unwrap_or(FIRST_READ).min(room).min(scratch.len());
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

    /// Bytes still to come, once the length of the response is known.
    fn missing(&self) -> Option<usize> {
        let remaining = self.reader.remaining(self.bytes.len());
        remaining.filter(|remaining| *remaining > 0)
    }

    /// Parses what was read; none: the response is incomplete.
    ///
    /// # Errors
    /// The response is malformed or exceeds a limit.
    pub fn parse(&mut self) -> Result<Option<MessageSpan>, ParseError> {
        self.reader.advance(&mut self.bytes, RESPONSE_LIMITS)
    }

    /// The head of a complete response; none if it cannot be parsed after all.
    pub fn head(&self, message: &MessageSpan) -> Option<ResponseHead<'_>> {
        let bytes = self.bytes.get(message.start..)?;
        ResponseHead::parse(bytes, RESPONSE_LIMITS).ok().flatten()
    }

    /// The body of a complete response.
    pub fn body(&self, message: &MessageSpan) -> &[u8] {
        self.bytes
            .get(message.body..message.end)
            .unwrap_or_default()
    }

    /// Whether bytes were read that stand behind a complete response.
    pub fn has_more(&self, message: &MessageSpan) -> bool {
        self.bytes.len() > message.end
    }

    /// Moves out the bytes of a complete response.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Drops the response.
    pub fn clear(&mut self) {
        self.reader = ResponseReader::default();
        recycle(&mut self.bytes);
    }
}
