//! Accepts connections of clients.
use super::{EventLoop, MAX_CLIENTS_PER_ITERATION};
use crate::error::HostError;
use crate::tokens;
use mallowseam_sockets::listener;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

/// Listening socket for clients.
pub(super) struct Listener {
    registry: Rc<Registry>,
    /// `None` once the listener was closed.
    socket: Option<TcpListener>,
    /// Connections may be pending in the accept backlog.
    may_have_pending: bool,
}

impl Listener {
    /// Opens a listening socket at an address, and registers it with the poll.
    pub(super) fn open(registry: Rc<Registry>, address: SocketAddr) -> Result<Self, HostError> {
        let listened = listener::listen(address);
        let mut socket = listened.map_err(|source| HostError::Listen { address, source })?;
        let registered = registry.register(&mut socket, tokens::LISTENER, Interest::READABLE);
        registered.map_err(HostError::Poll)?;
        Ok(Listener {
            registry,
            socket: Some(socket),
            may_have_pending: false,
        })
    }

    /// Records that the poll has reported the listening socket.
    pub(super) fn on_readable(&mut self) {
        self.may_have_pending = true;
    }

    /// Returns whether connections may be pending in the accept backlog.
    pub(super) fn may_have_pending(&self) -> bool {
        self.may_have_pending
    }

    /// Returns the next pending connection, or `None` if there is none or the next iteration has to retry.
    fn next_pending(&mut self) -> Option<TcpStream> {
        if !self.may_have_pending {
            return None;
        }
        match self.accept() {
            Some(Ok(socket)) => Some(socket),
            // The connection was reset, or there is no free descriptor: the next iteration retries.
            Some(Err(e)) if e.kind() != ErrorKind::WouldBlock => None,
            None | Some(Err(_)) => {
                self.may_have_pending = false;
                None
            }
        }
    }

    /// Accepts a connection. Returns `None` once the listener is closed.
    fn accept(&self) -> Option<io::Result<TcpStream>> {
        let socket = self.socket.as_ref()?;
        Some(socket.accept().map(|(stream, _)| stream))
    }

    fn close(&mut self) {
        if let Some(mut socket) = self.socket.take() {
            let _ = self.registry.deregister(&mut socket);
        }
    }
}

impl EventLoop {
    /// Accepts pending connections, up to the limit of one iteration.
    pub(super) fn accept_clients(&mut self) {
        for _ in 0..MAX_CLIENTS_PER_ITERATION {
            let Some(socket) = self.listener.next_pending() else {
                return;
            };
            self.add_client(socket);
        }
    }

    fn add_client(&mut self, socket: TcpStream) {
        // At the connection limit all queued connections are read before one is evicted, since it may have sent a
        // request.
        if self.dispatcher.clients().is_full() {
            self.read_clients(self.dispatcher.clients().queue_len());
        }
        let now = self.dispatcher.now_ms();
        self.dispatcher.clients_mut().add(socket, now);
    }

    /// Accepts all pending connections, then closes the listener.
    pub(super) fn close_listener(&mut self) {
        while let Some(Ok(socket)) = self.listener.accept() {
            self.add_client(socket);
        }
        self.listener.close();
    }
}
