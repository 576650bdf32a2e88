//! Requests to end the process, by a signal or by an operator.
use crate::error::Error;
use crate::startup;
use mio::net::UnixStream;
use mio::{Poll, Token};

/// Whether the process has been asked to stop.
pub(super) struct StopRequests {
    signals: UnixStream,
    requested: bool,
}

impl StopRequests {
    /// Watches for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Signals cannot be received.
    pub(super) fn watch_signals(poll: &Poll, token: Token) -> Result<Self, Error> {
        Ok(StopRequests {
            signals: startup::signals(poll, token)?,
            requested: false,
        })
    }

    /// The signals' socket is ready.
    pub(super) fn on_signal_ready(&mut self) {
        self.requested |= startup::take_signal(&mut self.signals);
    }

    /// An operator asks the process to stop.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Whether the process is to end.
    pub(super) fn is_requested(&self) -> bool {
        self.requested
    }
}
