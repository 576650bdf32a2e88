//! A TCP listener with a long accept queue.
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Connections that may wait to be accepted; the system limits it to `net.core.somaxconn`. Beyond it a connect is
/// dropped, and retried by the client's kernel only after a second, which is longer than most latency objectives.
const BACKLOG: i32 = 4_096;

/// Listens on an address without blocking. `SO_REUSEADDR` is set, as a process that has just ended may have used it.
///
/// # Errors
/// The system's error where the address cannot be bound.
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
