//! Errors of the plan service.
use mallowseam_control_protocol::StartError;
use mallowseam_plans::error::ChangeError;
use mallowseam_service_loop::PollError;
use std::path::PathBuf;

/// Reason why the plan service cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
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
        /// Error of the store.
        source: mallowseam_change_log::Error,
    },
    /// A change or a member could not be stored.
    #[error(transparent)]
    Store(mallowseam_change_log::Error),
    /// The plans of the configuration contradict each other.
    #[error(transparent)]
    ConfiguredPlan(ChangeError),
}
