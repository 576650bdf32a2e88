//! Requests to stop the process, by a signal or by an operator.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::UnixStream;
use mio::{Poll, Token};

/// Signal socket, and whether the process has been asked to stop.
pub(crate) struct StopRequests {
    signals: UnixStream,
    requested: bool,
}

impl StopRequests {
    /// Sets up the reception of SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be set up.
    pub(crate) fn watch_signals(poll: &Poll, token: Token) -> Result<Self, StartError> {
        Ok(StopRequests {
            signals: startup::signals(poll, token)?,
            requested: false,
        })
    }

    /// Receives a signal from the signal socket, which is ready.
    pub(crate) fn on_signal_ready(&mut self) {
        self.requested |= startup::take_signal(&mut self.signals);
    }

    /// Records that an operator has asked the process to stop.
    pub(crate) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns whether the process has been asked to stop.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested
    }
}
