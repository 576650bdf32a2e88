//! Why the host could not run.
use mallowseam_process_io::startup::ProcessError;
use std::io;

/// Why a host could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the signals cannot be had, or polling failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The host cannot take part in the membership of its fleet.
    #[error("fleet membership: {0}")]
    Membership(#[source] io::Error),
}
