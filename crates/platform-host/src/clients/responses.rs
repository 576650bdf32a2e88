//! Writes responses to clients.
use super::ClientConnections;
use crate::buffers::{discard_front, recycle};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::Phase;
use mallowseam_http1::ParseError;
use mallowseam_platform::response;
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use std::net::Shutdown;
use std::ops::Range;

/// Status of a request that took too long to arrive.
pub const REQUEST_TIMEOUT: u16 = 408;
/// Status of a request whose id is in flight.
pub const CONFLICT: u16 = 409;
/// Status of a good response.
pub const OK: u16 = 200;

/// A body: copied, or moved with the buffer that contains it.
enum Body<'b> {
    Copied(&'b [u8]),
    Buffer(Vec<u8>, Range<usize>),
}

impl Body<'_> {
    fn len(&self) -> usize {
        match self {
            Body::Copied(bytes) => bytes.len(),
            Body::Buffer(_, range) => range.len(),
        }
    }

    fn append_to(self, output: &mut OutgoingMessage) {
        match self {
            Body::Copied(bytes) => output.head.extend_from_slice(bytes),
            Body::Buffer(buffer, range) => output.set_body(buffer, range.start, range.end),
        }
    }
}

/// A response to a client.
pub struct Response<'b> {
    status: u16,
    body: Body<'b>,
    /// Retry-After in milliseconds; 0: none.
    retry_after_ms: u64,
}

impl<'b> Response<'b> {
    /// A response whose body is copied.
    pub fn new(status: u16, body: &'b [u8]) -> Self {
        Response {
            status,
            body: Body::Copied(body),
            retry_after_ms: 0,
        }
    }

    /// A response without a body.
    pub fn empty(status: u16) -> Self {
        Response::new(status, b"")
    }

    /// A good response whose body is moved with its buffer.
    pub fn from_buffer(buffer: Vec<u8>, body: Range<usize>) -> Self {
        Response {
            status: OK,
            body: Body::Buffer(buffer, body),
            retry_after_ms: 0,
        }
    }

    /// Adds Retry-After, in milliseconds; 0: none.
    pub fn with_retry_after(self, retry_after_ms: u64) -> Self {
        Response {
            retry_after_ms,
            ..self
        }
    }
}

/// The status for a message that cannot be parsed.
pub fn fault_status(fault: ParseError) -> u16 {
    match fault {
        ParseError::Malformed | ParseError::AmbiguousFraming => 400,
        ParseError::HeadTooLarge => 431,
        ParseError::BodyTooLarge => 413,
        ParseError::MissingLength => 411,
        ParseError::Unsupported => 501,
    }
}

impl ClientConnections {
    /// Responds to the request of a connection.
    pub fn respond(&mut self, slot: u32, response: Response, now: Millis) {
        let is_ending = self
            .shutdown
            .is_some_and(|shutdown| !shutdown.admits_clients(now));
        let Some(client) = self.connections.get_mut(slot) else {
            return;
        };
        let before = client.bytes();
        client.close_after_response |=
            is_ending || client.is_disconnected || client.reader.closes_connection();
        response::write_head(
            &mut client.output.head,
            response.status,
            response.body.len(),
            response.retry_after_ms,
            client.close_after_response,
        );
        response.body.append_to(&mut client.output);
        if let Some(request) = client.request.take() {
            discard_front(&mut client.input, request.end);
        }
        client.reader.reset();
        client.io = None;
        client.state.enter_phase(Phase::SendingResponse, now);
        self.bytes = self.bytes + client.bytes() - before;
        self.flush(slot, now);
    }

    /// Responds and closes the connection.
    pub fn respond_and_close(&mut self, slot: u32, response: Response, now: Millis) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.close_after_response = true;
        }
        self.respond(slot, response, now);
    }

    /// Responds to a message that cannot be parsed or is not accepted, and closes the connection.
    pub(super) fn respond_with_error(&mut self, slot: u32, status: u16, text: &str, now: Millis) {
        if let Some(client) = self.connections.get_mut(slot) {
            self.bytes -= client.bytes();
            client.discard_input();
            self.bytes += client.bytes();
        }
        self.respond_and_close(slot, Response::new(status, text.as_bytes()), now);
    }

    /// Writes the output. After the last byte the connection is read again, or lingers before it is closed.
    pub(super) fn flush(&mut self, slot: u32, now: Millis) {
        let Some(client) = self.connections.get_mut(slot) else {
            return;
        };
        let before = client.bytes();
        let written = client.output.write_to(&mut client.socket);
        if client.output.is_empty() {
            recycle(&mut client.output.head);
        }
        self.bytes = self.bytes + client.bytes() - before;
        if written.is_err() {
            return self.close(slot);
        }
        if !client.output.is_empty() || client.state.phase() != Phase::SendingResponse {
            return;
        }
        if client.close_after_response {
            if client.socket.shutdown(Shutdown::Write).is_err() {
                return self.close(slot);
            }
            client.state.enter_phase(Phase::Lingering, now);
        } else {
            client.state.enter_phase(Phase::Idle, now);
        }
        self.enqueue(slot);
    }
}
