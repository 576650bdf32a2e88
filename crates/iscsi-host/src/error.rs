//! Why the host could not run.
use mallowseam_control_protocol::StartError;
use std::io;

/// Why a host could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket of the configuration cannot be had, or signals cannot be received.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Polling for socket events failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// The host cannot take part in the membership of its fleet.
    #[error("fleet membership: {0}")]
    Membership(#[source] io::Error),
}
