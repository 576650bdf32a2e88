//! The listener that clients connect to.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::{TcpListener, TcpStream};
use mio::{Poll, Token};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Accepts connections of clients.
pub(super) struct ClientListener {
    socket: TcpListener,
    /// There may be connections to accept.
    ready: bool,
}

impl ClientListener {
    /// Listens on an address. Also returns the address that it has got, with its port.
    pub(super) fn open(
        address: SocketAddr,
        poll: &Poll,
        token: Token,
    ) -> Result<(Self, SocketAddr), StartError> {
        let (socket, _) = startup::listen(address, poll, token)?;
        let bound = socket
            .local_addr()
            .map_err(|source| StartError::Listen { address, source })?;
        let listener = ClientListener {
            socket,
            ready: false,
        };
        Ok((listener, bound))
    }

    /// There may be connections to accept.
    pub(super) fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// The next connection, if there may be any. None ends the turn.
    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr)> {
        while self.ready {
            match self.socket.accept() {
                Ok(accepted) => return Some(accepted),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.ready = false;
                    if e.kind() != ErrorKind::WouldBlock {
                        tracing::warn!(error = %e, "accept failed");
                    }
                }
            }
        }
        None
    }
}
