//! Connection pool: reuses idle connections to nodes, and opens new ones up to the limit.
use super::attempt::Attempt;
use super::connection::NodeConnection;
use super::endpoint_table::{Endpoint, EndpointTable, NodeCounters};
use super::response_buffer::BufferRead;
use crate::tokens;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::keep_alive::{self, Reusability};
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::memory_budget::MemoryBudget;
use mallowseam_sockets::slab::Slab;
use mio::{Interest, Registry};
use std::net::SocketAddr;

/// All connections to nodes, and the nodes themselves.
pub struct ConnectionPool {
    registry: Registry,
    connections: Slab<NodeConnection>,
    endpoints: EndpointTable,
    max_connections: usize,
    /// Bytes of memory that responses use, with their limit.
    memory: MemoryBudget,
}

impl ConnectionPool {
    /// Creates a pool without connections. `max_bytes` limits the memory for responses.
    pub fn new(registry: Registry, max_connections: usize, max_bytes: usize) -> Self {
        ConnectionPool {
            registry,
            connections: Slab::default(),
            endpoints: EndpointTable::default(),
            max_connections,
            memory: MemoryBudget::new(max_bytes),
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the memory that responses use, with its limit.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Returns the connection in a slot.
    pub fn get(&self, slot: u32) -> Option<&NodeConnection> {
        self.connections.get(slot)
    }

    /// Returns the connection in a slot, to be changed.
    pub fn get_mut(&mut self, slot: u32) -> Option<&mut NodeConnection> {
        self.connections.get_mut(slot)
    }

    /// Returns all slots that were ever used, for loops that close connections while iterating.
    pub fn slots(&self) -> std::ops::Range<u32> {
        0..self.connections.index_bound()
    }

    /// Returns the ids of all known nodes.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.endpoints.ids()
    }

    /// Returns the counters of a node to be changed, if the node is known.
    pub fn counters_mut(&mut self, node: NodeId) -> Option<&mut NodeCounters> {
        let endpoint = self.endpoints.get_mut(node)?;
        Some(&mut endpoint.counters)
    }

    /// Sets a node's address from the endpoint list. Closes its idle connections if the address has changed or the node
    /// accepts no new attempts.
    pub fn update_endpoint(&mut self, node: NodeId, address: SocketAddr, accepts_attempts: bool) {
        let is_moved = self.endpoints.set_address(node, address);
        if is_moved || !accepts_attempts {
            self.close_idle(node);
        }
    }

    /// Removes a node that the scheduler has released, and closes its idle connections.
    pub fn release(&mut self, node: NodeId) {
        self.close_idle(node);
        self.endpoints.remove(node);
    }

    /// Closes all idle connections to a node.
    fn close_idle(&mut self, node: NodeId) {
        while let Some(slot) = self
            .endpoints
            .get(node)
            .and_then(|endpoint| endpoint.idle().last().copied())
        {
            self.close(slot);
        }
    }

    /// Closes a connection and returns the attempt that it carried.
    pub fn close(&mut self, slot: u32) -> Option<Attempt> {
        let connection = self.connections.remove(slot)?;
        self.memory.release(connection.response().capacity());
        if let Some(endpoint) = self.endpoints.get_mut(connection.node()) {
            endpoint.counters.connections -= 1;
            endpoint.remove_idle(slot);
        }
        connection.close(&self.registry)
    }

    /// Returns a connection for the next attempt at a node: an idle one that is still open, or a new one.
    ///
    /// # Errors
    /// Returns the result of the attempt if no connection is available.
    pub fn check_out(
        &mut self,
        node: NodeId,
        now: Tick,
        idle_timeout: Millis,
    ) -> Result<u32, AttemptResult> {
        match self.take_idle(node, now, idle_timeout) {
            Some(slot) => Ok(slot),
            None => self.connect(node, now),
        }
    }

    /// Takes an idle connection that may carry an attempt: still open, and without unexpected bytes.
    fn take_idle(&mut self, node: NodeId, now: Tick, idle_timeout: Millis) -> Option<u32> {
        loop {
            let endpoint = self.endpoints.get(node)?;
            let slot = self.select_idle(endpoint, now, idle_timeout)?;
            if self.connections.get_mut(slot)?.is_open_without_input() {
                self.endpoints.get_mut(node)?.remove_idle(slot);
                return Some(slot);
            }
            self.close(slot);
        }
    }

    /// Selects the idle connection of a node that carries the next attempt.
    fn select_idle(&self, endpoint: &Endpoint, now: Tick, idle_timeout: Millis) -> Option<u32> {
        let idle_times = endpoint.idle().iter().map(|slot| {
            let connection = self.connections.get(*slot);
            let idle_since = connection.map_or(now, NodeConnection::idle_since);
            ticks_to_millis(now - idle_since)
        });
        let position = keep_alive::select_idle_connection(idle_times, idle_timeout)?;
        endpoint.idle().get(position).copied()
    }

    /// Opens a connection. At the limit the connection that has been idle longest is closed first.
    fn connect(&mut self, node: NodeId, now: Tick) -> Result<u32, AttemptResult> {
        if self.connections.len() >= self.max_connections {
            // Without an idle connection the host lacks capacity, not the node, so the attempt counts as not sent.
            self.close(self.longest_idle().ok_or(AttemptResult::NotSent)?);
        }
        let endpoint = self.endpoints.get_mut(node).ok_or(AttemptResult::NotSent)?;
        let address = endpoint.address().ok_or(AttemptResult::NotSent)?;
        let mut connection =
            NodeConnection::open(node, address, now).map_err(|_| AttemptResult::ConnectFailed)?;
        let slot = self.connections.next_index();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(connection.socket_mut(), tokens::node(slot), interest)
            .map_err(|_| AttemptResult::NotSent)?;
        self.connections.insert(connection);
        endpoint.counters.connections += 1;
        endpoint.counters.connections_opened += 1;
        Ok(slot)
    }

    fn longest_idle(&self) -> Option<u32> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, connection)| connection.is_idle());
        let longest = idle.min_by_key(|(_, connection)| connection.idle_since());
        longest.map(|(slot, _)| slot)
    }

    /// Returns a connection to the pool once its attempt has completed.
    pub fn check_in(&mut self, slot: u32, now: Tick) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let before = connection.response().capacity();
        connection.become_idle(now);
        self.memory.resize(before, connection.response().capacity());
        match self.endpoints.get_mut(connection.node()) {
            Some(endpoint) => endpoint.add_idle(slot),
            None => drop(self.close(slot)),
        }
    }

    /// Closes idle connections that have reached the idle timeout, before their nodes close them.
    pub fn close_expired_idle(&mut self, now: Tick, idle_timeout: Millis) {
        for slot in self.slots() {
            let connection = self.connections.get(slot);
            let Some(idle) = connection.filter(|connection| connection.attempt().is_none()) else {
                continue;
            };
            let idle_ms = ticks_to_millis(now - idle.idle_since());
            if keep_alive::reusability(idle_ms, idle_timeout) == Reusability::Expired {
                self.close(slot);
            }
        }
    }

    /// Reads once from a connection into its response buffer. Returns `None` if the slot is free.
    pub fn read_response(&mut self, slot: u32, scratch: &mut [u8]) -> Option<BufferRead> {
        let connection = self.connections.get_mut(slot)?;
        let before = connection.response().capacity();
        let read = connection.read_response(scratch);
        self.memory.resize(before, connection.response().capacity());
        Some(read)
    }

    /// Takes the bytes of a complete response out of its buffer. The pool's memory no longer counts them; the caller's
    /// does.
    pub fn take_response(&mut self, slot: u32) -> Option<Vec<u8>> {
        let connection = self.connections.get_mut(slot)?;
        self.memory.release(connection.response().capacity());
        Some(connection.take_response())
    }
}
