//! Accepts connections of clients.
use super::{EventLoop, MAX_CLIENTS_PER_ITERATION};
use crate::error::HostError;
use crate::tokens;
use mallowseam_sockets::listener;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Poll, Registry};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// The listening socket.
pub(super) struct Listener {
    /// None once it was closed.
    socket: Option<TcpListener>,
    /// Connections may be waiting.
    pub(super) is_readable: bool,
}

impl Listener {
    /// Listens at an address.
    pub(super) fn open(poll: &Poll, address: SocketAddr) -> Result<Self, HostError> {
        let listened = listener::listen(address);
        let mut socket = listened.map_err(|source| HostError::Listen { address, source })?;
        let registered =
            poll.registry()
                .register(&mut socket, tokens::LISTENER, Interest::READABLE);
        registered.map_err(HostError::Poll)?;
        Ok(Listener {
            socket: Some(socket),
            is_readable: false,
        })
    }

    /// The next waiting connection; none once the listener is closed.
    fn accept(&self) -> Option<io::Result<TcpStream>> {
        let socket = self.socket.as_ref()?;
        Some(socket.accept().map(|(stream, _)| stream))
    }

    fn deregister(&mut self, registry: &Registry) {
        if let Some(mut socket) = self.socket.take() {
            let _ = registry.deregister(&mut socket);
        }
    }
}

impl EventLoop {
    /// Accepts waiting connections, up to the limit of one iteration.
    pub(super) fn accept_clients(&mut self) {
        for _ in 0..MAX_CLIENTS_PER_ITERATION {
            match self.listener.accept() {
                Some(Ok(socket)) => self.add_client(socket),
                Some(Err(e)) if e.kind() != ErrorKind::WouldBlock => {
                    // The connection was reset, or there is no free descriptor: the next iteration tries again.
                    return;
                }
                None | Some(Err(_)) => {
                    self.listener.is_readable = false;
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, socket: TcpStream) {
        // At the limit all queued connections are read before one is evicted: it may have sent a request.
        if self.dispatcher.clients.is_full() {
            self.read_clients(usize::MAX);
        }
        let now = self.dispatcher.now_ms();
        self.dispatcher.clients.add(socket, now);
    }

    /// Accepts everything that is waiting, then closes the listener.
    pub(super) fn close_listener(&mut self) {
        while let Some(Ok(socket)) = self.listener.accept() {
            self.add_client(socket);
        }
        self.listener.deregister(&self.registry);
    }
}
