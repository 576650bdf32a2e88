//! Division of a host's descriptors and memory between clients and nodes.

/// Number of descriptors that are reserved for other uses than clients and nodes: standard streams, poll, listener,
/// signals, two watches of the endpoint list, the configuration file, and as many again for system libraries.
pub const RESERVED_DESCRIPTORS: u64 = 24;
/// Tenths of the unreserved descriptors that clients get; nodes get the rest. Clients need more: over half of their
/// connections may be idle, and a request has at most one attempt at a node in flight, and none while it is queued.
const CLIENT_TENTHS: u64 = 7;
/// Divisor of the memory limit that gives the memory for responses from nodes.
const NODE_MEMORY_DIVISOR: u64 = 4;
/// Divisor of the memory limit that gives the memory for requests and responses of clients.
const CLIENT_MEMORY_DIVISOR: u64 = 4;
/// Bytes in a MiB, the unit in which the configuration states memory.
const MIB: u64 = 1 << 20;

/// Upper bounds of the resources that a host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to nodes.
    pub node_connections: usize,
    /// Maximum size of the requests and responses of all clients together, in bytes.
    pub client_bytes: usize,
    /// Maximum size of the responses from all nodes together, in bytes.
    pub node_bytes: usize,
}

impl ResourceBudget {
    /// Divides the resources that the configuration grants. `descriptors`: descriptors of the process. `memory_mib`:
    /// memory limit in MiB.
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
