//! What each of this program's processes opens at its start: listeners, control sockets, signals.
use crate::control_socket::Control;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Why a host could not run.
#[derive(Debug)]
pub struct Failure(String);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Failure {
    pub(crate) fn new(what: String) -> Self {
        Failure(what)
    }
}

pub(crate) fn failure(what: String) -> impl FnOnce(io::Error) -> Failure {
    move |e| Failure(format!("{what}: {e}"))
}

/// A listener that the loop watches, and a handle to register what comes of it.
pub(crate) fn listen(
    address: SocketAddr,
    poll: &Poll,
    token: Token,
) -> Result<(TcpListener, Registry), Failure> {
    let mut listener = TcpListener::bind(address).map_err(failure(format!("listen {address}")))?;
    let registry = poll.registry().try_clone().map_err(failure("poll".into()))?;
    registry.register(&mut listener, token, Interest::READABLE).map_err(failure("poll".into()))?;
    Ok((listener, registry))
}

/// The control socket, where the configuration has one.
pub(crate) fn control(
    path: Option<&Path>,
    poll: &Poll,
    own: Token,
    first: usize,
) -> Result<Option<Control>, Failure> {
    let Some(path) = path else { return Ok(None) };
    let registry = poll.registry().try_clone().map_err(failure("poll".into()))?;
    let opened = Control::open(path, registry, own, first);
    opened.map(Some).map_err(failure(format!("control {}", path.display())))
}

/// SIGTERM and SIGINT as bytes on a socket that the loop watches.
pub(crate) fn signals(poll: &Poll, token: Token) -> io::Result<UnixStream> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    mallowseam_sockets::signals::pipe(poll, token, &[SIGTERM, SIGINT])
}
