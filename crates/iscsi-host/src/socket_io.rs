//! Reads and writes of connections, without blocking.
use mallowseam_iscsi::frame::SendBuffer;
pub use mallowseam_sockets::nonblocking::{ConnectionError, ReadOutcome, read, write_buffer};
use std::io::Write;

/// Writes what waits for an iSCSI connection, as far as its socket takes it; how many bytes were written.
///
/// # Errors
/// The connection is of no further use.
pub fn write(socket: &mut impl Write, out: &mut SendBuffer) -> Result<usize, ConnectionError> {
    let mut total = 0;
    while !out.unsent().is_empty() {
        let wanted = out.unsent().len();
        let written = mallowseam_sockets::nonblocking::write(socket, out.unsent())
            .map_err(|error| error.source)?;
        out.mark_sent(written);
        total += written;
        if written < wanted {
            break;
        }
    }
    Ok(total)
}
