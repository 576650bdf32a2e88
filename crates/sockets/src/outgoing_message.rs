//! Message that is written in several steps, as far as its socket accepts bytes.
use crate::nonblocking::{ConnectionError, write_once};
use std::io::{IoSlice, Write};
use std::ops::Range;

/// Outgoing message: a head that is composed for each message, and a body that is forwarded in the buffer into which
/// it was read.
#[derive(Default)]
pub struct OutgoingMessage {
    /// Head of the message. Bytes may be appended until the message is completely written.
    pub head: Vec<u8>,
    body: Vec<u8>,
    /// Range of the body in its buffer.
    body_range: Range<usize>,
    /// Number of bytes of head and body that were written.
    written: usize,
}

impl OutgoingMessage {
    /// Sets the body to the bytes of a buffer from `start` up to, but not including, `end`.
    pub fn set_body(&mut self, buffer: Vec<u8>, start: usize, end: usize) {
        self.body = buffer;
        self.body_range = start..end;
    }

    /// Returns whether no bytes are left to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written == self.head.len() + self.body_range.len()
    }

    /// Returns the capacity of the message's buffers in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.head.capacity() + self.body.capacity()
    }

    /// Writes until the message is complete or the socket would block. A complete message is cleared and can be
    /// reused.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    pub fn write_to(&mut self, socket: &mut impl Write) -> Result<(), ConnectionError> {
        while !self.is_empty() {
            let head = &self.head[self.written.min(self.head.len())..];
            let body_written = self.written.saturating_sub(self.head.len());
            let body = &self.body[self.body_range.start + body_written..self.body_range.end];
            let slices = [IoSlice::new(head), IoSlice::new(body)];
            match write_once(|| socket.write_vectored(&slices))? {
                Some(count) => self.written += count,
                None => return Ok(()),
            }
        }
        self.clear();
        Ok(())
    }

    /// Clears the message. Keeps the head's buffer for the next message and frees the body's.
    fn clear(&mut self) {
        self.head.clear();
        self.body = Vec::new();
        self.body_range = 0..0;
        self.written = 0;
    }
}
