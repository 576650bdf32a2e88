//! Errors that end the host.
use mallowseam_control_protocol::StartError;
use std::io;

/// Reason for which a host cannot start or cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A configured socket cannot be opened, or the signal handlers cannot be installed.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Polling for socket events failed.
    #[error("cannot poll for socket events: {0}")]
    Poll(#[source] io::Error),
    /// The socket for fleet membership cannot be opened.
    #[error("cannot open the socket for fleet membership: {0}")]
    Membership(#[source] io::Error),
}
