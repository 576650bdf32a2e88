//! How a host's descriptors and memory are divided between clients and nodes.

/// Descriptors that are neither clients' nor nodes': standard streams, poll, listener, signals, two watches of
/// the endpoint list, the configuration's file, and as many again for what system libraries open.
pub const RESERVED_DESCRIPTORS: u64 = 24;
/// Tenths of the other descriptors that clients get; nodes get the rest. Clients need more: over half of their
/// connections may be idle, and a request has at most one attempt at a node in flight, and none while it is queued.
const CLIENT_TENTHS: u64 = 7;
/// Fraction of the memory for responses that come from nodes: one in this many.
const NODE_MEMORY_DIVISOR: u64 = 4;
/// Fraction of the memory for requests and responses of clients: one in this many.
const CLIENT_MEMORY_DIVISOR: u64 = 4;
/// Bytes of a MiB, in which the configuration states memory.
const MIB: u64 = 1 << 20;

/// The most of each resource that a host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to nodes.
    pub node_connections: usize,
    /// Bytes of requests and responses of all clients together.
    pub client_bytes: usize,
    /// Bytes of responses that come from nodes, all together.
    pub node_bytes: usize,
}

impl ResourceBudget {
    /// Divides what the configuration grants: `descriptors` of the process, and memory in MiB.
    #[must_use]
    pub fn new(descriptors: u64, memory_mib: u64) -> Self {
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let clients = (free * CLIENT_TENTHS / 10).max(1);
        ResourceBudget {
            client_connections: clients as usize,
            node_connections: (free - clients).max(1) as usize,
            client_bytes: (memory_mib * MIB / CLIENT_MEMORY_DIVISOR) as usize,
            node_bytes: (memory_mib * MIB / NODE_MEMORY_DIVISOR) as usize,
        }
    }
}
