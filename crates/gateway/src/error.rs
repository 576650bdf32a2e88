//! Errors that more than one module of the package reports.
pub(crate) use mallowseam_process_io::startup::ProcessError;
pub(crate) use mallowseam_process_io::text_file::{FileError, read_configuration, read_text};
use std::path::PathBuf;

/// Why a service could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the signals cannot be had, or polling failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
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
