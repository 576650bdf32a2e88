//! One connection to a storage node, and the attempt that it carries.
use mallowseam_http1::ResponseReader;
use mallowseam_platform::response::NodeResponse;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mio::net::TcpStream;

/// An attempt that a connection carries.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Its block I/O.
    pub io: BioId,
    /// When the scheduler started it; its latency counts from there.
    pub started_at: Tick,
    /// When the attempt expires.
    pub deadline: Tick,
    /// When the connect expires.
    pub connect_deadline: Tick,
    /// Distinguishes it from other attempts on the same connection.
    pub serial: u64,
}

impl Attempt {
    /// Completes the attempt at a node, as of now.
    pub fn complete(&self, node: NodeId, result: AttemptResult) -> Completion {
        Completion {
            io: self.io,
            node,
            result,
            started_at: self.started_at,
            received_at: None,
            response: None,
        }
    }
}

/// A completed attempt.
#[derive(Clone, Copy)]
pub struct Completion {
    /// Its block I/O.
    pub io: BioId,
    /// Where it was sent, or would have been.
    pub node: NodeId,
    /// The result.
    pub result: AttemptResult,
    /// When the scheduler started it.
    pub started_at: Tick,
    /// When the result arrived at the socket; none: now.
    pub received_at: Option<Tick>,
    /// The node's response, where there was one.
    pub response: Option<NodeResponse>,
}

impl Completion {
    /// The completion of an attempt that was not sent.
    pub fn unsent(io: BioId, node: NodeId, result: AttemptResult, now: Tick) -> Self {
        Completion {
            io,
            node,
            result,
            started_at: now,
            received_at: None,
            response: None,
        }
    }
}

/// A connection to a node.
pub struct NodeConnection {
    pub socket: TcpStream,
    pub node: NodeId,
    /// The connect has succeeded.
    pub is_up: bool,
    /// None while the connection is idle.
    pub attempt: Option<Attempt>,
    /// The request, and how many of its bytes were written.
    pub request: Vec<u8>,
    pub sent: usize,
    /// What was read of the response.
    pub response: Vec<u8>,
    pub reader: ResponseReader,
    pub idle_since: Tick,
    /// It has carried an attempt before.
    pub is_reused: bool,
}

impl NodeConnection {
    /// A connection that is being opened.
    pub fn new(socket: TcpStream, node: NodeId, now: Tick) -> Self {
        NodeConnection {
            socket,
            node,
            is_up: false,
            attempt: None,
            request: Vec::new(),
            sent: 0,
            response: Vec::new(),
            reader: ResponseReader::default(),
            idle_since: now,
            is_reused: false,
        }
    }

    /// Whether the last byte of the request was written: from then on the node may have executed it.
    pub fn is_request_written(&self) -> bool {
        self.is_up && self.sent == self.request.len()
    }

    /// Whether it carries an attempt of this block I/O.
    pub fn carries(&self, io: BioId) -> bool {
        self.attempt.is_some_and(|attempt| attempt.io == io)
    }
}
