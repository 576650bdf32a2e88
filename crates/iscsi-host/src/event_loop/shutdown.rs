//! Requests to stop the host, by signals and operators.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::UnixStream;
use mio::{Poll, Token};
use std::io::Read;

/// Requests to stop the host. The first request stops the host once no client is connected and nothing is in
/// flight, a second one immediately.
pub(super) struct ShutdownRequests {
    /// Socket that receives one byte for each signal.
    signals: UnixStream,
    /// Number of requests so far.
    count: usize,
}

impl ShutdownRequests {
    pub(super) fn open(poll: &Poll, token: Token) -> Result<Self, StartError> {
        Ok(ShutdownRequests {
            signals: startup::signals(poll, token)?,
            count: 0,
        })
    }

    /// Reads and counts signals. Returns whether any were read.
    pub(super) fn read_signals(&mut self) -> bool {
        match self.signals.read(&mut [0; 16]) {
            Ok(count) => {
                self.count += count;
                count > 0
            }
            Err(_) => false,
        }
    }

    /// Counts a request by an operator.
    pub(super) fn request(&mut self) {
        self.count += 1;
    }

    /// Returns whether a stop was requested.
    pub(super) fn is_requested(&self) -> bool {
        self.count > 0
    }

    /// Returns whether an immediate stop was requested.
    pub(super) fn is_immediate(&self) -> bool {
        self.count > 1
    }
}
