//! Listener for client connections.
use mallowseam_control_protocol::startup::{self, StartError};
use mio::net::{TcpListener, TcpStream};
use mio::{Poll, Token};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Accepts client connections.
pub(super) struct ClientListener {
    socket: TcpListener,
    /// Whether there may be connections to accept.
    ready: bool,
}

impl ClientListener {
    /// Listens on an address. Also returns the bound address, with the port that the system chose if the
    /// configured port is 0.
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

    /// Records that there may be connections to accept.
    pub(super) fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// Accepts the next connection. Returns `None` when there is none left or accepting fails.
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
