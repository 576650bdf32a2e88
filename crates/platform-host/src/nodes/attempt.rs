//! An attempt of a block I/O that a connection carries, and its completion.
use mallowseam_http1::RequestHead;
use mallowseam_platform::request;
use mallowseam_platform::response::NodeResponse;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;

/// A client's request that an attempt forwards to a node.
pub struct ForwardedRequest<'r> {
    /// Head of the client's request.
    pub head: RequestHead<'r>,
    /// Body of the client's request.
    pub body: &'r [u8],
}

impl ForwardedRequest<'_> {
    /// Writes the request to `out`, with the attempt's timeout in its timeout header.
    pub fn write(&self, out: &mut Vec<u8>, timeout: Tick) {
        request::write_forwarded(out, &self.head, self.body, timeout_header_ms(timeout));
    }
}

/// Returns the value of the timeout header for an attempt, in milliseconds: at least 1, since 0 would mean that nobody
/// waits for the response.
pub fn timeout_header_ms(timeout: Tick) -> u64 {
    ticks_to_millis(timeout).max(1)
}

/// An attempt that a connection carries.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Block I/O of the attempt.
    pub io: BioId,
    /// Time at which the scheduler started the attempt; its latency counts from there.
    pub started_at: Tick,
    /// Time at which the attempt expires.
    pub deadline: Tick,
    /// Time at which the attempt expires if its connection is not established by then.
    pub connect_deadline: Tick,
    /// Serial number, unique among all attempts, which distinguishes attempts on the same slot.
    pub serial: u64,
}

impl Attempt {
    /// Returns the completion of the attempt at a node with a result that has arrived now.
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

/// A completed attempt, with its result.
#[derive(Clone, Copy)]
pub struct Completion {
    /// Block I/O of the attempt.
    pub io: BioId,
    /// Node to which the attempt was sent, or would have been sent.
    pub node: NodeId,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Time at which the scheduler started the attempt.
    pub started_at: Tick,
    /// Time at which the result arrived at the socket; `None`: the time of the current event.
    pub received_at: Option<Tick>,
    /// Response of the node, if there was one.
    pub response: Option<NodeResponse>,
}

impl Completion {
    /// Returns the completion of an attempt that was not sent.
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
