//! Connections to storage nodes: a pool for each node, with one attempt at a time on each connection.
//!
//! - `connection`: one connection, and the attempt on it.
//! - `pool`: checks out idle connections, opens new ones, closes those that have expired.
//! - `attempts`: sends requests, cancels and expires attempts.
//! - `responses`: reads responses and classifies them.
//! - `deadlines`: the times at which attempts expire.
mod attempts;
mod connection;
mod deadlines;
mod pool;
mod responses;

use connection::NodeConnection;
use deadlines::Deadlines;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::slab::Slab;
use mio::Registry;
use std::net::SocketAddr;

pub use connection::Completion;
pub use responses::{NodeEvent, Success};

/// Events on the connections to one node, counted for the status log.
#[derive(Clone, Copy, Default)]
pub struct NodeCounters {
    /// Connections that are open or being opened.
    pub connections: usize,
    /// Attempts started.
    pub attempts: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Requests written to their last byte.
    pub requests_written: u64,
    /// Responses read.
    pub responses: u64,
    /// Responses that could not be parsed.
    pub corrupt_responses: u64,
    /// Longest time to a good response since the last log line.
    pub slowest: Tick,
}

/// A node of the endpoint list, with its idle connections.
#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    /// Slots of idle connections, the latest used last.
    idle: Vec<u32>,
    counters: NodeCounters,
}

/// All connections to nodes.
pub struct NodeConnections {
    endpoints: Vec<Option<Endpoint>>,
    connections: Slab<NodeConnection>,
    registry: Registry,
    max_connections: usize,
    /// Bytes of responses in memory, and their limit.
    bytes: usize,
    max_bytes: usize,
    connect_timeout: Tick,
    keep_alive: KeepAlivePolicy,
    last_serial: u64,
    deadlines: Deadlines,
}

impl NodeConnections {
    /// An empty pool with its limits.
    pub fn new(
        registry: Registry,
        max_connections: usize,
        max_bytes: usize,
        connect_timeout: Tick,
        keep_alive: KeepAlivePolicy,
    ) -> Self {
        NodeConnections {
            endpoints: Vec::new(),
            connections: Slab::default(),
            registry,
            max_connections,
            bytes: 0,
            max_bytes,
            connect_timeout,
            keep_alive,
            last_serial: 0,
            deadlines: Deadlines::default(),
        }
    }

    /// Connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Bytes of responses in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn endpoint(&self, node: NodeId) -> Option<&Endpoint> {
        self.endpoints.get(node.0 as usize)?.as_ref()
    }

    fn endpoint_mut(&mut self, node: NodeId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(node.0 as usize)?.as_mut()
    }

    /// The counters of a node for a log line; its longest time starts again from none.
    pub fn take_counters(&mut self, node: NodeId) -> Option<NodeCounters> {
        let counters = &mut self.endpoint_mut(node)?.counters;
        let taken = *counters;
        counters.slowest = 0;
        Some(taken)
    }

    /// The nodes that are known.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        let indexed = self.endpoints.iter().enumerate();
        indexed
            .filter(|(_, endpoint)| endpoint.is_some())
            .map(|(index, _)| NodeId(index as u32))
    }

    /// Sets a node's address from the endpoint list. Idle connections are kept only where new attempts may use them.
    pub fn update_endpoint(&mut self, node: NodeId, address: SocketAddr, accepts_attempts: bool) {
        let index = node.0 as usize;
        if self.endpoints.len() <= index {
            self.endpoints.resize_with(index + 1, || None);
        }
        let endpoint = self.endpoints[index].get_or_insert_with(Endpoint::default);
        let is_moved = endpoint
            .address
            .replace(address)
            .is_some_and(|old| old != address);
        if is_moved || !accepts_attempts {
            self.close_idle(node);
        }
    }

    /// Drops a node that was removed.
    pub fn release(&mut self, node: NodeId) {
        self.close_idle(node);
        if let Some(endpoint) = self.endpoints.get_mut(node.0 as usize) {
            *endpoint = None;
        }
    }

    /// Withdraws the attempts that wait for a connection to a node that no longer accepts any: they were never sent.
    pub fn withdraw_unconnected(&mut self, node: NodeId) -> Vec<Completion> {
        let mut withdrawn = Vec::new();
        for slot in 0..self.connections.index_bound() {
            let connection = self.connections.get(slot);
            let is_waiting = connection.is_some_and(|c| c.node == node && !c.is_up);
            if is_waiting && let Some(attempt) = self.close(slot) {
                withdrawn.push(attempt.complete(node, AttemptResult::NotSent));
            }
        }
        withdrawn
    }
}
