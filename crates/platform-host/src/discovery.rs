//! A watch on the discovery service: a connection on which the service streams changes of the endpoint list.
//!
//! - `list_response`: reads the response of the service.
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

/// Error that ends a watch.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    #[error("cannot open a connection to the discovery service: {0}")]
    Open(#[source] io::Error),
    #[error("cannot connect to the discovery service: {0}")]
    Connect(#[source] io::Error),
    #[error("connection to the discovery service failed: {0}")]
    Socket(#[source] ConnectionError),
    #[error("no connection to the discovery service within the timeout")]
    ConnectTimeout,
    #[error("discovery service responded with HTTP status {0}; expected 200")]
    Status(u16),
    #[error("invalid HTTP response from the discovery service: {0}")]
    Malformed(#[source] ParseError),
    #[error("response from the discovery service carries no endpoint list")]
    NoList,
    #[error("invalid update of the endpoint list: {0}")]
    InvalidUpdate(#[source] EndpointListError),
    #[error("update of the endpoint list is truncated")]
    Truncated,
    #[error("discovery service sent a single endpoint list; expected a stream of changes")]
    ListEnded,
    #[error("discovery service ended the watch")]
    StreamEnded,
    #[error(
        "endpoint list versions start again from below the requested version; the next watch requests a full snapshot"
    )]
    VersionsRestarted,
}

/// A message received on a watch.
pub enum WatchMessage {
    /// A full snapshot of the endpoint list, or changes to it.
    Update(WatchEvent),
    /// An empty line, which shows that the watch is alive.
    Heartbeat,
    /// Endpoints that are draining or removed, taken from an update that is otherwise invalid.
    ClosingEndpoints(Vec<Endpoint>),
    /// The watch has failed, or the service has ended it.
    Failed(WatchError),
}

/// A connection to the discovery service that carries one watch.
pub struct WatchConnection {
    /// Timeouts of the watch.
    liveness: WatchLiveness,
    socket: TcpStream,
    address: SocketAddr,
    since: Option<u64>,
    /// Bytes of the request that are not yet written.
    request: Vec<u8>,
    response: ListResponse,
}

impl WatchConnection {
    /// Opens a watch that asks for changes after the version `since`, or for a full snapshot followed by changes.
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

    /// Returns the address of the discovery service of this watch.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the version after which the watch asked for changes, or `None` if it asked for a full snapshot.
    pub fn since(&self) -> Option<u64> {
        self.since
    }

    /// Returns whether the request was written. The service may then count the watch as open, even if it has sent
    /// nothing.
    pub fn is_up(&self) -> bool {
        self.request.is_empty() && self.socket.peer_addr().is_ok()
    }

    /// Records that a complete line was received, and returns whether it is the first.
    pub fn on_line_received(&mut self, now: Millis) -> bool {
        self.liveness.event_received(now)
    }

    /// Returns whether the watch has just reached one of its timeouts.
    pub fn check_failure(&mut self, now: Millis) -> bool {
        self.liveness.check_failure(now)
    }

    /// Returns whether a line was received.
    pub fn is_established(&self) -> bool {
        self.liveness.is_established()
    }

    /// Writes the request and reads the response as far as the socket allows. Returns the messages received; `Failed`
    /// can only be the last one.
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

    /// Removes the connection from the poll and closes it.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
