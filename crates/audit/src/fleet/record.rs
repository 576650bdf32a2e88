//! What was observed of a run: messages on the sockets of clients, nodes and discovery services, and the starts and
//! ends of processes.
use crate::trace::Micros;

/// How a host process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// By SIGKILL.
    Killed,
    /// SIGTERM was sent; the process still runs, and its end is an observation of its own.
    Requested,
    /// By itself or after SIGTERM, with this exit code (-1: by a signal).
    Exited(i32),
}

/// One event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client sent the last byte of a request to a host.
    RequestSent {
        /// Identifier of the operation.
        op: u64,
        /// The host that it was sent to.
        host: u32,
        /// The volume that it is for.
        volume: u32,
        /// The extent within the volume; volume and extent are the key that writes are ordered by.
        extent: u64,
        /// A write; otherwise a read.
        write: bool,
        /// Its size in units.
        units: u32,
        /// Time until its deadline, in microseconds.
        timeout: Micros,
    },
    /// A client received the last byte of the response.
    ResponseReceived {
        /// The operation.
        op: u64,
        /// HTTP status.
        status: u16,
        /// A 200 with the body that a node produced for this operation.
        authentic: bool,
    },
    /// The client's timeout passed before a response.
    ClientTimedOut {
        /// The operation.
        op: u64,
    },
    /// The client's connection ended without a response.
    ConnectionLost {
        /// The operation.
        op: u64,
    },
    /// The idle connection that a client sent a request on ended, and the host had left the request unread: it crossed
    /// the host's close. The client sends it once more on a new connection.
    RequestUnread {
        /// The operation.
        op: u64,
    },
    /// The link between client and host was impaired meanwhile: a missing response is not held against the host.
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
        /// The host that sent it.
        host: u32,
        /// The operation.
        op: u64,
        /// Its size in units.
        units: u32,
        /// A write; otherwise a read.
        write: bool,
    },
    /// A node responded to an attempt.
    NodeResponded {
        /// The node.
        node: u32,
        /// The operation.
        op: u64,
        /// It was executed; otherwise rejected.
        executed: bool,
    },
    /// The connection, or the node's process, ended with this attempt pending.
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
        /// The entry says that the node accepts block I/Os.
        accepting: bool,
        /// Version of the list.
        version: u64,
        /// Start of the node's process; 0: long ago.
        started_at: Micros,
    },
    /// The discovery service has an entry that it can't send to a host. The host counts as notified from a later time
    /// on, unless an entry of that version or a newer one was sent before.
    EndpointUndeliverable {
        /// The host.
        host: u32,
        /// The node.
        node: u32,
        /// The entry says that the node accepts block I/Os.
        accepting: bool,
        /// Version of the list.
        version: u64,
        /// When the host counts as notified.
        effective_at: Micros,
    },
    /// The discovery service received a whole poll of a host.
    PollReceived {
        /// The host.
        host: u32,
        /// Polls that wait at the service, with this one.
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
        /// How.
        by: Termination,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// What happened.
    pub event: Event,
}
