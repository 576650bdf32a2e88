//! Why a run of the testbed could not go on. What hosts do wrong is no error: the audit reports it.
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
    /// A script or a configuration has mistakes.
    #[error(transparent)]
    Config(#[from] Diagnostics),
    /// A file, directory, socket or thread of the testbed failed.
    #[error("{subject}: {source}")]
    Io {
        /// What failed.
        subject: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A host does not listen in time.
    #[error("the host does not listen")]
    HostNotListening,
    /// A control socket does not answer in time.
    #[error("{} does not answer", .0.display())]
    NoControlSocket(PathBuf),
    /// A client's session failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A request to a control socket failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A command that has to succeed was rejected or failed.
    #[error("a command came back with status {status:#x}, sense {sense:?}")]
    CommandFailed {
        /// SCSI status code.
        status: u8,
        /// Sense data, where there is any.
        sense: Option<Sense>,
    },
    /// A thread of the testbed panicked.
    #[error("{0} failed")]
    Thread(&'static str),
    /// The operating system does not report a figure of a process.
    #[error("no {figure} of process {pid}")]
    NoProcessFigure {
        /// Name of the figure.
        figure: &'static str,
        /// The process.
        pid: u32,
    },
    /// The snapshot catalog's store failed.
    #[error(transparent)]
    Catalog(#[from] mallowseam_snapshot_catalog::Error),
    /// The snapshot catalog rejects a change.
    #[error(transparent)]
    CatalogChange(#[from] mallowseam_cow::tree::ChangeError),
    /// A message of the catalog service cannot be read.
    #[error("a message of the catalog: {0}")]
    Message(#[from] serde_json::Error),
    /// Shares cannot be written into a configuration.
    #[error(transparent)]
    Shares(#[from] mallowseam_settings::edit::UnknownVolumes),
    /// A placement problem has mistakes.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Placement(Vec<ProblemError>),
}

impl RunError {
    /// Says what an input or output error concerns.
    pub(crate) fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
        let subject = subject.into();
        move |source| RunError::Io { subject, source }
    }
}
