//! Table of the nodes in the endpoint list, with their idle connections and counters.
use mallowseam_scheduler::interface::{NodeId, Tick};
use std::net::SocketAddr;

/// Counters of the connections to one node, for the status log.
#[derive(Clone, Copy, Default)]
pub struct NodeCounters {
    /// Number of connections that are open or being opened.
    pub connections: usize,
    /// Number of attempts started since the node became known.
    pub attempts: u64,
    /// Number of connections opened since the node became known.
    pub connections_opened: u64,
    /// Number of requests written to their last byte.
    pub requests_written: u64,
    /// Number of responses read.
    pub responses: u64,
    /// Number of responses that could not be parsed or exceeded a limit.
    pub corrupt_responses: u64,
    /// Longest latency of a successful response since the last status log, in ticks.
    pub slowest: Tick,
}

/// A node of the endpoint list, with its idle connections and counters.
#[derive(Default)]
pub struct Endpoint {
    address: Option<SocketAddr>,
    /// Slots of idle connections, the most recently used last.
    idle: Vec<u32>,
    /// Counters for the status log.
    pub counters: NodeCounters,
}

impl Endpoint {
    /// Returns the address of the node according to the latest update.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns the slots of idle connections, the most recently used last.
    pub fn idle(&self) -> &[u32] {
        &self.idle
    }

    /// Adds a connection that has become idle.
    pub fn add_idle(&mut self, slot: u32) {
        self.idle.push(slot);
    }

    /// Removes a connection that is no longer idle or is closed.
    pub fn remove_idle(&mut self, slot: u32) {
        self.idle.retain(|idle| *idle != slot);
    }
}

/// Known nodes, indexed by the scheduler's node ids.
#[derive(Default)]
pub struct EndpointTable(Vec<Option<Endpoint>>);

impl EndpointTable {
    /// Returns a node, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Endpoint> {
        self.0.get(node.0 as usize)?.as_ref()
    }

    /// Returns a node to be changed, if it is known.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Endpoint> {
        self.0.get_mut(node.0 as usize)?.as_mut()
    }

    /// Returns the ids of all known nodes.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        let indexed = self.0.iter().enumerate();
        indexed
            .filter(|(_, endpoint)| endpoint.is_some())
            .map(|(index, _)| NodeId(index as u32))
    }

    /// Sets the address of a node, and adds the node if it is not known. Returns whether its address has changed.
    pub fn set_address(&mut self, node: NodeId, address: SocketAddr) -> bool {
        let index = node.0 as usize;
        if self.0.len() <= index {
            self.0.resize_with(index + 1, || None);
        }
        let endpoint = self.0[index].get_or_insert_with(Endpoint::default);
        let previous = endpoint.address.replace(address);
        previous.is_some_and(|previous| previous != address)
    }

    /// Removes a node with its counters.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(endpoint) = self.0.get_mut(node.0 as usize) {
            *endpoint = None;
        }
    }
}
