//! Requests to end the process, by a signal or by an operator.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::UnixStream;
use mio::{Poll, Token};

/// Whether the process has been asked to stop.
pub(crate) struct StopRequests {
    signals: UnixStream,
    requested: bool,
}

impl StopRequests {
    /// Watches for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Signals cannot be received.
    pub(crate) fn watch_signals(poll: &Poll, token: Token) -> Result<Self, StartError> {
        Ok(StopRequests {
            signals: startup::signals(poll, token)?,
            requested: false,
        })
    }

    /// The signals' socket is ready.
    pub(crate) fn on_signal_ready(&mut self) {
        self.requested |= startup::take_signal(&mut self.signals);
    }

    /// An operator asks the process to stop.
    pub(crate) fn request(&mut self) {
        self.requested = true;
    }

    /// Whether the process is to end.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested
    }
}
