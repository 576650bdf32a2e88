//! One connection of a client.
use super::RequestStatus;
use crate::buffers::{REQUEST_LIMITS, recycle};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::{ClientConnection, Phase};
use mallowseam_http1::{MessageSpan, ParseError, RequestReader};
use mallowseam_platform::response;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use mio::net::TcpStream;
use std::io::ErrorKind;

/// A client's connection: one request at a time.
pub struct Client {
    pub socket: TcpStream,
    /// State of the connection, with its timeouts.
    pub state: ClientConnection,
    /// Bytes read; a request in flight stays at the front.
    pub input: Vec<u8>,
    pub reader: RequestReader,
    /// The complete request at the front of `input`.
    pub request: Option<MessageSpan>,
    /// The block I/O that is in flight for it.
    pub io: Option<BioId>,
    /// Bytes to be written.
    pub output: OutgoingMessage,
    /// The poll has reported the connection at least once.
    pub is_polled: bool,
    /// The socket may have more to read.
    pub is_readable: bool,
    /// The client has closed its side.
    pub is_disconnected: bool,
    /// The response in `output` is the last.
    pub close_after_response: bool,
    /// The connection is in the read queue.
    pub is_queued: bool,
}

/// Why reading has stopped.
pub enum ReadError {
    /// The message cannot be parsed.
    Invalid(ParseError),
    /// The connection has ended.
    Closed,
}

impl Client {
    /// A new connection.
    pub fn new(socket: TcpStream, now: Millis) -> Self {
        Client {
            socket,
            state: ClientConnection::new(now),
            input: Vec::new(),
            reader: RequestReader::default(),
            request: None,
            io: None,
            output: OutgoingMessage::default(),
            is_polled: false,
            is_readable: true,
            is_disconnected: false,
            close_after_response: false,
            is_queued: false,
        }
    }

    /// Bytes of its buffers.
    pub fn bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Drops what was read.
    pub fn discard_input(&mut self) {
        self.request = None;
        recycle(&mut self.input);
    }

    /// Whether part of a request waits in the socket; peeks at it.
    pub fn has_unread_request(&mut self) -> bool {
        if !matches!(
            self.state.phase(),
            Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle
        ) {
            return false;
        }
        self.is_readable |= matches!(self.socket.peek(&mut [0]), Ok(count) if count > 0);
        self.is_readable
    }

    /// Whether the client has disconnected, without waiting for the poll; peeks at the socket, which shows the end of the
    /// stream once all bytes before it were read.
    pub fn check_disconnected(&mut self) -> bool {
        self.is_disconnected |= match self.socket.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        self.is_disconnected
    }

    /// Reads until a request is complete or the socket is empty.
    pub fn read_request(
        &mut self,
        scratch: &mut [u8],
        now: Millis,
    ) -> Result<RequestStatus, ReadError> {
        loop {
            if !self.input.is_empty() && self.advance(now)? == RequestStatus::Complete {
                return Ok(RequestStatus::Complete);
            }
            if !self.is_readable {
                return Ok(RequestStatus::Incomplete);
            }
            let limit = (REQUEST_LIMITS.buffer_capacity() - self.input.len()).min(scratch.len());
            match nonblocking::read(&mut self.socket, &mut scratch[..limit]) {
                ReadOutcome::Read(count) => {
                    self.input.extend_from_slice(&scratch[..count]);
                    // A short read has emptied the socket, and the poll reports what arrives later; but the end of
                    // the stream is reported only once.
                    self.is_readable = count == limit || self.is_disconnected;
                }
                ReadOutcome::WouldBlock => self.is_readable = false,
                ReadOutcome::Closed(_) => return Err(ReadError::Closed),
            }
        }
    }

    /// Parses what was read. A client that expects it gets 100 Continue.
    fn advance(&mut self, now: Millis) -> Result<RequestStatus, ReadError> {
        if self.state.phase() != Phase::ReceivingRequest {
            self.state.enter_phase(Phase::ReceivingRequest, now);
        }
        self.request = self
            .reader
            .advance(&mut self.input, REQUEST_LIMITS)
            .map_err(ReadError::Invalid)?;
        if self.request.is_some() {
            return Ok(RequestStatus::Complete);
        }
        if self.reader.take_expect_continue() {
            self.output.head.extend_from_slice(response::CONTINUE);
            self.output
                .write_to(&mut self.socket)
                .map_err(|_| ReadError::Closed)?;
        }
        Ok(RequestStatus::Incomplete)
    }

    /// Reads and drops what a client sends after its last response. False: the connection is to be closed.
    pub fn drain_input(&mut self, scratch: &mut [u8]) -> bool {
        while self.is_readable {
            match nonblocking::read(&mut self.socket, scratch) {
                ReadOutcome::Read(count) if self.state.bytes_discarded(count) => return false,
                ReadOutcome::Read(_) => {}
                ReadOutcome::WouldBlock => self.is_readable = false,
                ReadOutcome::Closed(_) => return false,
            }
        }
        true
    }
}
