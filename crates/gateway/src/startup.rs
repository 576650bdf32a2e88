//! What each process of the program opens at its start: listeners, control sockets, signals.
use crate::control_socket::ControlSocket;
use crate::error::Error;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// A listener that the event loop watches, and a handle to register its connections.
pub(crate) fn listen(
    address: SocketAddr,
    poll: &Poll,
    token: Token,
) -> Result<(TcpListener, Registry), Error> {
    let mut listener =
        TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
    let registry = registry(poll)?;
    registry
        .register(&mut listener, token, Interest::READABLE)
        .map_err(Error::Poll)?;
    Ok((listener, registry))
}

/// An address that the checks of the configuration require, such as where a service listens.
///
/// # Panics
/// If there is no address, which means that the configuration was not validated.
pub(crate) fn validated_address(address: Option<SocketAddr>) -> SocketAddr {
    address.expect("validated configuration has an address")
}

/// A handle to register sockets with the event loop.
pub(crate) fn registry(poll: &Poll) -> Result<Registry, Error> {
    poll.registry().try_clone().map_err(Error::Poll)
}

/// The control socket, where the configuration has one. Its connections get tokens from `first_token` on.
pub(crate) fn control_socket(
    path: Option<&Path>,
    poll: &Poll,
    own: Token,
    first_token: usize,
) -> Result<Option<ControlSocket>, Error> {
    let Some(path) = path else { return Ok(None) };
    let socket = ControlSocket::open(path, registry(poll)?, own, first_token);
    socket.map(Some).map_err(|source| Error::ControlSocket {
        path: path.to_owned(),
        source,
    })
}

/// Whether a signal has arrived on the socket of [`signals`].
pub(crate) fn take_signal(signals: &mut UnixStream) -> bool {
    matches!(signals.read(&mut [0; 16]), Ok(count) if count > 0)
}

/// A socket on which a byte comes for each SIGTERM and SIGINT.
pub(crate) fn signals(poll: &Poll, token: Token) -> Result<UnixStream, Error> {
    mallowseam_sockets::signals::pipe(poll, token, &[SIGTERM, SIGINT]).map_err(Error::Signals)
}
