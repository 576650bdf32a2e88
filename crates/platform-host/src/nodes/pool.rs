//! The connection pool: idle connections are reused, new ones are opened up to the limit.
use super::NodeConnections;
use super::connection::{Attempt, NodeConnection};
use crate::buffers::recycle;
use crate::tokens;
use mallowseam_connection_policy::keep_alive::{self, Reusability};
use mallowseam_http1::ResponseReader;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mio::Interest;
use mio::net::TcpStream;

impl NodeConnections {
    /// Closes a connection and returns the attempt that it carried.
    pub(super) fn close(&mut self, slot: u32) -> Option<Attempt> {
        let mut connection = self.connections.remove(slot)?;
        self.bytes -= connection.response.capacity();
        let _ = self.registry.deregister(&mut connection.socket);
        if let Some(endpoint) = self.endpoint_mut(connection.node) {
            endpoint.counters.connections -= 1;
            endpoint.idle.retain(|idle| *idle != slot);
        }
        connection.attempt
    }

    /// Closes all idle connections to a node.
    pub(super) fn close_idle(&mut self, node: NodeId) {
        while let Some(slot) = self
            .endpoint(node)
            .and_then(|endpoint| endpoint.idle.last().copied())
        {
            self.close(slot);
        }
    }

    /// A connection for the next attempt at a node: an idle one that is still open, or a new one.
    pub(super) fn check_out(&mut self, node: NodeId, now: Tick) -> Result<u32, AttemptResult> {
        match self.take_idle(node, now) {
            Some(slot) => Ok(slot),
            None => self.connect(node, now),
        }
    }

    /// An idle connection that may carry an attempt: alive, and without unexpected bytes on it.
    fn take_idle(&mut self, node: NodeId, now: Tick) -> Option<u32> {
        let keep_alive = self.keep_alive.idle_timeout(ticks_to_millis(now));
        loop {
            let endpoint = self.endpoint(node)?;
            let idle_since = |slot: &u32| self.connections.get(*slot).map_or(now, |c| c.idle_since);
            let idle_times = endpoint
                .idle
                .iter()
                .map(|slot| ticks_to_millis(now - idle_since(slot)));
            let chosen = keep_alive::select_idle_connection(idle_times, keep_alive)?;
            let slot = endpoint.idle[chosen];
            if self.is_quiet(slot) {
                self.endpoint_mut(node)?.idle.remove(chosen);
                return Some(slot);
            }
            self.close(slot);
        }
    }

    /// Whether a connection is open and has nothing to read.
    fn is_quiet(&mut self, slot: u32) -> bool {
        let read = self
            .connections
            .get_mut(slot)
            .map(|c| nonblocking::read(&mut c.socket, &mut [0]));
        matches!(read, Some(ReadOutcome::WouldBlock))
    }

    /// Opens a connection. At the limit the connection that has been idle longest is closed first.
    fn connect(&mut self, node: NodeId, now: Tick) -> Result<u32, AttemptResult> {
        if self.connections.len() >= self.max_connections {
            let idle = self
                .connections
                .iter()
                .filter(|(_, c)| c.is_up && c.attempt.is_none());
            let longest_idle = idle.min_by_key(|(_, c)| c.idle_since).map(|(slot, _)| slot);
            // With none idle, this host lacks capacity, not the node.
            self.close(longest_idle.ok_or(AttemptResult::NotSent)?);
        }
        let address = self
            .endpoint(node)
            .and_then(|endpoint| endpoint.address)
            .ok_or(AttemptResult::NotSent)?;
        let mut socket = TcpStream::connect(address).map_err(|_| AttemptResult::ConnectFailed)?;
        let _ = socket.set_nodelay(true);
        let slot = self.connections.next_index();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut socket, tokens::node(slot), interest)
            .map_err(|_| AttemptResult::NotSent)?;
        self.connections
            .insert(NodeConnection::new(socket, node, now));
        if let Some(endpoint) = self.endpoint_mut(node) {
            endpoint.counters.connections += 1;
            endpoint.counters.connections_opened += 1;
        }
        Ok(slot)
    }

    /// Returns a connection to the pool once its attempt has completed, or closes it.
    pub(super) fn check_in(&mut self, slot: u32, close: bool, now: Tick) {
        if close {
            self.close(slot);
            return;
        }
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        connection.attempt = None;
        connection.sent = 0;
        connection.idle_since = now;
        connection.is_reused = true;
        connection.reader = ResponseReader::default();
        recycle(&mut connection.request);
        self.bytes -= connection.response.capacity();
        recycle(&mut connection.response);
        self.bytes += connection.response.capacity();
        let node = connection.node;
        match self.endpoint_mut(node) {
            Some(endpoint) => endpoint.idle.push(slot),
            None => drop(self.close(slot)),
        }
    }

    /// The current idle timeout, in milliseconds.
    pub fn keep_alive_ms(&mut self, now: Tick) -> u64 {
        self.keep_alive.idle_timeout(ticks_to_millis(now))
    }

    /// Closes idle connections that have reached the idle timeout, before their nodes do.
    pub fn close_expired_idle(&mut self, now: Tick) {
        let keep_alive = self.keep_alive_ms(now);
        for slot in 0..self.connections.index_bound() {
            let idle = self.connections.get(slot).filter(|c| c.attempt.is_none());
            let is_expired = idle.is_some_and(|c| {
                keep_alive::reusability(ticks_to_millis(now - c.idle_since), keep_alive)
                    == Reusability::Expired
            });
            if is_expired {
                self.close(slot);
            }
        }
    }
}
