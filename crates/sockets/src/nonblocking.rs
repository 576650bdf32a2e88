//! Reads and writes on sockets that do not block. Interrupted calls are repeated.
use std::io::{self, ErrorKind, Read, Write};

/// Why a connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The other side closed it.
    #[error("closed by the other side")]
    ClosedByPeer,
    /// The system accepted a write of no bytes.
    #[error("takes no bytes")]
    WriteZero,
    /// The system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A write that failed, perhaps after some bytes.
#[derive(Debug, thiserror::Error)]
#[error("write failed after {written} bytes")]
pub struct WriteError {
    /// Bytes that were written before.
    pub written: usize,
    /// Why no more can be.
    pub source: ConnectionError,
}

/// What an attempt to read came to.
#[derive(Debug)]
pub enum ReadOutcome {
    /// Nothing more has arrived for now.
    WouldBlock,
    /// So many bytes were read; there may be more.
    Read(usize),
    /// The connection is of no further use.
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

/// Writes until no bytes are left or the socket takes no more for now; how many were written.
///
/// # Errors
/// The connection is of no further use.
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

/// Writes bytes off the front of a buffer until it is empty or the socket takes no more for now.
///
/// # Errors
/// The connection is of no further use; the buffer is as it was.
pub fn write_buffer(socket: &mut impl Write, buffer: &mut Vec<u8>) -> Result<(), ConnectionError> {
    let written = write(socket, buffer).map_err(|error| error.source)?;
    buffer.drain(..written);
    Ok(())
}

/// One write: how many bytes it took, or none where it would block.
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
