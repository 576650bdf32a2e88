//! A listener with a long queue.
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Connections that may wait to be let in; the system holds it to its own bound. Past it a client's call is dropped,
/// and tried again by its system only a second later: longer than most answers are wanted within.
const QUEUE: i32 = 4_096;

/// Listens at an address that a process just ended may have had.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(QUEUE)?;
    Ok(TcpListener::from_std(socket.into()))
}
