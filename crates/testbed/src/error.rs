//! Errors that end a run of the testbed. Wrong behaviour of hosts is not among them: the audit reports it.
use mallowseam_control_protocol::RequestError;
use mallowseam_gateway::blocking_client::ClientError;
use mallowseam_iscsi::scsi::Sense;
use mallowseam_placement::problem::ProblemError;
use mallowseam_settings::Diagnostics;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A failure of the testbed itself.
#[derive(Debug, Error)]
pub enum RunError {
    /// A script or a configuration is invalid.
    #[error(transparent)]
    Config(#[from] Diagnostics),
    /// A file, directory, socket or thread of the testbed failed.
    #[error("{subject}: {source}")]
    Io {
        /// The file, directory, socket or thread that failed.
        subject: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// A host does not accept connections in time.
    #[error("host accepts no connections within its start timeout")]
    HostNotListening,
    /// A control socket does not answer in time.
    #[error("control socket {} does not answer", .0.display())]
    ControlSocketTimeout(PathBuf),
    /// A client's session failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A request to a control socket failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A command that has to succeed was rejected or failed.
    #[error("SCSI command failed with status {status:#x}, sense {sense:?}")]
    CommandFailed {
        /// SCSI status code.
        status: u8,
        /// Sense data, if the response has any.
        sense: Option<Sense>,
    },
    /// A thread of the testbed panicked.
    #[error("{0} panicked")]
    ThreadPanicked(&'static str),
    /// The operating system does not report a metric of a process.
    #[error("operating system reports no {metric} for process {pid}")]
    MissingProcessMetric {
        /// Name of the metric.
        metric: &'static str,
        /// Id of the process.
        pid: u32,
    },
    /// The snapshot catalog's store failed.
    #[error(transparent)]
    Catalog(#[from] mallowseam_snapshot_catalog::Error),
    /// The snapshot catalog rejected a change.
    #[error(transparent)]
    CatalogChange(#[from] mallowseam_cow::tree::ChangeError),
    /// A message of the catalog service is not valid JSON of its type.
    #[error("invalid message of the catalog service: {0}")]
    Message(#[from] serde_json::Error),
    /// The configuration lacks a volume to which shares are to be applied.
    #[error(transparent)]
    Shares(#[from] mallowseam_settings::edit::UnknownVolumes),
    /// A placement problem is invalid.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Placement(Vec<ProblemError>),
}

impl RunError {
    /// Returns a function that wraps an I/O error together with the name of what failed.
    pub(crate) fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
        let subject = subject.into();
        move |source| RunError::Io { subject, source }
    }
}
