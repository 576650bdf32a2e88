//! The request on a connection to a node, as far as it is written.
use crate::buffers::recycle;
use mallowseam_platform::request;
use mallowseam_sockets::nonblocking::{self, ConnectionError};
use std::io::Write;

#[cfg(test)]
mod tests;

/// A request, and how many of its bytes were written.
#[derive(Default)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    written: usize,
}

impl RequestBuffer {
    /// The buffer, to compose the request in.
    pub fn compose(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether the last byte was written; so it is without a request.
    pub fn is_written(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Updates the timeout that the request states, in milliseconds. Nothing of it was written yet.
    pub fn restate_timeout(&mut self, timeout_ms: u64) {
        request::rewrite_timeout(&mut self.bytes, timeout_ms);
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    /// The connection has failed, perhaps after some bytes, which are counted.
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

    /// Drops the request.
    pub fn clear(&mut self) {
        self.written = 0;
        recycle(&mut self.bytes);
    }
}
