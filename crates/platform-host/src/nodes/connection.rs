//! Connection to a storage node, and the attempt that it carries.
use super::attempt::{Attempt, ForwardedRequest, timeout_header_ms};
use super::request_buffer::RequestBuffer;
use super::response_buffer::{BufferRead, ResponseBuffer};
use mallowseam_http1::{MessageSpan, ParseError};
use mallowseam_scheduler::interface::{BioId, NodeId, Tick};
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::Registry;
use mio::net::TcpStream;
use std::net::SocketAddr;

/// State of a connection that is being established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// The connection is established.
    Up,
    /// The node has not yet accepted the connection.
    Pending,
    /// The connection has failed or cannot be used.
    Failed,
}

/// A connection to a storage node, which carries one attempt at a time.
pub struct NodeConnection {
    socket: TcpStream,
    node: NodeId,
    /// The connection was established.
    is_up: bool,
    /// Attempt that the connection carries; `None` while it is idle.
    attempt: Option<Attempt>,
    request: RequestBuffer,
    response: ResponseBuffer,
    /// Time since which the connection is idle, or was idle before its attempt.
    idle_since: Tick,
    /// The connection has carried an earlier attempt.
    is_reused: bool,
}

impl NodeConnection {
    /// Begins to open a connection to an address.
    ///
    /// # Errors
    /// Returns the error of the operating system, for example a refusal by a node on the same machine.
    pub fn open(node: NodeId, address: SocketAddr, now: Tick) -> std::io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        let _ = socket.set_nodelay(true);
        Ok(NodeConnection {
            socket,
            node,
            is_up: false,
            attempt: None,
            request: RequestBuffer::default(),
            response: ResponseBuffer::default(),
            idle_since: now,
            is_reused: false,
        })
    }

    /// Returns the socket, to register it with the poll.
    pub fn socket_mut(&mut self) -> &mut TcpStream {
        &mut self.socket
    }

    /// Returns the node of the connection.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns whether the connection was established.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the attempt that the connection carries, or `None` while it is idle.
    pub fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// Returns whether the connection carries an attempt of this block I/O.
    pub fn carries(&self, io: BioId) -> bool {
        self.attempt.is_some_and(|attempt| attempt.io == io)
    }

    /// Returns whether the connection has carried an earlier attempt.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the time since which the connection is idle, or was idle before its attempt.
    pub fn idle_since(&self) -> Tick {
        self.idle_since
    }

    /// Returns whether the connection is established and carries no attempt.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.attempt.is_none()
    }

    /// Returns whether the last byte of the request was written. From then on the node may have executed it.
    pub fn is_request_written(&self) -> bool {
        self.is_up && self.request.is_written()
    }

    /// Reads from the socket, and returns whether it is open and has no bytes to read. A byte that was read is lost, so
    /// the connection cannot be used if this is `false`.
    pub fn is_open_without_input(&mut self) -> bool {
        let read = nonblocking::read(&mut self.socket, &mut [0]);
        matches!(read, ReadOutcome::WouldBlock)
    }

    /// Begins an attempt, and composes its request to be written.
    pub fn begin_attempt(&mut self, attempt: Attempt, request: &ForwardedRequest) {
        let timeout = attempt.deadline - attempt.started_at;
        request.write(self.request.compose(), timeout);
        self.attempt = Some(attempt);
    }

    /// Checks a connection that is being established. It fails if the node has already sent bytes, since they cannot be
    /// the response to a request that was not yet written.
    pub fn check_connect(&mut self) -> Connect {
        let error = self.socket.take_error();
        if error.map_or(true, |error| error.is_some()) {
            return Connect::Failed;
        }
        if self.socket.peer_addr().is_err() {
            return Connect::Pending;
        }
        if !self.is_open_without_input() {
            return Connect::Failed;
        }
        self.is_up = true;
        Connect::Up
    }

    /// Updates the timeout header of the request to the remaining time, in ticks.
    pub fn update_timeout_header(&mut self, remaining: Tick) {
        self.request
            .update_timeout_header(timeout_header_ms(remaining));
    }

    /// Writes as much of the request as the socket accepts.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    pub fn write_request(&mut self) -> Result<(), ConnectionError> {
        self.request.write_to(&mut self.socket)
    }

    /// Returns whether every byte of the request was written, or there is no request.
    pub fn has_written_all(&self) -> bool {
        self.request.is_written()
    }

    /// Returns the buffer of the bytes read of the response.
    pub fn response(&self) -> &ResponseBuffer {
        &self.response
    }

    /// Reads once from the socket into the response buffer.
    pub fn read_response(&mut self, scratch: &mut [u8]) -> BufferRead {
        self.response.read_from(&mut self.socket, scratch)
    }

    /// Parses the bytes read of the response. Returns `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or exceeds a limit.
    pub fn parse_response(&mut self) -> Result<Option<MessageSpan>, ParseError> {
        self.response.parse()
    }

    /// Takes the bytes of the complete response out of the buffer.
    pub fn take_response(&mut self) -> Vec<u8> {
        self.response.take_bytes()
    }

    /// Makes the connection idle after its attempt has completed.
    pub fn become_idle(&mut self, now: Tick) {
        self.attempt = None;
        self.idle_since = now;
        self.is_reused = true;
        self.request.clear();
        self.response.clear();
    }

    /// Removes the connection from the poll and closes it. Returns the attempt that it carried.
    pub fn close(mut self, registry: &Registry) -> Option<Attempt> {
        let _ = registry.deregister(&mut self.socket);
        self.attempt
    }
}
