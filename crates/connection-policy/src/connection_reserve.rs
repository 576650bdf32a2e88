//! Reserve of client connections that carry no request in flight. It lets a host whose nodes do not answer still read
//! and answer the requests of new clients, although all other connections wait for nodes.

/// Maximum number of connections in the reserve. A connection leaves it as soon as its request is shed, so that a few
/// are enough for many new clients a second.
const MAX_RESERVE: usize = 16;
/// Divisor of the connection limit that gives the reserve of a host with few connections.
const RESERVE_DIVISOR: usize = 8;

/// Reserve of a host with a certain limit on its client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionReserve {
    connections: usize,
}

impl ConnectionReserve {
    /// Creates the reserve of a host that has at most `max_connections` connections to clients.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        ConnectionReserve {
            connections: (max_connections / RESERVE_DIVISOR).min(MAX_RESERVE),
        }
    }

    /// Returns whether a request may be admitted without using the reserve. Otherwise the caller sheds it at once.
    /// `unopened`: number of connections that may still be opened. `evictable`: counts the connections that may be
    /// evicted for new ones; called only if `unopened` does not cover the reserve.
    #[must_use]
    pub fn admits_request(self, unopened: usize, evictable: impl FnOnce() -> usize) -> bool {
        unopened >= self.connections || unopened + evictable() >= self.connections
    }
}
