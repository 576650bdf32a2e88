//! What waits for an iSCSI connection goes out as far as its socket takes it.
use mallowseam_iscsi::frame::Outgoing;
pub use mallowseam_sockets::wire::{Tried, push, read, send};
use std::io::Write;

/// Writes what waits; how many bytes went, or why the socket is over.
pub fn write(socket: &mut impl Write, out: &mut Outgoing) -> Result<usize, String> {
    let mut all = 0;
    while !out.waiting().is_empty() {
        let wanted = out.waiting().len();
        let sent = send(socket, out.waiting()).map_err(|(_, why)| why)?;
        out.wrote(sent);
        all += sent;
        if sent < wanted {
            break;
        }
    }
    Ok(all)
}
