//! Composes responses to clients and writes them.
use super::ClientConnections;
use super::close_cause::CloseCause;
use super::flush_outcome::FlushOutcome;
use mallowseam_connection_policy::Millis;
use mallowseam_http1::ParseError;
use mallowseam_platform::response;
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use std::num::NonZeroU64;
use std::ops::Range;

/// HTTP status for a request that took too long to arrive.
pub const REQUEST_TIMEOUT: u16 = 408;
/// HTTP status for a request whose id is already in flight.
pub const CONFLICT: u16 = 409;
/// HTTP status of a successful response.
pub const OK: u16 = 200;

/// Body of a response: copied, or moved with the buffer that contains it.
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
    /// Value of Retry-After in milliseconds; `None` or 0 omits the header.
    retry_after_ms: Option<u64>,
}

impl<'b> Response<'b> {
    /// Creates a response whose body is copied when it is written.
    pub fn new(status: u16, body: &'b [u8]) -> Self {
        Response {
            status,
            body: Body::Copied(body),
            retry_after_ms: None,
        }
    }

    /// Creates a response with an empty body.
    pub fn empty(status: u16) -> Self {
        Response::new(status, b"")
    }

    /// Creates the response to a request that was not executed. `retry_after_ms`: time after which the client may retry,
    /// which the response states if there is one.
    pub fn shed(retry_after_ms: Option<u64>) -> Self {
        Response::empty(response::SHED_STATUS).with_retry_after(retry_after_ms)
    }

    /// Creates a successful response whose body is moved with the buffer that contains it.
    pub fn from_buffer(buffer: Vec<u8>, body: Range<usize>) -> Self {
        Response {
            status: OK,
            body: Body::Buffer(buffer, body),
            retry_after_ms: None,
        }
    }

    /// Sets the value of Retry-After, in milliseconds.
    fn with_retry_after(self, retry_after_ms: Option<u64>) -> Self {
        Response {
            retry_after_ms,
            ..self
        }
    }

    /// Writes the response to `output`. `is_last`: the response is the last on its connection.
    pub fn write(self, output: &mut OutgoingMessage, is_last: bool) {
        response::write_head(
            &mut output.head,
            self.status,
            self.body.len(),
            self.retry_after_ms.and_then(NonZeroU64::new),
            is_last,
        );
        self.body.append_to(output);
    }
}

/// Error response to a message that is not accepted, after which the connection is closed.
pub struct ErrorResponse {
    /// HTTP status of the response.
    pub status: u16,
    /// Body of the response.
    pub text: &'static str,
    /// Cause for which the connection ends.
    pub cause: CloseCause,
}

/// Returns the HTTP status for a message that cannot be parsed.
pub fn parse_error_status(error: ParseError) -> u16 {
    match error {
        ParseError::Malformed | ParseError::AmbiguousFraming => 400,
        ParseError::HeadTooLarge => 431,
        ParseError::BodyTooLarge => 413,
        ParseError::MissingLength => 411,
        ParseError::Unsupported => 501,
    }
}

impl ClientConnections {
    /// Sends the response to the current request of a connection.
    pub fn respond(&mut self, slot: u32, response: Response, now: Millis) {
        let shutdown = self.shutdown;
        let is_last_by_shutdown = shutdown.is_some_and(|shutdown| shutdown.ends_connections(now));
        let Some(client) = self.connections.get_mut(slot) else {
            return;
        };
        let before = client.bytes();
        client.compose_response(response, is_last_by_shutdown, now);
        self.memory.resize(before, client.bytes());
        self.flush(slot, now);
    }

    /// Sends the response to the current request, and closes the connection after it.
    pub fn respond_and_close(&mut self, slot: u32, response: Response, now: Millis) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.close_after_response();
        }
        self.respond(slot, response, now);
    }

    /// Sends an error response to a message that cannot be parsed or is not accepted, and closes the connection after
    /// it.
    pub(super) fn respond_with_error(&mut self, slot: u32, error: &ErrorResponse, now: Millis) {
        if let Some(client) = self.connections.get_mut(slot) {
            let before = client.bytes();
            client.discard_input();
            client.set_end_cause(error.cause);
            self.memory.resize(before, client.bytes());
        }
        let response = Response::new(error.status, error.text.as_bytes());
        self.respond_and_close(slot, response, now);
    }

    /// Writes the bytes that wait to be written. After the last byte of a response the connection is queued to be read
    /// again.
    pub(super) fn flush(&mut self, slot: u32, now: Millis) {
        let Some(client) = self.connections.get_mut(slot) else {
            return;
        };
        let before = client.bytes();
        let outcome = client.flush(now);
        self.memory.resize(before, client.bytes());
        match outcome {
            FlushOutcome::Pending => {}
            FlushOutcome::ResponseWritten => self.enqueue(slot),
            FlushOutcome::Closed => self.close(slot, CloseCause::Disconnected),
        }
    }
}
