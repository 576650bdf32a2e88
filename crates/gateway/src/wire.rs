//! What waits for an iSCSI connection goes out as far as its socket takes it.
use mallowseam_iscsi::frame::Outgoing;
use mallowseam_sockets::nonblocking::{self, ConnectionError};
pub use mallowseam_sockets::nonblocking::{ReadOutcome, read, write_buffer};
use std::io::Write;

/// Writes what waits; how many bytes went, or why the socket is over.
pub fn write(socket: &mut impl Write, out: &mut Outgoing) -> Result<usize, ConnectionError> {
    let mut all = 0;
    while !out.waiting().is_empty() {
        let wanted = out.waiting().len();
        let sent = nonblocking::write(socket, out.waiting()).map_err(|error| error.source)?;
        out.wrote(sent);
        all += sent;
        if sent < wanted {
            break;
        }
    }
    Ok(all)
}
