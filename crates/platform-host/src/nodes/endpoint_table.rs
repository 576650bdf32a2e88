//! The nodes of the endpoint list, with their idle connections and counters.
use mallowseam_scheduler::interface::{NodeId, Tick};
use std::net::SocketAddr;

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
pub struct Endpoint {
    address: Option<SocketAddr>,
    /// Slots of idle connections, the latest used last.
    idle: Vec<u32>,
    /// Counters for the status log.
    pub counters: NodeCounters,
}

impl Endpoint {
    /// Where it listens, by the latest update.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Slots of idle connections, the latest used last.
    pub fn idle(&self) -> &[u32] {
        &self.idle
    }

    /// A connection has become idle.
    pub fn add_idle(&mut self, slot: u32) {
        self.idle.push(slot);
    }

    /// A connection is no longer idle, or is closed.
    pub fn remove_idle(&mut self, slot: u32) {
        self.idle.retain(|idle| *idle != slot);
    }
}

/// The nodes that are known, by the scheduler's index.
#[derive(Default)]
pub struct EndpointTable(Vec<Option<Endpoint>>);

impl EndpointTable {
    /// A node, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Endpoint> {
        self.0.get(node.0 as usize)?.as_ref()
    }

    /// A node, if it is known.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Endpoint> {
        self.0.get_mut(node.0 as usize)?.as_mut()
    }

    /// The nodes that are known.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        let indexed = self.0.iter().enumerate();
        indexed
            .filter(|(_, endpoint)| endpoint.is_some())
            .map(|(index, _)| NodeId(index as u32))
    }

    /// Sets a node's address; returns whether it had another one.
    pub fn set_address(&mut self, node: NodeId, address: SocketAddr) -> bool {
        let index = node.0 as usize;
        if self.0.len() <= index {
            self.0.resize_with(index + 1, || None);
        }
        let endpoint = self.0[index].get_or_insert_with(Endpoint::default);
        let previous = endpoint.address.replace(address);
        previous.is_some_and(|previous| previous != address)
    }

    /// Drops a node.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(endpoint) = self.0.get_mut(node.0 as usize) {
            *endpoint = None;
        }
    }
}
