//! Reads and writes on sockets that do not block. Interrupted calls are repeated.
use std::io::{self, ErrorKind, Read, Write};

/// Why a connection has to be closed.
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

/// Outcome of an attempt to read.
#[derive(Debug)]
pub enum ReadOutcome {
    /// Nothing more has arrived for now.
    WouldBlock,
    /// So many bytes were read; there may be more.
    Read(usize),
    /// The connection has ended.
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

/// Writes until no bytes are left or the socket would block, and returns how many were written.
///
/// # Errors
/// The connection has failed.
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

/// Writes bytes from the front of a buffer, and removes them, until it is empty or the socket would block.
///
/// # Errors
/// The connection has failed; the buffer is unchanged.
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
