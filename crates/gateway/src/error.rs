//! Errors that more than one module of the package reports.
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
    /// The control socket cannot be created.
    #[error("control {}: {source}", path.display())]
    ControlSocket {
        /// The socket's path in the configuration.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Polling for socket events failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The host cannot take part in the membership of its fleet.
    #[error("fleet membership: {0}")]
    Membership(#[source] io::Error),
    /// The configuration lacks the section of the service that is to run.
    #[error("no section {0}")]
    MissingSection(&'static str),
    /// The store of the plan service cannot be opened or read.
    #[error("{}: {source}", path.display())]
    OpenPlanStore {
        /// The store's path in the configuration.
        path: PathBuf,
        /// What is wrong with it.
        source: mallowseam_change_log::Error,
    },
    /// The plan service could not store a change or a member.
    #[error(transparent)]
    PlanStore(mallowseam_change_log::Error),
    /// The plans of the configuration contradict each other.
    #[error(transparent)]
    ConfiguredPlan(mallowseam_plans::error::ChangeError),
    /// The store of the snapshot catalog cannot be opened or read.
    #[error("{}: {source}", path.display())]
    OpenCatalogStore {
        /// The store's path in the configuration.
        path: PathBuf,
        /// What is wrong with it.
        source: mallowseam_snapshot_catalog::Error,
    },
    /// The snapshot catalog could not store a batch of changes.
    #[error(transparent)]
    CatalogStore(mallowseam_snapshot_catalog::Error),
    /// A volume of the configuration does not fit the stored tree.
    #[error(transparent)]
    ConfiguredVolume(mallowseam_cow::tree::ChangeError),
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
