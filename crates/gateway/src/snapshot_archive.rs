//! Exports of snapshots to archive files and imports from them. Volumes are read and written through a host, as any
//! client does.
//!
//! - `export`, `import`: the two commands.
//! - `remote_unit`: a volume, clone or snapshot, read and written an extent at a time.
//! - `archive_file`: the archive on disk, which an export resumes if it is incomplete.
//! - `error`: why an export or import failed.
mod archive_file;
mod error;
mod export;
mod import;
mod remote_unit;

pub(crate) use error::ArchiveError;
pub(crate) use export::export;
pub(crate) use import::import;

use crate::control_socket;
use mallowseam_cow::tree::Tree;
use mallowseam_settings::GatewayConfig;

/// The tree as the snapshot catalog has it now.
fn fetch_tree(config: &GatewayConfig) -> Result<Tree, ArchiveError> {
    let socket = config
        .catalog
        .as_ref()
        .and_then(|catalog| catalog.control_socket.as_ref())
        .ok_or(ArchiveError::NoControlSocket)?;
    let text =
        control_socket::send_request(socket, "tree").map_err(|source| ArchiveError::Catalog {
            socket: socket.clone(),
            source,
        })?;
    serde_json::from_str(&text).map_err(ArchiveError::Tree)
}
