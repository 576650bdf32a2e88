//! Errors that more than one module of the package reports.
use mallowseam_control_protocol::StartError;
use mallowseam_settings::{Diagnostics, GatewayConfig};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a host or a service could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address to listen on cannot be had.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A socket of the configuration cannot be had, or signals cannot be received.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Polling for socket events failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// The host cannot take part in the membership of its fleet.
    #[error("fleet membership: {0}")]
    Membership(#[source] io::Error),
    /// The configuration lacks the section of the service that is to run.
    #[error("no section {0}")]
    MissingSection(&'static str),
    /// The plan service could not start, or could not go on.
    #[error(transparent)]
    PlanService(#[from] mallowseam_plan_service::Error),
    /// The snapshot catalog could not start, or could not go on.
    #[error(transparent)]
    CatalogService(#[from] mallowseam_catalog_service::Error),
}

/// Why a text file could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FileError {
    /// The file cannot be opened or is not text.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// The text is not what the file must hold: every problem, with its line and column.
    #[error("{0}")]
    Malformed(Diagnostics),
}

/// Reads a text file.
pub(crate) fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Io {
        path: path.to_owned(),
        source,
    })
}

/// Reads and checks a configuration file.
pub(crate) fn read_configuration(path: &Path) -> Result<GatewayConfig, FileError> {
    let text = read_text(path)?;
    mallowseam_settings::parse(&path.display().to_string(), &text).map_err(FileError::Malformed)
}
