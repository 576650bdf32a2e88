//! What each process of the program opens at its start: listeners, control sockets, signals.
use crate::control_socket::ControlSocket;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a process could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
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
    /// Polling for socket events failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}

/// A listener that the event loop watches, and a handle to register its connections.
///
/// # Errors
/// The address cannot be had, or the event loop cannot watch it.
pub fn listen(
    address: SocketAddr,
    poll: &Poll,
    token: Token,
) -> Result<(TcpListener, Registry), ProcessError> {
    let mut listener =
        TcpListener::bind(address).map_err(|source| ProcessError::Listen { address, source })?;
    let registry = registry(poll)?;
    registry
        .register(&mut listener, token, Interest::READABLE)
        .map_err(ProcessError::Poll)?;
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
/// The system has no descriptor for it.
pub fn registry(poll: &Poll) -> Result<Registry, ProcessError> {
    poll.registry().try_clone().map_err(ProcessError::Poll)
}

/// The control socket, where the configuration has one. Its connections get tokens from `first_token` on.
///
/// # Errors
/// The path cannot be had, or a process answers there.
pub fn control_socket(
    path: Option<&Path>,
    poll: &Poll,
    own: Token,
    first_token: usize,
) -> Result<Option<ControlSocket>, ProcessError> {
    let Some(path) = path else { return Ok(None) };
    let socket = ControlSocket::open(path, registry(poll)?, own, first_token);
    socket
        .map(Some)
        .map_err(|source| ProcessError::ControlSocket {
            path: path.to_owned(),
            source,
        })
}

/// Whether a signal has arrived on the socket of [`signals`].
pub fn take_signal(signals: &mut UnixStream) -> bool {
    matches!(signals.read(&mut [0; 16]), Ok(count) if count > 0)
}

/// A socket on which a byte comes for each SIGTERM and SIGINT.
///
/// # Errors
/// Signals cannot be received.
pub fn signals(poll: &Poll, token: Token) -> Result<UnixStream, ProcessError> {
    mallowseam_sockets::signals::pipe(poll, token, &[SIGTERM, SIGINT])
        .map_err(ProcessError::Signals)
}
