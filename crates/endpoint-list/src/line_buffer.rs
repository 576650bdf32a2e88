//! Assembly of lines from bytes that arrive in pieces of any size.
use crate::wire::{MAX_LINE_BYTES, ProtocolError};

/// Buffer of the incomplete line on a connection.
#[derive(Default)]
pub(crate) struct LineBuffer {
    partial: Vec<u8>,
    /// Number of complete lines so far.
    completed: u64,
}

impl LineBuffer {
    /// Resets the buffer for a new connection.
    pub(crate) fn reset(&mut self) {
        self.partial.clear();
        self.completed = 0;
    }

    /// Returns the number of the last complete line, counted from 1.
    pub(crate) fn number(&self) -> u64 {
        self.completed
    }

    /// Appends a byte. Returns the line that the byte completes, without the line end. [`LineBuffer::recycle`] reuses
    /// the memory of the line.
    pub(crate) fn push(&mut self, byte: u8) -> Result<Option<Vec<u8>>, ProtocolError> {
        if byte == b'\n' {
            self.completed += 1;
            return Ok(Some(std::mem::take(&mut self.partial)));
        }
        if self.partial.len() == MAX_LINE_BYTES {
            let number = self.completed + 1;
            return Err(ProtocolError::new(number, "a line of up to 256 bytes"));
        }
        self.partial.push(byte);
        Ok(None)
    }

    /// Reuses the memory of a processed line for the next one.
    pub(crate) fn recycle(&mut self, mut line: Vec<u8>) {
        line.clear();
        self.partial = line;
    }
}
