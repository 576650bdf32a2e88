//! Query of the snapshot tree at the snapshot catalog.
use super::error::ArchiveError;
use crate::control_socket;
use mallowseam_cow::tree::Tree;
use mallowseam_settings::GatewayConfig;

/// Fetches the current snapshot tree from the snapshot catalog.
pub(super) fn fetch_tree(config: &GatewayConfig) -> Result<Tree, ArchiveError> {
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
