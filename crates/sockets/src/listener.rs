//! A TCP listener with a long queue.
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Connections that may wait to be accepted; the system holds it to its own bound. Past it a client's connect is
/// dropped and retried by its system only a second later: longer than most answers are wanted within.
const BACKLOG: i32 = 4_096;

/// Listens, without blocking, at an address that a process just ended may have had.
///
/// # Errors
/// The system's error where the address cannot be had.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}
