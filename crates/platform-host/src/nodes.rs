//! Connections to storage nodes: a pool for each node, with one attempt at a time on each connection.
//!
//! - `pool`: checks out idle connections, opens new ones, closes those that have expired.
//! - `endpoint_table`: the nodes of the endpoint list, with their idle connections and counters.
//! - `connection`, `request_buffer`, `response_buffer`: one connection, and the two messages on it.
//! - `attempt`: an attempt on a connection, and its completion.
//! - `attempts`: sends requests, cancels and expires attempts.
//! - `responses`: reads responses and classifies them.
//! - `deadlines`: the times at which attempts expire.
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

/// All connections to nodes, and the attempts that they carry.
pub struct NodeConnections {
    pool: ConnectionPool,
    keep_alive: KeepAlivePolicy,
    connect_timeout: Tick,
    /// The serial number of the last attempt.
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
            pool: ConnectionPool::new(registry, max_connections, max_bytes),
            keep_alive,
            connect_timeout,
            last_serial: 0,
            deadlines: Deadlines::default(),
        }
    }

    /// Connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.pool.len()
    }

    /// Bytes of responses in memory.
    pub fn bytes(&self) -> usize {
        self.pool.memory().used()
    }

    /// The nodes that are known.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        self.pool.nodes()
    }

    /// The counters of a node for a log line; its longest time starts again from none.
    pub fn take_counters(&mut self, node: NodeId) -> Option<NodeCounters> {
        let counters = self.pool.counters_mut(node)?;
        let taken = *counters;
        counters.slowest = 0;
        Some(taken)
    }

    /// Sets a node's address from the endpoint list. Idle connections are kept only where new attempts may use them.
    pub fn update_endpoint(&mut self, node: NodeId, address: SocketAddr, accepts_attempts: bool) {
        self.pool.update_endpoint(node, address, accepts_attempts);
    }

    /// Drops a node that was removed.
    pub fn release(&mut self, node: NodeId) {
        self.pool.release(node);
    }

    /// Withdraws the attempts that wait for a connection to a node that no longer accepts any: they were never sent.
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

    /// The current idle timeout, in milliseconds.
    pub fn keep_alive_ms(&mut self, now: Tick) -> Millis {
        self.keep_alive.idle_timeout(ticks_to_millis(now))
    }

    /// Closes idle connections that have reached the idle timeout, before their nodes do.
    pub fn close_expired_idle(&mut self, now: Tick) {
        let idle_timeout = self.keep_alive_ms(now);
        self.pool.close_expired_idle(now, idle_timeout);
    }
}
