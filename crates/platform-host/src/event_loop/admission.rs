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

/// The listening socket.
pub(super) struct Listener {
    registry: Rc<Registry>,
    /// None once it was closed.
    socket: Option<TcpListener>,
    /// Connections may be waiting.
    has_waiting: bool,
}

impl Listener {
    /// Listens at an address.
    pub(super) fn open(registry: Rc<Registry>, address: SocketAddr) -> Result<Self, HostError> {
        let listened = listener::listen(address);
        let mut socket = listened.map_err(|source| HostError::Listen { address, source })?;
        let registered = registry.register(&mut socket, tokens::LISTENER, Interest::READABLE);
        registered.map_err(HostError::Poll)?;
        Ok(Listener {
            registry,
            socket: Some(socket),
            has_waiting: false,
        })
    }

    /// The poll has reported the listener.
    pub(super) fn on_readable(&mut self) {
        self.has_waiting = true;
    }

    /// Whether connections may be waiting.
    pub(super) fn has_waiting(&self) -> bool {
        self.has_waiting
    }

    /// The next connection; none: nothing is waiting, or the next iteration has to try again.
    fn next_waiting(&mut self) -> Option<TcpStream> {
        if !self.has_waiting {
            return None;
        }
        match self.accept() {
            Some(Ok(socket)) => Some(socket),
            // The connection was reset, or there is no free descriptor: the next iteration tries again.
            Some(Err(e)) if e.kind() != ErrorKind::WouldBlock => None,
            None | Some(Err(_)) => {
                self.has_waiting = false;
                None
            }
        }
    }

    /// Accepts a connection; none once the listener is closed.
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
    /// Accepts waiting connections, up to the limit of one iteration.
    pub(super) fn accept_clients(&mut self) {
        for _ in 0..MAX_CLIENTS_PER_ITERATION {
            let Some(socket) = self.listener.next_waiting() else {
                return;
            };
            self.add_client(socket);
        }
    }

    fn add_client(&mut self, socket: TcpStream) {
        // At the limit all queued connections are read before one is evicted: it may have sent a request.
        if self.dispatcher.clients().is_full() {
            self.read_clients(self.dispatcher.clients().queue_len());
        }
        let now = self.dispatcher.now_ms();
        self.dispatcher.clients_mut().add(socket, now);
    }

    /// Accepts everything that is waiting, then closes the listener.
    pub(super) fn close_listener(&mut self) {
        while let Some(Ok(socket)) = self.listener.accept() {
            self.add_client(socket);
        }
        self.listener.close();
    }
}
