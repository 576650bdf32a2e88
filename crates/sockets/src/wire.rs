//! Bytes between a socket and what is to be written or read, without blocking.
use std::io::{ErrorKind, Read, Write};

/// What a try at a socket came to.
pub enum Tried {
    /// The socket takes or has no more for now.
    Blocked,
    /// So many bytes were read; there may be more.
    Read(usize),
    /// The other side closed, or the socket failed.
    Over(String),
}

pub fn read(socket: &mut impl Read, into: &mut [u8]) -> Tried {
    loop {
        match socket.read(into) {
            Ok(0) => return Tried::Over("closed by the other side".into()),
            Ok(n) => return Tried::Read(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Tried::Blocked,
            Err(e) => return Tried::Over(e.to_string()),
        }
    }
}

/// Writes bytes until there are none left or the socket takes no more; how many went. Error: the socket is over,
/// with how many went before.
pub fn send(socket: &mut impl Write, bytes: &[u8]) -> Result<usize, (usize, String)> {
    let mut all = 0;
    while all < bytes.len() {
        match socket.write(&bytes[all..]) {
            Ok(0) => return Err((all, "takes no bytes".into())),
            Ok(n) => all += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => return Err((all, e.to_string())),
        }
    }
    Ok(all)
}

/// Writes bytes off the front of a buffer until it is empty or the socket takes no more. Error: the socket is over.
pub fn push(socket: &mut impl Write, bytes: &mut Vec<u8>) -> Result<(), String> {
    let sent = send(socket, bytes).map_err(|(_, why)| why)?;
    drop(bytes.drain(..sent));
    Ok(())
}
