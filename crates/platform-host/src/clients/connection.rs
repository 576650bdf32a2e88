//! Connection of one client.
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

/// A client's connection, which carries one request at a time.
pub struct Client {
    socket: ClientSocket,
    /// Phase of the connection, with its timeouts.
    state: ClientConnection,
    /// Bytes read, with the current request at the front.
    input: RequestBuffer,
    /// Bytes to be written to the client.
    output: OutgoingMessage,
    /// Block I/O in flight for the current request.
    io: Option<BioId>,
    /// The next response, or the one in `output`, is the last on the connection.
    closes_after_response: bool,
    /// Cause for which the connection ends; set at the latest when its last response is composed.
    end_cause: Option<CloseCause>,
    /// The connection is in the read queue.
    is_queued: bool,
}

/// State of a connection at its close, for the log.
#[derive(Debug)]
#[expect(dead_code, reason = "read by the derived Debug alone")]
pub struct AtClose {
    phase: Phase,
    /// Number of bytes that were read and belong to no complete request.
    unparsed: usize,
    /// Number of unread bytes in the socket, at most `UNREAD_PEEK_BYTES`.
    unread: usize,
}

/// Maximum number of unread bytes that the log counts at the close of a connection.
const UNREAD_PEEK_BYTES: usize = 1_024;

/// Error that ends reading from a connection.
pub enum ReadError {
    /// The message cannot be parsed.
    Invalid(ParseError),
    /// The client has closed the connection, or it has failed.
    Closed,
}

impl Client {
    /// Creates the state of a connection accepted at `now`.
    pub fn new(stream: TcpStream, now: Millis) -> Self {
        Client {
            socket: ClientSocket::new(stream),
            state: ClientConnection::new(now),
            input: RequestBuffer::default(),
            output: OutgoingMessage::default(),
            io: None,
            closes_after_response: false,
            end_cause: None,
            is_queued: false,
        }
    }

    /// Returns the socket.
    pub fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    /// Returns the phase of the connection, with its timeouts.
    pub fn state(&self) -> &ClientConnection {
        &self.state
    }

    /// Returns the capacity of the connection's buffers, in bytes.
    pub fn bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Marks the connection as queued to be read. Returns `false` if it was already queued.
    pub fn enqueue(&mut self) -> bool {
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// Marks the connection as no longer queued to be read.
    pub fn dequeue(&mut self) {
        self.is_queued = false;
    }

    /// Returns whether the connection is queued to be read.
    pub fn is_queued(&self) -> bool {
        self.is_queued
    }

    /// Records an event that the poll has reported for the connection.
    pub fn on_event(&mut self, event: SocketEvent) {
        self.socket.on_event(event);
    }

    /// Returns whether bytes wait to be written.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns the block I/O in flight if the client has disconnected.
    pub fn disconnected_io(&self) -> Option<BioId> {
        self.io.filter(|_| self.socket.is_disconnected())
    }

    /// Returns whether the client has disconnected. `is_poll_stale`: the last poll is too old to rely on, so the socket
    /// is checked.
    pub fn check_disconnected(&mut self, is_poll_stale: bool) -> bool {
        self.socket.check_disconnected(is_poll_stale)
    }

    /// Peeks at the socket and returns whether part of an awaited request may be in it.
    pub fn has_unread_request(&mut self) -> bool {
        let phase = self.state.phase();
        let is_awaiting = matches!(
            phase,
            Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle
        );
        is_awaiting && self.socket.check_readable()
    }

    /// Returns whether the connection may be read, and may have bytes to read or to parse.
    pub fn has_readable_input(&self, now: Millis) -> bool {
        self.may_read(now) && (self.socket.is_readable() || !self.input.is_empty())
    }

    /// Returns the action for the timeout that has elapsed, if any.
    pub fn check_timeouts(
        &mut self,
        now: Millis,
        shutdown: Option<GracefulShutdown>,
    ) -> TimeoutAction {
        self.state.check_timeouts(now, shutdown)
    }

    /// Returns the head and the body of the complete request, if there is one.
    pub fn request(&self) -> Option<(RequestHead<'_>, &[u8])> {
        self.input.request()
    }

    /// Returns whether the client's bytes may be read. They stay in the socket during the backoff after a rejection,
    /// and while a request is in flight.
    pub fn may_read(&self, now: Millis) -> bool {
        self.state.may_read(now)
    }

    /// Reads until a request is complete or the socket is empty.
    ///
    /// # Errors
    /// Returns an error if the message is malformed, or the connection has ended.
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
            let limit = self.input.remaining_capacity().min(scratch.len());
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

    /// Parses the bytes read so far. Sends 100 Continue to a client that expects it.
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

    /// Returns whether the last response was sent and the connection only waits for the client to close its side.
    pub fn is_lingering(&self) -> bool {
        self.state.phase() == Phase::Lingering
    }

    /// Reads and discards bytes that the client sends after its last response. Returns `false` if the connection has to
    /// be closed.
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

    /// Records that the request is in flight as the block I/O `io`.
    pub fn on_admitted(&mut self, io: BioId, now: Millis) {
        self.io = Some(io);
        self.state.request_accepted();
        self.state.enter_phase(Phase::InFlight, now);
    }

    /// Records that the request was rejected. The next one is read after a backoff.
    pub fn on_rejected(&mut self, now: Millis) {
        self.state.request_rejected(now);
    }

    /// Discards all bytes read, including a complete request.
    pub fn discard_input(&mut self) {
        self.input.discard();
    }

    /// Returns the cause for which the connection ends, or `None` before its last response is composed.
    pub fn end_cause(&self) -> Option<CloseCause> {
        self.end_cause
    }

    /// Sets the cause for which the connection ends with its next response.
    pub fn set_end_cause(&mut self, cause: CloseCause) {
        self.end_cause = Some(cause);
    }

    /// Returns the cause to count when a timeout closes the connection.
    pub fn timeout_cause(&self, now: Millis, shutdown: Option<GracefulShutdown>) -> CloseCause {
        let is_shutdown = shutdown.is_some_and(|shutdown| !shutdown.admits_clients(now));
        match self.state.phase() {
            Phase::SendingResponse => CloseCause::UnreadResponse,
            Phase::Lingering => CloseCause::Finished,
            _ if is_shutdown => CloseCause::Shutdown,
            _ => CloseCause::Idle,
        }
    }

    /// Returns the state of the connection at its close, for the log.
    pub fn describe(&self) -> AtClose {
        let unread = self.socket.peek(&mut [0; UNREAD_PEEK_BYTES]);
        AtClose {
            phase: self.state.phase(),
            unparsed: self.input.unparsed(),
            unread: unread.unwrap_or(0),
        }
    }

    /// Makes the next response the last on the connection.
    pub fn close_after_response(&mut self) {
        self.closes_after_response = true;
    }

    /// Composes the response to the current request. `is_last_by_shutdown`: the host's graceful shutdown makes it the
    /// last on the connection.
    pub fn compose_response(&mut self, response: Response, is_last_by_shutdown: bool, now: Millis) {
        self.closes_after_response |=
            is_last_by_shutdown || self.socket.is_disconnected() || self.input.closes_connection();
        if self.closes_after_response && self.end_cause.is_none() {
            self.end_cause = Some(end_cause(
                is_last_by_shutdown,
                self.socket.is_disconnected(),
            ));
        }
        response.write(&mut self.output, self.closes_after_response);
        self.input.finish_request();
        self.io = None;
        self.state.enter_phase(Phase::SendingResponse, now);
    }

    /// Writes as many bytes as the socket accepts. After the last byte of a response the connection is idle, or lingers
    /// before it is closed.
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
        if !self.closes_after_response {
            self.state.enter_phase(Phase::Idle, now);
            return FlushOutcome::ResponseWritten;
        }
        if self.socket.shutdown_write().is_err() {
            return FlushOutcome::Closed;
        }
        self.state.enter_phase(Phase::Lingering, now);
        FlushOutcome::ResponseWritten
    }

    /// Removes the connection from the poll, and closes it.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(self.socket.stream_mut());
    }
}

/// Returns the cause for which a connection ends after a last response that is not an error response.
fn end_cause(is_last_by_shutdown: bool, is_disconnected: bool) -> CloseCause {
    match (is_disconnected, is_last_by_shutdown) {
        (true, _) => CloseCause::Disconnected,
        (false, true) => CloseCause::Shutdown,
        (false, false) => CloseCause::Finished,
    }
}
