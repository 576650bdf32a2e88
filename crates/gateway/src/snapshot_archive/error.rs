//! Errors of exports and imports.
use crate::blocking_client::ClientError;
use crate::control_socket::RequestError;
use mallowseam_iscsi::scsi::Sense;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Error of an export or import.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArchiveError {
    #[error("configuration has no section `catalog` with a directive `control`")]
    NoControlSocket,
    #[error("{}: {source}", socket.display())]
    Catalog {
        socket: PathBuf,
        source: RequestError,
    },
    #[error("snapshot catalog sent an invalid tree: {0}")]
    Tree(#[source] serde_json::Error),
    #[error("`{0}`: no such volume, clone or snapshot")]
    NoSuchUnit(String),
    #[error("configuration has no mapped volume")]
    NoMappedVolume,
    #[error(transparent)]
    NoSuchSnapshot(mallowseam_cow::tree::ChangeError),
    #[error("login to the host at {address} failed: {source}")]
    Login {
        address: SocketAddr,
        source: ClientError,
    },
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("command at block {lba} failed: {sense:?}")]
    Failed { lba: u64, sense: Option<Sense> },
    #[error(
        "command at block {lba} failed with SCSI status {status:#04x} after {attempts} attempts"
    )]
    RetriesExhausted { lba: u64, status: u8, attempts: u32 },
    #[error("{}: {source}", file.display())]
    File { file: PathBuf, source: io::Error },
    #[error("{}: {source}", file.display())]
    Archive {
        file: PathBuf,
        source: mallowseam_archive::Error,
    },
    #[error("{}: archive holds `{held}`, expected `{wanted}`", file.display())]
    AnotherSnapshot {
        file: PathBuf,
        held: String,
        wanted: String,
    },
    #[error(
        "{}: archive has {extents} extents of {extent_bytes} bytes, but `{name}` has {unit_extents} of {unit_extent_bytes}",
        file.display()
    )]
    AnotherSize {
        file: PathBuf,
        extents: u32,
        extent_bytes: u32,
        name: String,
        unit_extents: u32,
        unit_extent_bytes: u64,
    },
}
