//! One connection to a storage node, and the attempt that it carries.
use super::attempt::{Attempt, ForwardedRequest, stated_timeout};
use super::request_buffer::RequestBuffer;
use super::response_buffer::{BufferRead, ResponseBuffer};
use mallowseam_http1::{MessageSpan, ParseError};
use mallowseam_scheduler::interface::{BioId, NodeId, Tick};
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::Registry;
use mio::net::TcpStream;
use std::net::SocketAddr;

/// State of a connect in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// The connection is up.
    Up,
    /// The node has not answered yet.
    Pending,
    /// The connection cannot be used.
    Failed,
}

/// A connection to a node.
pub struct NodeConnection {
    socket: TcpStream,
    node: NodeId,
    /// The connect has succeeded.
    is_up: bool,
    /// None while the connection is idle.
    attempt: Option<Attempt>,
    request: RequestBuffer,
    response: ResponseBuffer,
    idle_since: Tick,
    /// It has carried an attempt before.
    is_reused: bool,
}

impl NodeConnection {
    /// A connection that is being opened to an address.
    ///
    /// # Errors
    /// The system's, for example a refusal by a node on this machine.
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

    /// Its socket, for the poll.
    pub fn socket_mut(&mut self) -> &mut TcpStream {
        &mut self.socket
    }

    /// Its node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Whether the connect has succeeded.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// The attempt that it carries; none while it is idle.
    pub fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// Whether it carries an attempt of this block I/O.
    pub fn carries(&self, io: BioId) -> bool {
        self.attempt.is_some_and(|attempt| attempt.io == io)
    }

    /// Whether it has carried an attempt before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Since when it has been idle, or was before its attempt.
    pub fn idle_since(&self) -> Tick {
        self.idle_since
    }

    /// Whether it is up and carries no attempt.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.attempt.is_none()
    }

    /// Whether the last byte of the request was written: from then on the node may have executed it.
    pub fn is_request_written(&self) -> bool {
        self.is_up && self.request.is_written()
    }

    /// Whether it is open and has nothing to read.
    pub fn is_quiet(&mut self) -> bool {
        let read = nonblocking::read(&mut self.socket, &mut [0]);
        matches!(read, ReadOutcome::WouldBlock)
    }

    /// Carries an attempt from now on: its request is to be written.
    pub fn begin_attempt(&mut self, attempt: Attempt, request: &ForwardedRequest) {
        let timeout = attempt.deadline - attempt.started_at;
        request.write(self.request.compose(), timeout);
        self.attempt = Some(attempt);
    }

    /// Checks a connect in progress. Whatever a node sends before the request is not a response to it.
    pub fn check_connect(&mut self) -> Connect {
        let error = self.socket.take_error();
        if error.map_or(true, |error| error.is_some()) {
            return Connect::Failed;
        }
        if self.socket.peer_addr().is_err() {
            return Connect::Pending;
        }
        if !self.is_quiet() {
            return Connect::Failed;
        }
        self.is_up = true;
        Connect::Up
    }

    /// Updates the timeout that the request states to the time left.
    pub fn restate_timeout(&mut self, time_left: Tick) {
        self.request.restate_timeout(stated_timeout(time_left));
    }

    /// Writes as much of the request as the socket takes.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn write_request(&mut self) -> Result<(), ConnectionError> {
        self.request.write_to(&mut self.socket)
    }

    /// Whether every byte of the request was handed to the socket, or there is none.
    pub fn has_written_all(&self) -> bool {
        self.request.is_written()
    }

    /// What was read of the response.
    pub fn response(&self) -> &ResponseBuffer {
        &self.response
    }

    /// Reads once from the response.
    pub fn read_response(&mut self, scratch: &mut [u8]) -> BufferRead {
        self.response.read_from(&mut self.socket, scratch)
    }

    /// Parses what was read of the response; none: it is incomplete.
    ///
    /// # Errors
    /// The response is malformed or exceeds a limit.
    pub fn parse_response(&mut self) -> Result<Option<MessageSpan>, ParseError> {
        self.response.parse()
    }

    /// Moves out the bytes of the complete response.
    pub fn take_response(&mut self) -> Vec<u8> {
        self.response.take_bytes()
    }

    /// Is idle from now on: its attempt has completed.
    pub fn become_idle(&mut self, now: Tick) {
        self.attempt = None;
        self.idle_since = now;
        self.is_reused = true;
        self.request.clear();
        self.response.clear();
    }

    /// Removes it from the poll; its attempt.
    pub fn close(mut self, registry: &Registry) -> Option<Attempt> {
        let _ = registry.deregister(&mut self.socket);
        self.attempt
    }
}
