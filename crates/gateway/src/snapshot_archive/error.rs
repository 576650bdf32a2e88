//! Why an export or import failed.
use crate::blocking_client::ClientError;
use crate::control_socket::RequestError;
use mallowseam_iscsi::scsi::Sense;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an export or import could not be done.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArchiveError {
    #[error("no `control` in section catalog")]
    NoControlSocket,
    #[error("{}: {source}", socket.display())]
    Catalog {
        socket: PathBuf,
        source: RequestError,
    },
    #[error("the catalog's answer: {0}")]
    Tree(#[source] serde_json::Error),
    #[error("`{0}`: no such volume, clone or snapshot")]
    NoSuchUnit(String),
    #[error("no mapped volume")]
    NoMappedVolume,
    #[error(transparent)]
    NoSuchSnapshot(mallowseam_cow::tree::ChangeError),
    #[error("{address}: {source}")]
    Login {
        address: SocketAddr,
        source: ClientError,
    },
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("block {lba}: {sense:?}")]
    Failed { lba: u64, sense: Option<Sense> },
    #[error("block {lba}: status {status:#04x} after {attempts} tries")]
    RetriesExhausted { lba: u64, status: u8, attempts: u32 },
    #[error("{}: {source}", file.display())]
    File { file: PathBuf, source: io::Error },
    #[error("{}: {source}", file.display())]
    Archive {
        file: PathBuf,
        source: mallowseam_archive::Error,
    },
    #[error("{}: holds `{held}`, not `{wanted}`", file.display())]
    AnotherSnapshot {
        file: PathBuf,
        held: String,
        wanted: String,
    },
    #[error(
        "{}: {extents} extents of {extent_bytes} bytes, `{name}` has {unit_extents} of {unit_extent_bytes}",
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
