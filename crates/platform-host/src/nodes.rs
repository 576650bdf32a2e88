//! Connections to storage nodes: idle connections are pooled by node, and each connection carries one attempt at a
//! time.
//!
//! - `pool`: checks out idle connections, opens new ones, closes idle ones that have reached the idle timeout.
//! - `endpoint_table`: nodes of the endpoint list, with their idle connections and counters.
//! - `connection`, `request_buffer`, `response_buffer`: one connection, and the request and response on it.
//! - `attempt`: an attempt carried by a connection, and its completion.
//! - `attempts`: starts, cancels and expires attempts.
//! - `responses`: reads responses and classifies them.
//! - `deadlines`: times at which attempts expire.
mod attempt;
mod attempts;
mod connection;
mod deadlines;
mod endpoint_table;
mod pool;
mod request_buffer;
mod response_buffer;
mod responses;

use deadlines::Deadlines;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mio::Registry;
use pool::ConnectionPool;
use std::net::SocketAddr;

pub use attempt::{Completion, ForwardedRequest};
pub use endpoint_table::NodeCounters;
pub use responses::{NodeEvent, Success};

/// All connections to storage nodes, and the attempts that they carry.
pub struct NodeConnections {
    pool: ConnectionPool,
    keep_alive: KeepAlivePolicy,
    connect_timeout: Tick,
    /// Serial number of the last attempt started.
    last_serial: u64,
    deadlines: Deadlines,
}

impl NodeConnections {
    /// Creates the table without connections. `max_bytes` limits the responses in memory, `connect_timeout` is in
    /// ticks.
    pub fn new(
        registry: Registry,
        max_connections: usize,
        max_bytes: usize,
        connect_timeout: Tick,
        keep_alive: KeepAlivePolicy,
    ) -> Self {
        NodeConnections {
            pool: ConnectionPool::new(registry, max_connections, max_bytes),
            keep_alive,
            connect_timeout,
            last_serial: 0,
            deadlines: Deadlines::default(),
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.pool.len()
    }

    /// Returns the number of bytes of memory that responses use.
    pub fn bytes(&self) -> usize {
        self.pool.memory().used()
    }

    /// Returns the ids of all known nodes.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        self.pool.nodes()
    }

    /// Returns the counters of a node for the status log, and resets its longest latency.
    pub fn take_counters(&mut self, node: NodeId) -> Option<NodeCounters> {
        let counters = self.pool.counters_mut(node)?;
        let taken = *counters;
        counters.slowest = 0;
        Some(taken)
    }

    /// Sets a node's address from the endpoint list. Closes its idle connections if the address has changed or the node
    /// accepts no new attempts.
    pub fn update_endpoint(&mut self, node: NodeId, address: SocketAddr, accepts_attempts: bool) {
        self.pool.update_endpoint(node, address, accepts_attempts);
    }

    /// Drops a node that the scheduler has released, and closes its idle connections.
    pub fn release(&mut self, node: NodeId) {
        self.pool.release(node);
    }

    /// Withdraws the attempts that wait for a connection to a node that accepts no more attempts. Their requests were
    /// never sent.
    pub fn withdraw_unconnected(&mut self, node: NodeId) -> Vec<Completion> {
        let mut withdrawn = Vec::new();
        for slot in self.pool.slots() {
            let connection = self.pool.get(slot);
            let is_waiting = connection.is_some_and(|c| c.node() == node && !c.is_up());
            if is_waiting && let Some(attempt) = self.pool.close(slot) {
                withdrawn.push(attempt.complete(node, AttemptResult::NotSent));
            }
        }
        withdrawn
    }

    /// Returns the current idle timeout of connections to nodes, in milliseconds.
    pub fn keep_alive_ms(&mut self, now: Tick) -> Millis {
        self.keep_alive.idle_timeout(ticks_to_millis(now))
    }

    /// Closes idle connections that have reached the idle timeout, before their nodes close them.
    pub fn close_expired_idle(&mut self, now: Tick) {
        let idle_timeout = self.keep_alive_ms(now);
        self.pool.close_expired_idle(now, idle_timeout);
    }
}
