//! Signals and operators that request the host to stop.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::UnixStream;
use mio::{Poll, Token};
use std::io::Read;

/// Requests to stop. The first one ends the host once nothing is in flight, the second at once.
pub(super) struct ShutdownRequests {
    /// A byte comes for each signal.
    signals: UnixStream,
    count: usize,
}

impl ShutdownRequests {
    pub(super) fn open(poll: &Poll, token: Token) -> Result<Self, StartError> {
        Ok(ShutdownRequests {
            signals: startup::signals(poll, token)?,
            count: 0,
        })
    }

    /// Counts signals that have arrived. False: there are no more.
    pub(super) fn read_signals(&mut self) -> bool {
        match self.signals.read(&mut [0; 16]) {
            Ok(count) => {
                self.count += count;
                count > 0
            }
            Err(_) => false,
        }
    }

    /// An operator requests the host to stop.
    pub(super) fn request(&mut self) {
        self.count += 1;
    }

    /// The host was requested to stop.
    pub(super) fn is_requested(&self) -> bool {
        self.count > 0
    }

    /// The host was requested to stop at once.
    pub(super) fn is_immediate(&self) -> bool {
        self.count > 1
    }
}
