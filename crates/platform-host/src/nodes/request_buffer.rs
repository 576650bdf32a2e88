//! Request on a connection to a node, and how much of it was written.
use crate::buffers::recycle;
use mallowseam_platform::request;
use mallowseam_sockets::nonblocking::{self, ConnectionError};
use std::io::Write;

#[cfg(test)]
mod tests;

/// Bytes of a request, and how many of them were written.
#[derive(Default)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    written: usize,
}

impl RequestBuffer {
    /// Returns the buffer in which the request is composed.
    pub fn compose(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Returns whether the last byte was written, which also holds without a request.
    pub fn is_written(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Updates the timeout header of the request, in milliseconds. Must be called before any byte is written.
    pub fn update_timeout_header(&mut self, timeout_ms: u64) {
        request::rewrite_timeout(&mut self.bytes, timeout_ms);
    }

    /// Writes as many bytes as the socket accepts.
    ///
    /// # Errors
    /// Returns an error if the connection has failed. Bytes written before the failure are counted.
    pub fn write_to(&mut self, socket: &mut impl Write) -> Result<(), ConnectionError> {
        match nonblocking::write(socket, &self.bytes[self.written..]) {
            Ok(count) => {
                self.written += count;
                Ok(())
            }
            Err(error) => {
                self.written += error.written;
                Err(error.source)
            }
        }
    }

    /// Removes the request, so that the next one can be composed.
    pub fn clear(&mut self) {
        self.written = 0;
        recycle(&mut self.bytes);
    }
}
