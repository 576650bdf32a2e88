//! What each process of the program opens at its start: listeners, control sockets, signals.
use crate::control_socket::ControlSocket;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bytes read at once from the socket of signals, on which one arrives for each signal.
const SIGNAL_BUFFER: usize = 16;

/// Why a process could not open what it needs at its start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address to listen on cannot be had.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The control socket cannot be created.
    #[error("control {}: {source}", path.display())]
    ControlSocket {
        /// The socket's path in the configuration.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The event loop cannot watch sockets.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}

/// A listener that the event loop watches, and a handle to register its connections.
///
/// # Errors
/// The address cannot be had, or the event loop cannot watch the listener.
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

/// An address that the checks of the configuration require, such as where a service listens.
///
/// # Panics
/// If there is no address, which means that the configuration was not validated.
pub fn validated_address(address: Option<SocketAddr>) -> SocketAddr {
    address.expect("validated configuration has an address")
}

/// A handle to register sockets with the event loop.
///
/// # Errors
/// The system has no descriptor left for it.
pub fn registry(poll: &Poll) -> Result<Registry, StartError> {
    poll.registry().try_clone().map_err(StartError::Poll)
}

/// The control socket, where the configuration has one. Its connections get tokens from `first_token` on.
///
/// # Errors
/// The socket cannot be created, or another process answers at it.
pub fn control_socket(
    path: Option<&Path>,
    poll: &Poll,
    own: Token,
    first_token: usize,
) -> Result<Option<ControlSocket>, StartError> {
    let Some(path) = path else { return Ok(None) };
    let socket = ControlSocket::open(path, registry(poll)?, own, first_token);
    socket
        .map(Some)
        .map_err(|source| StartError::ControlSocket {
            path: path.to_owned(),
            source,
        })
}

/// Whether a signal has arrived on the socket of [`signals`].
pub fn take_signal(signals: &mut UnixStream) -> bool {
    matches!(signals.read(&mut [0; SIGNAL_BUFFER]), Ok(count) if count > 0)
}

/// A socket on which a byte comes for each SIGTERM and SIGINT.
///
/// # Errors
/// Signals cannot be received.
pub fn signals(poll: &Poll, token: Token) -> Result<UnixStream, StartError> {
    mallowseam_sockets::signals::pipe(poll, token, &[SIGTERM, SIGINT]).map_err(StartError::Signals)
}
