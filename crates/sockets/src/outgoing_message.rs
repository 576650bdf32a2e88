//! A message that is written piece by piece, as its socket takes it.
use crate::nonblocking::{ConnectionError, write_once};
use std::io::{IoSlice, Write};
use std::ops::Range;

/// An outgoing message: a head that is composed for each message, and a body that is forwarded in the buffer it was
/// read into.
#[derive(Default)]
pub struct OutgoingMessage {
    /// The head. Bytes may be added to it until the message is written in full.
    pub head: Vec<u8>,
    body: Vec<u8>,
    /// Position of the body in its buffer.
    body_range: Range<usize>,
    /// Bytes of head and body that were written.
    written: usize,
}

impl OutgoingMessage {
    /// Sets the body: the bytes of a buffer from `start` up to `end`.
    pub fn set_body(&mut self, buffer: Vec<u8>, start: usize, end: usize) {
        self.body = buffer;
        self.body_range = start..end;
    }

    /// Whether nothing is left to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written == self.head.len() + self.body_range.len()
    }

    /// Bytes of memory held.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.head.capacity() + self.body.capacity()
    }

    /// Writes until the message is complete, after which it can be reused, or until the socket would block.
    ///
    /// # Errors
    /// The connection has failed.
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

    /// Keeps the head's buffer for the next message and frees that of the body.
    fn clear(&mut self) {
        self.head.clear();
        self.body = Vec::new();
        self.body_range = 0..0;
        self.written = 0;
    }
}
