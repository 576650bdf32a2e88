//! Errors of the snapshot catalog service.
use mallowseam_control_protocol::StartError;
use mallowseam_cow::tree::ChangeError;
use mallowseam_service_loop::PollError;
use std::path::PathBuf;

/// Why the snapshot catalog service could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration lacks the section of the catalog.
    #[error("configuration has no section `catalog`")]
    MissingSection,
    /// An address or path of the configuration cannot be opened, or signals cannot be received.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Polling for socket events failed.
    #[error(transparent)]
    Poll(#[from] PollError),
    /// The store cannot be opened or read.
    #[error("{}: {source}", path.display())]
    OpenStore {
        /// Path of the store in the configuration.
        path: PathBuf,
        /// Why the store cannot be opened or read.
        source: mallowseam_snapshot_catalog::Error,
    },
    /// A batch of changes could not be stored.
    #[error(transparent)]
    Store(mallowseam_snapshot_catalog::Error),
    /// A volume of the configuration does not fit the stored tree.
    #[error(transparent)]
    ConfiguredVolume(ChangeError),
}
