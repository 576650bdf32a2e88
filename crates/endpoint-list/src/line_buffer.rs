//! Lines out of bytes that arrive in pieces of any size.
use crate::wire::{MAX_LINE_BYTES, ProtocolError};

/// The line that is arriving on a connection.
#[derive(Default)]
pub(crate) struct LineBuffer {
    partial: Vec<u8>,
    /// Complete lines so far.
    completed: u64,
}

impl LineBuffer {
    /// Begins anew, for another connection.
    pub(crate) fn reset(&mut self) {
        self.partial.clear();
        self.completed = 0;
    }

    /// Number of the last complete line, counted from 1.
    pub(crate) fn number(&self) -> u64 {
        self.completed
    }

    /// Takes a byte. Returns the line that it completes, without its end; [`LineBuffer::recycle`] takes its memory back.
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

    /// Takes back the memory of a line, for the next one.
    pub(crate) fn recycle(&mut self, mut line: Vec<u8>) {
        line.clear();
        self.partial = line;
    }
}
