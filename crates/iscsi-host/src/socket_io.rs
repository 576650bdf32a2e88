//! Non-blocking reads and writes of connections.
use mallowseam_iscsi::frame::SendBuffer;
pub use mallowseam_sockets::nonblocking::{ConnectionError, ReadOutcome, read, write_buffer};
use std::io::Write;

/// Writes the unsent bytes of an iSCSI connection until its socket would block. Returns the number of bytes
/// written.
///
/// # Errors
/// The socket reports an error; the connection must be closed.
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
