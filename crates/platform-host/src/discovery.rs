//! A watch on the discovery service: one connection on which it streams changes of the endpoint list.
//!
//! - `list_response`: the response, as far as it was read.
mod list_response;

use list_response::ListResponse;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_http1::ParseError;
use mallowseam_platform::endpoints::{self, Endpoint, EndpointListError, WatchEvent};
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    #[error("{0}")]
    Open(#[source] io::Error),
    #[error("{0}")]
    Connect(#[source] io::Error),
    #[error("{0}")]
    Socket(#[source] ConnectionError),
    #[error("no connection")]
    ConnectTimeout,
    #[error("answered {0}")]
    Status(u16),
    #[error("{0}")]
    Malformed(#[source] ParseError),
    #[error("a response without a list")]
    NoList,
    #[error("{0}")]
    InvalidUpdate(#[source] EndpointListError),
    #[error("a truncated list")]
    Truncated,
    #[error("the list has ended")]
    ListEnded,
    #[error("the watch has ended")]
    StreamEnded,
    #[error("versions start again from below")]
    VersionsRestarted,
}

/// A message on a watch.
pub enum WatchMessage {
    /// A full snapshot, or changes.
    Update(WatchEvent),
    /// An empty line, sent to show that the watch is alive.
    Heartbeat,
    /// Endpoints that are draining or removed, from an update that is invalid otherwise.
    Closings(Vec<Endpoint>),
    /// The watch has ended.
    Failed(WatchError),
}

/// A connection to the discovery service.
pub struct WatchConnection {
    /// Timeouts of the watch.
    liveness: WatchLiveness,
    socket: TcpStream,
    address: SocketAddr,
    since: Option<u64>,
    request: Vec<u8>,
    response: ListResponse,
}

impl WatchConnection {
    /// Asks for changes since a version, or for a full snapshot and then for changes.
    pub fn open(
        registry: &Registry,
        token: Token,
        address: SocketAddr,
        since: Option<u64>,
        now: Millis,
    ) -> Result<Self, WatchError> {
        let mut socket = TcpStream::connect(address).map_err(WatchError::Open)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry
            .register(&mut socket, token, interest)
            .map_err(WatchError::Open)?;
        let mut request = Vec::new();
        endpoints::write_watch_request(&mut request, address, since);
        Ok(WatchConnection {
            liveness: WatchLiveness::new(now),
            socket,
            address,
            since,
            request,
            response: ListResponse::default(),
        })
    }

    /// The service that it is connected to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The version after which it was asked for changes.
    pub fn since(&self) -> Option<u64> {
        self.since
    }

    /// Whether the request was written: the service may count the watch as open, though it has sent nothing.
    pub fn is_up(&self) -> bool {
        self.request.is_empty() && self.socket.peer_addr().is_ok()
    }

    /// A complete line was received; returns whether it is the first.
    pub fn on_line_received(&mut self, now: Millis) -> bool {
        self.liveness.event_received(now)
    }

    /// Whether the watch has just failed by its timeouts.
    pub fn check_failure(&mut self, now: Millis) -> bool {
        self.liveness.check_failure(now)
    }

    /// Whether a line was received.
    pub fn is_established(&self) -> bool {
        self.liveness.is_established()
    }

    /// Writes the request and reads the response as far as the socket allows; the messages that were received. `Failed`
    /// is the last one.
    pub fn on_event(&mut self, scratch: &mut [u8]) -> Vec<WatchMessage> {
        let mut messages = Vec::new();
        if let Err(error) = self.exchange(scratch, &mut messages) {
            messages.push(WatchMessage::Failed(error));
        }
        messages
    }

    fn exchange(
        &mut self,
        scratch: &mut [u8],
        messages: &mut Vec<WatchMessage>,
    ) -> Result<(), WatchError> {
        if self.socket.peer_addr().is_err() {
            return match self.socket.take_error() {
                Ok(Some(error)) | Err(error) => Err(WatchError::Connect(error)),
                Ok(None) => Ok(()),
            };
        }
        nonblocking::write_buffer(&mut self.socket, &mut self.request)
            .map_err(WatchError::Socket)?;
        loop {
            let count = match nonblocking::read(&mut self.socket, scratch) {
                ReadOutcome::Read(count) => count,
                ReadOutcome::WouldBlock => return Ok(()),
                ReadOutcome::Closed(error) => return Err(WatchError::Socket(error)),
            };
            self.response.receive(&scratch[..count], messages)?;
            if self.response.has_started() {
                self.liveness.response_started();
            }
        }
    }

    /// Closes the connection.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
