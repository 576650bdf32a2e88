//! Signals, delivered as bytes on pipes so that they are polled like every other event source.
use crate::tokens;
use mallowseam_sockets::signals;
use mio::Poll;
use mio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Read};

/// Pipes of the signals that the host handles, one for each signal.
pub struct SignalPipes {
    sighup: UnixStream,
    sigterm: UnixStream,
    sigint: UnixStream,
}

impl SignalPipes {
    /// Registers the signal handlers, and registers their pipes with the poll.
    pub fn open(poll: &Poll) -> io::Result<Self> {
        Ok(SignalPipes {
            sighup: signals::pipe(poll, tokens::SIGHUP, &[SIGHUP])?,
            sigterm: signals::pipe(poll, tokens::SIGTERM, &[SIGTERM])?,
            sigint: signals::pipe(poll, tokens::SIGINT, &[SIGINT])?,
        })
    }

    /// Returns whether SIGHUP was received since the last call.
    pub fn take_sighup(&mut self) -> bool {
        drain(&mut self.sighup)
    }

    /// Returns whether SIGTERM was received since the last call.
    pub fn take_sigterm(&mut self) -> bool {
        drain(&mut self.sigterm)
    }

    /// Returns whether SIGINT was received since the last call.
    pub fn take_sigint(&mut self) -> bool {
        drain(&mut self.sigint)
    }
}

/// Reads all bytes of a pipe and returns whether there were any.
fn drain(pipe: &mut UnixStream) -> bool {
    let mut has_received = false;
    let mut bytes = [0; 16];
    while matches!(pipe.read(&mut bytes), Ok(count) if count > 0) {
        has_received = true;
    }
    has_received
}
