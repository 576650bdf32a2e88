//! Observations of a run: messages on the sockets of clients, nodes and discovery services, and the starts and ends of
//! processes.
use crate::trace::Micros;

/// End of a host process, or the request for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// SIGKILL ended the process.
    Killed,
    /// SIGTERM was sent; the process still runs, and its end is an observation of its own.
    Requested,
    /// The process exited by itself or after SIGTERM, with this exit code; -1 if a signal ended it.
    Exited(i32),
}

/// Event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client sent the last byte of a request to a host.
    RequestSent {
        /// Identifier of the operation.
        op: u64,
        /// Host that the request was sent to.
        host: u32,
        /// Volume of the operation.
        volume: u32,
        /// Extent within the volume. Volume and extent are the ordering key of writes.
        extent: u64,
        /// Whether the operation is a write; otherwise it is a read.
        write: bool,
        /// Size of the operation, in units.
        units: u32,
        /// Time until the deadline of the operation, in microseconds.
        timeout: Micros,
    },
    /// A client received the last byte of a response.
    ResponseReceived {
        /// The operation.
        op: u64,
        /// HTTP status.
        status: u16,
        /// Whether the response is a 200 with the body that a node produced for this operation.
        authentic: bool,
    },
    /// The timeout of the operation passed before a response arrived.
    ClientTimedOut {
        /// The operation.
        op: u64,
    },
    /// The client's connection ended without a response.
    ConnectionLost {
        /// The operation.
        op: u64,
    },
    /// The host closed an idle connection while a client's request on it was in transit, and left the request unread.
    /// The client sends it once more on a new connection.
    RequestUnread {
        /// The operation.
        op: u64,
    },
    /// The link between client and host was impaired during the operation, so a missing response is no violation.
    Excused {
        /// The operation.
        op: u64,
    },
    /// No host of the operation's volume accepted clients.
    NoHostAvailable {
        /// The operation.
        op: u64,
    },
    /// A node received the last byte of an attempt.
    NodeReceived {
        /// The node.
        node: u32,
        /// The host that sent the attempt.
        host: u32,
        /// The operation.
        op: u64,
        /// Size of the operation, in units.
        units: u32,
        /// Whether the operation is a write; otherwise it is a read.
        write: bool,
        /// Time at which the host had sent the first byte of the attempt. A link with a fault may deliver it later.
        sent_at: Micros,
    },
    /// A node responded to an attempt.
    NodeResponded {
        /// The node.
        node: u32,
        /// The operation.
        op: u64,
        /// Whether the attempt was executed; otherwise it was rejected.
        executed: bool,
    },
    /// The connection or the node's process ended with this attempt pending.
    NodeConnectionLost {
        /// The node.
        node: u32,
        /// The operation.
        op: u64,
    },
    /// A host's connection to a node was established.
    NodeConnectionOpened {
        /// The node.
        node: u32,
        /// The host.
        host: u32,
    },
    /// A node's process started, cold.
    NodeStarted {
        /// The node.
        node: u32,
    },
    /// A cold node collapsed under overload.
    NodeCollapsed {
        /// The node.
        node: u32,
    },
    /// A node's process was stopped.
    NodeStopped {
        /// The node.
        node: u32,
    },
    /// The discovery service sent a node's entry to a host.
    EndpointSent {
        /// The host.
        host: u32,
        /// The node.
        node: u32,
        /// Whether the entry says that the node accepts block I/Os.
        accepting: bool,
        /// Version of the list.
        version: u64,
        /// Start of the node's process; 0 if it was before the run.
        started_at: Micros,
    },
    /// The discovery service has an entry that it cannot send to a host. The host counts as notified from
    /// `effective_at` on, unless an entry of that version or a newer one is sent before.
    EndpointUndeliverable {
        /// The host.
        host: u32,
        /// The node.
        node: u32,
        /// Whether the entry says that the node accepts block I/Os.
        accepting: bool,
        /// Version of the list.
        version: u64,
        /// When the host counts as notified.
        effective_at: Micros,
    },
    /// The discovery service received a complete poll of a host.
    PollReceived {
        /// The host.
        host: u32,
        /// Number of polls that wait at the service, including this one.
        queued: u32,
    },
    /// The discovery service sent a host a full snapshot or an incremental update.
    PollServed {
        /// The host.
        host: u32,
        /// Version of the list.
        version: u64,
    },
    /// The discovery service rejected a host's poll.
    PollRejected {
        /// The host.
        host: u32,
    },
    /// A host's process was started.
    HostStarted {
        /// The host.
        host: u32,
    },
    /// A host reported readiness.
    HostReady {
        /// The host.
        host: u32,
    },
    /// A host's process ended, or was sent SIGTERM.
    HostStopped {
        /// The host.
        host: u32,
        /// How the process ended.
        by: Termination,
    },
}

/// Event of a run with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// The event.
    pub event: Event,
}
