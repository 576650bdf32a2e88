//! A watch on the discovery service: one connection on which it streams changes of the endpoint list.
use crate::buffers::{REQUEST_LIMITS, recycle};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_http1::{ChunkedDecoder, Framing, Limits, ParseError, ResponseHead};
use mallowseam_platform::endpoints::{self, Endpoint, EndpointListError, WatchEvent, WatchFrame};
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// An endpoint list is far longer than a message of clients or nodes.
const LIST_LIMITS: Limits = Limits {
    head: REQUEST_LIMITS.head,
    body: endpoints::MAX_LIST_BYTES,
};

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

/// What is read next of the response.
enum Stage {
    /// The head.
    Head,
    /// A stream of lines.
    Stream(ChunkedDecoder),
    /// A single list of this many bytes.
    Snapshot(usize),
}

/// A connection to the discovery service.
pub struct WatchConnection {
    /// Timeouts of the watch.
    liveness: WatchLiveness,
    socket: TcpStream,
    address: SocketAddr,
    since: Option<u64>,
    request: Vec<u8>,
    response: Vec<u8>,
    stage: Stage,
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
            response: Vec::new(),
            stage: Stage::Head,
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
            self.response.extend_from_slice(&scratch[..count]);
            self.read_head()?;
            self.read_body(messages)?;
        }
    }

    /// Reads the head of the response, past any 1xx before it.
    fn read_head(&mut self) -> Result<(), WatchError> {
        while let Stage::Head = self.stage {
            let head =
                ResponseHead::parse(&self.response, LIST_LIMITS).map_err(WatchError::Malformed)?;
            let Some(head) = head else { return Ok(()) };
            let is_interim = head.is_interim();
            if !is_interim && head.status != 200 {
                return Err(WatchError::Status(head.status));
            }
            let (len, framing) = (head.len, head.framing);
            drop(self.response.drain(..len));
            if !is_interim {
                self.liveness.response_started();
                self.stage = match framing {
                    Framing::Chunked => Stage::Stream(ChunkedDecoder::new(0)),
                    Framing::Length(len) => Stage::Snapshot(len),
                    Framing::None => return Err(WatchError::NoList),
                };
            }
        }
        Ok(())
    }

    fn read_body(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        match &mut self.stage {
            Stage::Head => Ok(()),
            Stage::Snapshot(len) if self.response.len() < *len => Ok(()),
            // Such a service sends nothing after the list: a new watch has to request changes.
            Stage::Snapshot(len) => {
                read_updates(&self.response[..*len], true, messages)?;
                Err(WatchError::ListEnded)
            }
            Stage::Stream(chunks) => {
                chunks
                    .decode(&mut self.response, LIST_LIMITS.body)
                    .map_err(WatchError::Malformed)?;
                let is_over = chunks.is_complete();
                let consumed =
                    read_updates(&self.response[..chunks.decoded_end()], is_over, messages)?;
                chunks.discard_front(consumed);
                drop(self.response.drain(..consumed));
                if self.response.is_empty() {
                    recycle(&mut self.response);
                }
                if is_over {
                    Err(WatchError::StreamEnded)
                } else {
                    Ok(())
                }
            }
        }
    }

    /// Closes the connection.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

/// Passes on the complete updates of a text and returns their length. `is_over`: nothing follows the text.
///
/// # Errors
/// An update is invalid. Endpoints in it that are draining or removed are passed on all the same.
fn read_updates(
    text: &[u8],
    is_over: bool,
    messages: &mut Vec<WatchMessage>,
) -> Result<usize, WatchError> {
    let last_line_end = || {
        text.iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |index| index + 1)
    };
    let end = if is_over { text.len() } else { last_line_end() };
    let mut consumed = 0;
    loop {
        match endpoints::parse_frame(&text[consumed..end]) {
            WatchFrame::Incomplete if is_over && !text[consumed..].trim_ascii().is_empty() => {
                return Err(WatchError::Truncated);
            }
            WatchFrame::Incomplete => return Ok(consumed),
            WatchFrame::Heartbeat { len } => {
                messages.push(WatchMessage::Heartbeat);
                consumed += len;
            }
            WatchFrame::Event { event, len } => {
                messages.push(WatchMessage::Update(event));
                consumed += len;
            }
            WatchFrame::Corrupt { error, closing } => {
                messages.push(WatchMessage::Closings(closing));
                return Err(WatchError::InvalidUpdate(error));
            }
        }
    }
}
