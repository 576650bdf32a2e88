//! An attempt on a connection, and its completion.
use mallowseam_http1::RequestHead;
use mallowseam_platform::request;
use mallowseam_platform::response::NodeResponse;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;

/// A client's request as an attempt forwards it.
pub struct ForwardedRequest<'r> {
    /// Its head.
    pub head: RequestHead<'r>,
    /// Its body.
    pub body: &'r [u8],
}

impl ForwardedRequest<'_> {
    /// Writes the request, with the time that the host will wait.
    pub fn write(&self, out: &mut Vec<u8>, timeout: Tick) {
        request::write_forwarded(out, &self.head, self.body, stated_timeout(timeout));
    }
}

/// The timeout that a request states, in milliseconds: 0 would mean that nobody waits.
pub fn stated_timeout(timeout: Tick) -> u64 {
    ticks_to_millis(timeout).max(1)
}

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
