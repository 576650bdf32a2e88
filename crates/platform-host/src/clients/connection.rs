//! One connection of a client.
use super::close_cause::CloseCause;
use super::flush_outcome::FlushOutcome;
use super::request_buffer::RequestBuffer;
use super::responses::Response;
use super::socket::ClientSocket;
use super::{RequestStatus, SocketEvent};
use crate::buffers::recycle;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::{ClientConnection, Phase, TimeoutAction};
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_http1::{ParseError, RequestHead};
use mallowseam_platform::response;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::nonblocking::ReadOutcome;
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use mio::Registry;
use mio::net::TcpStream;

/// A client's connection: one request at a time.
pub struct Client {
    socket: ClientSocket,
    /// State of the connection, with its timeouts.
    state: ClientConnection,
    input: RequestBuffer,
    /// Bytes to be written.
    output: OutgoingMessage,
    /// The block I/O that is in flight for the request.
    io: Option<BioId>,
    /// The response in `output` is the last.
    close_after_response: bool,
    /// Why the connection ends, once its last response is composed.
    end_cause: Option<CloseCause>,
    /// The connection is in the read queue.
    is_queued: bool,
}

/// A connection as it is closed, for the log.
#[derive(Debug)]
#[expect(dead_code, reason = "read by the derived Debug alone")]
pub struct AtClose {
    phase: Phase,
    /// Bytes that were read and belong to no complete request.
    unparsed: usize,
    /// Bytes that wait in the socket, up to the length of the buffer that looks at them.
    unread: usize,
}

/// Length of the buffer that looks at unread bytes.
const UNREAD_LOOK_BYTES: usize = 1_024;

/// Why reading has stopped.
pub enum ReadError {
    /// The message cannot be parsed.
    Invalid(ParseError),
    /// The connection has ended.
    Closed,
}

impl Client {
    /// A new connection.
    pub fn new(stream: TcpStream, now: Millis) -> Self {
        Client {
            socket: ClientSocket::new(stream),
            state: ClientConnection::new(now),
            input: RequestBuffer::default(),
            output: OutgoingMessage::default(),
            io: None,
            close_after_response: false,
            end_cause: None,
            is_queued: false,
        }
    }

    /// Its socket.
    pub fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    /// State of the connection, with its timeouts.
    pub fn state(&self) -> &ClientConnection {
        &self.state
    }

    /// Bytes of its buffers.
    pub fn bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Puts it into the read queue; false: it was there.
    pub fn enqueue(&mut self) -> bool {
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// It has left the read queue.
    pub fn dequeue(&mut self) {
        self.is_queued = false;
    }

    /// Whether it is in the read queue.
    pub fn is_queued(&self) -> bool {
        self.is_queued
    }

    /// The poll has reported it.
    pub fn on_event(&mut self, event: SocketEvent) {
        self.socket.on_event(event);
    }

    /// Whether bytes are to be written.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// The block I/O in flight of a client that has disconnected.
    pub fn disconnected_io(&self) -> Option<BioId> {
        self.io.filter(|_| self.socket.is_disconnected())
    }

    /// Whether the client has disconnected. `is_poll_stale`: the last poll is too old to rely on.
    pub fn check_disconnected(&mut self, is_poll_stale: bool) -> bool {
        self.socket.check_disconnected(is_poll_stale)
    }

    /// Whether part of a request waits in the socket; looks at it.
    pub fn has_unread_request(&mut self) -> bool {
        let phase = self.state.phase();
        let is_awaiting = matches!(
            phase,
            Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle
        );
        is_awaiting && self.socket.check_readable()
    }

    /// Whether it may be read, and has something to read or to parse.
    pub fn can_read_on(&self, now: Millis) -> bool {
        self.may_read(now) && (self.socket.is_readable() || !self.input.is_empty())
    }

    /// The timeout that has passed, if any.
    pub fn check_timeouts(
        &mut self,
        now: Millis,
        shutdown: Option<GracefulShutdown>,
    ) -> TimeoutAction {
        self.state.check_timeouts(now, shutdown)
    }

    /// The head and the body of the complete request, if there is one.
    pub fn request(&self) -> Option<(RequestHead<'_>, &[u8])> {
        self.input.request()
    }

    /// Whether the client's bytes may be read; they stay in the socket while it is slowed down, or has a request in
    /// flight.
    pub fn may_read(&self, now: Millis) -> bool {
        self.state.may_read(now)
    }

    /// Reads until a request is complete or the socket is empty.
    ///
    /// # Errors
    /// The message is malformed, or the connection has ended.
    pub fn read_request(
        &mut self,
        scratch: &mut [u8],
        now: Millis,
    ) -> Result<RequestStatus, ReadError> {
        loop {
            if !self.input.is_empty() && self.parse(now)? == RequestStatus::Complete {
                return Ok(RequestStatus::Complete);
            }
            if !self.socket.is_readable() {
                return Ok(RequestStatus::Incomplete);
            }
            let limit = self.input.room().min(scratch.len());
            match self.socket.read(&mut scratch[..limit]) {
                ReadOutcome::Read(count) => {
                    self.input.append(&scratch[..count]);
                    if count < limit {
                        self.socket.on_short_read();
                    }
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed(_) => return Err(ReadError::Closed),
            }
        }
    }

    /// Parses what was read. A client that expects it gets 100 Continue.
    fn parse(&mut self, now: Millis) -> Result<RequestStatus, ReadError> {
        if self.state.phase() != Phase::ReceivingRequest {
            self.state.enter_phase(Phase::ReceivingRequest, now);
        }
        if self.input.parse().map_err(ReadError::Invalid)? {
            return Ok(RequestStatus::Complete);
        }
        if self.input.take_expect_continue() {
            self.output.head.extend_from_slice(response::CONTINUE);
            let written = self.output.write_to(self.socket.stream_mut());
            written.map_err(|_| ReadError::Closed)?;
        }
        Ok(RequestStatus::Incomplete)
    }

    /// Whether it only waits for the client to close, after the last response.
    pub fn is_lingering(&self) -> bool {
        self.state.phase() == Phase::Lingering
    }

    /// Reads and drops what a client sends after its last response. False: the connection is to be closed.
    pub fn drain_input(&mut self, scratch: &mut [u8]) -> bool {
        while self.socket.is_readable() {
            match self.socket.read(scratch) {
                ReadOutcome::Read(count) if self.state.bytes_discarded(count) => return false,
                ReadOutcome::Read(_) | ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed(_) => return false,
            }
        }
        true
    }

    /// Its request is in flight as this block I/O.
    pub fn on_admitted(&mut self, io: BioId, now: Millis) {
        self.io = Some(io);
        self.state.request_accepted();
        self.state.enter_phase(Phase::InFlight, now);
    }

    /// Its request is rejected: the client is slowed down.
    pub fn on_rejected(&mut self, now: Millis) {
        self.state.request_rejected(now);
    }

    /// Drops what was read.
    pub fn discard_input(&mut self) {
        self.input.discard();
    }

    /// Why it ends, once its last response is composed.
    pub fn end_cause(&self) -> Option<CloseCause> {
        self.end_cause
    }

    /// Its next response is the last, for this cause.
    pub fn set_end_cause(&mut self, cause: CloseCause) {
        self.end_cause = Some(cause);
    }

    /// Why a timeout closes it.
    pub fn timeout_cause(&self, now: Millis, shutdown: Option<GracefulShutdown>) -> CloseCause {
        let is_ending = shutdown.is_some_and(|shutdown| !shutdown.admits_clients(now));
        match self.state.phase() {
            Phase::SendingResponse => CloseCause::UnreadResponse,
            Phase::Lingering => CloseCause::Finished,
            _ if is_ending => CloseCause::Shutdown,
            _ => CloseCause::Idle,
        }
    }

    /// What the log tells of it at its close.
    pub fn describe(&self) -> AtClose {
        let unread = self.socket.peek(&mut [0; UNREAD_LOOK_BYTES]);
        AtClose {
            phase: self.state.phase(),
            unparsed: self.input.unparsed(),
            unread: unread.unwrap_or(0),
        }
    }

    /// The next response is the last.
    pub fn close_after_response(&mut self) {
        self.close_after_response = true;
    }

    /// Composes the response to its request. `is_ending`: the host's shutdown makes it the last on its connection.
    pub fn compose_response(&mut self, response: Response, is_ending: bool, now: Millis) {
        self.close_after_response |=
            is_ending || self.socket.is_disconnected() || self.input.closes_connection();
        if self.close_after_response && self.end_cause.is_none() {
            self.end_cause = Some(end_cause(is_ending, self.socket.is_disconnected()));
        }
        response.write(&mut self.output, self.close_after_response);
        self.input.finish_request();
        self.io = None;
        self.state.enter_phase(Phase::SendingResponse, now);
    }

    /// Writes as much as the socket takes. After the last byte of a response the connection is idle, or lingers before it
    /// is closed.
    pub fn flush(&mut self, now: Millis) -> FlushOutcome {
        let written = self.output.write_to(self.socket.stream_mut());
        if self.output.is_empty() {
            recycle(&mut self.output.head);
        }
        if written.is_err() {
            return FlushOutcome::Closed;
        }
        if self.has_output() || self.state.phase() != Phase::SendingResponse {
            return FlushOutcome::Pending;
        }
        if !self.close_after_response {
            self.state.enter_phase(Phase::Idle, now);
            return FlushOutcome::ResponseWritten;
        }
        if self.socket.shutdown_write().is_err() {
            return FlushOutcome::Closed;
        }
        self.state.enter_phase(Phase::Lingering, now);
        FlushOutcome::ResponseWritten
    }

    /// Removes it from the poll, and closes it.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(self.socket.stream_mut());
    }
}

/// Why a connection ends with a response that is no error of its own.
fn end_cause(is_ending: bool, is_disconnected: bool) -> CloseCause {
    match (is_disconnected, is_ending) {
        (true, _) => CloseCause::Disconnected,
        (false, true) => CloseCause::Shutdown,
        (false, false) => CloseCause::Finished,
    }
}
