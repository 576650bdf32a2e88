//! TCP listener with a long accept queue.
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Maximum number of connections that wait to be accepted; the system limits it to `net.core.somaxconn`. A connect
/// beyond it is dropped, and the client's kernel retries it only after 1 s, which is longer than most latency
/// objectives.
const BACKLOG: i32 = 4_096;

/// Opens a non-blocking listener at an address. `SO_REUSEADDR` is set, since a process that has just ended may have
/// used the address.
///
/// # Errors
/// Returns the system's error if the listener cannot be opened.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}
