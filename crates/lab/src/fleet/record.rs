//! What passed on the sockets of clients, nodes and list services, and when processes began and ended.
use crate::trace::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Killed,
    /// Told to end; a later kill counts for itself.
    Told,
    /// By itself, or after it was told; with this code.
    Ended(i32),
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A client sent the last byte of a request to a host.
    Asked {
        op: u64,
        host: u32,
        volume: u32,
        piece: u64,
        write: bool,
        units: u32,
        wait: Micros,
    },
    /// The last byte of its answer. `made`: a 200 with the body that a node made for it.
    Answered {
        op: u64,
        status: u16,
        made: bool,
    },
    /// The client's time was over.
    Left {
        op: u64,
    },
    /// Its connection ended with no answer.
    Broken {
        op: u64,
    },
    /// The way between this client and its host was at fault meanwhile: nothing is held against the host.
    Excused {
        op: u64,
    },
    /// No host of its volume took clients.
    NoHost {
        op: u64,
    },
    /// A node had the last byte of a request.
    Got {
        node: u32,
        host: u32,
        op: u64,
        units: u32,
        write: bool,
    },
    /// It answered: run, or turned away.
    Said {
        node: u32,
        op: u64,
        ran: bool,
    },
    /// The connection ended, or the node's process did, with this request open.
    Cut {
        node: u32,
        op: u64,
    },
    /// A host's connection came up at a node.
    Opened {
        node: u32,
        host: u32,
    },
    /// A node's process began cold; it fell over; it is over.
    NodeUp {
        node: u32,
    },
    Fell {
        node: u32,
    },
    NodeDown {
        node: u32,
    },
    /// The list service wrote a node to a host: `open` when it takes block I/Os, `seq` the version, `born` its
    /// start (0: long past).
    Told {
        host: u32,
        node: u32,
        open: bool,
        seq: u64,
        born: Micros,
    },
    /// The list service knows this and has no way to write it to a host: it counts as told from then on, unless as
    /// new a word was written before.
    Missed {
        host: u32,
        node: u32,
        open: bool,
        seq: u64,
        from: Micros,
    },
    /// A host's call came whole; was served; was turned away. A whole list or changes reached the host.
    Called {
        host: u32,
        waiting: u32,
    },
    Served {
        host: u32,
        seq: u64,
    },
    TurnedAway {
        host: u32,
    },
    HostUp {
        host: u32,
    },
    HostReady {
        host: u32,
    },
    HostDown {
        host: u32,
        by: End,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Micros,
    pub what: What,
}
