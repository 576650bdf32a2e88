//! Opens what a process needs at its start: listeners, its control socket, signals.
use crate::control_socket::ControlSocket;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bytes read at once from the signal socket, on which one byte arrives for each signal.
const SIGNAL_BUFFER_BYTES: usize = 16;

/// Reason why a process cannot open what it needs at its start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address to listen on is not available.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address in the configuration.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The control socket cannot be created.
    #[error("cannot open control socket {}: {source}", path.display())]
    ControlSocket {
        /// Path of the socket in the configuration.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The event loop cannot watch sockets.
    #[error("cannot watch sockets for events: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
}

/// Returns a listener that the event loop watches, and a handle to register its connections.
///
/// # Errors
/// The address is not available, or the event loop cannot watch the listener.
pub fn listen(
    address: SocketAddr,
    poll: &Poll,
    token: Token,
) -> Result<(TcpListener, Registry), StartError> {
    let mut listener =
        TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })?;
    let registry = registry(poll)?;
    registry
        .register(&mut listener, token, Interest::READABLE)
        .map_err(StartError::Poll)?;
    Ok((listener, registry))
}

/// Returns an address that the validation of the configuration requires, such as the one on which a service listens.
///
/// # Panics
/// If there is no address, which means that the configuration was not validated.
pub fn validated_address(address: Option<SocketAddr>) -> SocketAddr {
    address.expect("a validated configuration has an address")
}

/// Returns a handle to register sockets with the event loop.
///
/// # Errors
/// The system has no file descriptor left for the handle.
pub fn registry(poll: &Poll) -> Result<Registry, StartError> {
    poll.registry().try_clone().map_err(StartError::Poll)
}

/// Opens the control socket, if the configuration has one. Its connections get tokens from `first_token` on.
///
/// # Errors
/// The socket cannot be created, or another process listens on it.
pub fn control_socket(
    path: Option<&Path>,
    poll: &Poll,
    listener_token: Token,
    first_token: usize,
) -> Result<Option<ControlSocket>, StartError> {
    let Some(path) = path else { return Ok(None) };
    let socket = ControlSocket::open(path, registry(poll)?, listener_token, first_token);
    socket
        .map(Some)
        .map_err(|source| StartError::ControlSocket {
            path: path.to_owned(),
            source,
        })
}

/// Reads from the socket of [`signals`] and returns whether a signal has arrived.
pub fn take_signal(signals: &mut UnixStream) -> bool {
    matches!(signals.read(&mut [0; SIGNAL_BUFFER_BYTES]), Ok(count) if count > 0)
}

/// Returns a socket on which one byte arrives for each SIGTERM and SIGINT.
///
/// # Errors
/// Signals cannot be received.
pub fn signals(poll: &Poll, token: Token) -> Result<UnixStream, StartError> {
    mallowseam_sockets::signals::pipe(poll, token, &[SIGTERM, SIGINT]).map_err(StartError::Signals)
}
