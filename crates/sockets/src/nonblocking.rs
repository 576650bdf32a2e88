//! Non-blocking reads and writes on sockets. Interrupted calls are repeated.
use std::io::{self, ErrorKind, Read, Write};

/// Reason for which a connection must be closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The peer closed the connection.
    #[error("closed by the other side")]
    ClosedByPeer,
    /// The system accepted 0 bytes of a write.
    #[error("takes no bytes")]
    WriteZero,
    /// The system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Error of a write that failed, possibly after some bytes were written.
#[derive(Debug, thiserror::Error)]
#[error("write failed after {written} bytes")]
pub struct WriteError {
    /// Number of bytes that were written before the failure.
    pub written: usize,
    /// Reason for the failure.
    pub source: ConnectionError,
}

/// Outcome of a read.
#[derive(Debug)]
pub enum ReadOutcome {
    /// No bytes have arrived.
    WouldBlock,
    /// This number of bytes was read; more may have arrived.
    Read(usize),
    /// The connection was closed or has failed.
    Closed(ConnectionError),
}

/// Reads once into a buffer, which must not be empty.
pub fn read(socket: &mut impl Read, buffer: &mut [u8]) -> ReadOutcome {
    loop {
        match socket.read(buffer) {
            Ok(0) => return ReadOutcome::Closed(ConnectionError::ClosedByPeer),
            Ok(count) => return ReadOutcome::Read(count),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
            Err(error) => return ReadOutcome::Closed(error.into()),
        }
    }
}

/// Writes until no bytes are left or the socket would block. Returns the number of written bytes.
///
/// # Errors
/// Returns an error if the connection has failed.
pub fn write(socket: &mut impl Write, bytes: &[u8]) -> Result<usize, WriteError> {
    let mut written = 0;
    while written < bytes.len() {
        match write_once(|| socket.write(&bytes[written..])) {
            Ok(Some(count)) => written += count,
            Ok(None) => break,
            Err(source) => return Err(WriteError { written, source }),
        }
    }
    Ok(written)
}

/// Writes bytes from the front of a buffer, and removes them, until the buffer is empty or the socket would block.
///
/// # Errors
/// Returns an error if the connection has failed. The buffer is then unchanged.
pub fn write_buffer(socket: &mut impl Write, buffer: &mut Vec<u8>) -> Result<(), ConnectionError> {
    let written = write(socket, buffer).map_err(|error| error.source)?;
    buffer.drain(..written);
    Ok(())
}

/// Writes once and returns the number of written bytes. `None`: the socket would block.
pub(crate) fn write_once(
    mut write: impl FnMut() -> io::Result<usize>,
) -> Result<Option<usize>, ConnectionError> {
    loop {
        match write() {
            Ok(0) => return Err(ConnectionError::WriteZero),
            Ok(count) => return Ok(Some(count)),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(error) => return Err(error.into()),
        }
    }
}
