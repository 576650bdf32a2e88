//! Connections of clients, each with one request at a time.
//!
//! - `connection`: one connection of a client.
//! - `socket`, `request_buffer`: the socket of a connection, and the bytes read from it.
//! - `responses`, `flush_outcome`: composes and writes responses.
//! - `close_cause`: causes for which connections are closed, and their counters.
mod close_cause;
mod connection;
mod flush_outcome;
mod request_buffer;
mod responses;
mod socket;

use crate::tokens;
use close_cause::{CloseCause, CloseCounters};
use connection::{Client, ReadError};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::{self, Phase, TimeoutAction};
use mallowseam_connection_policy::connection_reserve::ConnectionReserve;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_http1::RequestHead;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::memory_budget::MemoryBudget;
use mallowseam_sockets::slab::Slab;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use responses::ErrorResponse;
use std::collections::VecDeque;

pub use responses::{CONFLICT, OK, Response};

#[cfg(test)]
mod tests;

/// Event that the poll has reported for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// The socket may be written to.
    Writable,
    /// The socket may have bytes to read.
    Readable,
    /// The client has closed its side, or the connection has failed. The socket may have bytes to read before that.
    Disconnected,
}

/// Result of reading a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// No request is complete.
    Incomplete,
    /// A request is complete; `ClientConnections::request` returns it.
    Complete,
}

/// Numbers of connections and requests of clients since startup, for the status log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounters {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections closed at once because the limit was reached and no other connection could be evicted.
    pub rejected: u64,
    /// Messages that could not be parsed as HTTP requests.
    pub malformed: u64,
    /// Requests that were parsed but rejected as invalid.
    pub invalid: u64,
}

/// All connections of clients.
pub struct ClientConnections {
    connections: Slab<Client>,
    registry: Registry,
    max_connections: usize,
    /// Bytes of memory that the buffers of all clients use, with their limit.
    memory: MemoryBudget,
    /// `Some` once the graceful shutdown has begun.
    shutdown: Option<GracefulShutdown>,
    /// Slots of connections that may have bytes to read.
    read_queue: VecDeque<u32>,
    counters: ClientCounters,
    /// Connections closed since startup, by cause.
    closed: CloseCounters,
}

impl ClientConnections {
    /// Creates the table without connections. `max_bytes` limits the memory for all clients.
    pub fn new(registry: Registry, max_connections: usize, max_bytes: usize) -> Self {
        ClientConnections {
            connections: Slab::default(),
            registry,
            max_connections,
            memory: MemoryBudget::new(max_bytes),
            shutdown: None,
            read_queue: VecDeque::new(),
            counters: ClientCounters::default(),
            closed: CloseCounters::default(),
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of bytes of memory that the buffers of all clients use.
    pub fn bytes(&self) -> usize {
        self.memory.used()
    }

    /// Returns the counters of connections and requests for the status log.
    pub fn counters(&self) -> ClientCounters {
        self.counters
    }

    /// Returns the numbers of connections closed since startup, by cause.
    pub fn closed(&self) -> CloseCounters {
        self.closed
    }

    /// Returns the number of connections in a phase, for the status log.
    pub fn count_in_phase(&self, phase: Phase) -> usize {
        self.connections
            .iter()
            .filter(|(_, client)| client.state().phase() == phase)
            .count()
    }

    /// Returns whether the connection limit is reached, so that the next connection needs another one to be evicted.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Returns whether a complete request may be admitted. Otherwise it has to be answered at once, because nearly all
    /// connections have requests in flight, and the next clients could not be served.
    pub fn may_admit(&self) -> bool {
        let unopened = self.max_connections.saturating_sub(self.connections.len());
        ConnectionReserve::new(self.max_connections).admits_request(unopened, || {
            self.connections
                .iter()
                .filter(|(_, client)| client.state().is_evictable())
                .count()
        })
    }

    /// Returns whether the memory limit of clients allows `bytes` more bytes.
    pub fn has_capacity(&self, bytes: usize) -> bool {
        self.memory.has_room_for(bytes)
    }

    /// Returns the graceful shutdown, or `None` before it has begun.
    pub fn shutdown(&self) -> Option<GracefulShutdown> {
        self.shutdown
    }

    /// Begins the graceful shutdown.
    pub fn begin_shutdown(&mut self, shutdown: GracefulShutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Adds an accepted connection. At the connection limit another one is evicted; if none can be, the new one is
    /// closed.
    pub fn add(&mut self, mut socket: TcpStream, now: Millis) {
        self.counters.accepted += 1;
        while self.is_full() {
            if !self.evict_one(now) {
                self.counters.rejected += 1;
                return;
            }
        }
        let _ = socket.set_nodelay(true);
        let slot = self.connections.next_index();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self
            .registry
            .register(&mut socket, tokens::client(slot), interest)
            .is_err()
        {
            return;
        }
        self.connections.insert(Client::new(socket, now));
        self.enqueue(slot);
    }

    /// Selects a connection to evict and closes it, or queues it to be read if a request has just arrived on it; the
    /// next call then selects another one. Returns `false` if none can be evicted.
    fn evict_one(&mut self, now: Millis) -> bool {
        // A connection with bytes to read may have a request, so it is no candidate.
        let candidates = self
            .connections
            .iter()
            .filter(|(_, client)| !client.is_queued() && !client.socket().is_readable());
        let Some(slot) = client_connection::eviction_candidate(
            candidates.map(|(slot, client)| (slot, client.state())),
            now,
        ) else {
            return false;
        };
        if self
            .connections
            .get_mut(slot)
            .is_some_and(Client::has_unread_request)
        {
            self.enqueue(slot);
        } else {
            self.close(slot, CloseCause::Evicted);
        }
        true
    }

    /// Closes a connection. Counts `cause`, or the cause of its last response if that is already composed.
    fn close(&mut self, slot: u32, cause: CloseCause) {
        let Some(client) = self.connections.remove(slot) else {
            return;
        };
        let cause = client.end_cause().unwrap_or(cause);
        self.closed.count(cause);
        self.memory.release(client.bytes());
        // The state for the log is read before the close, only at debug level, and logged after the close.
        let at_close = tracing::enabled!(tracing::Level::DEBUG).then(|| client.describe());
        client.close(&self.registry);
        if let Some(at_close) = at_close {
            tracing::debug!(slot, ?cause, ?at_close, "client connection closed");
        }
    }

    fn enqueue(&mut self, slot: u32) {
        if self.connections.get_mut(slot).is_some_and(Client::enqueue) {
            self.read_queue.push_back(slot);
        }
    }

    /// Returns the number of connections that wait to be read.
    pub fn queue_len(&self) -> usize {
        self.read_queue.len()
    }

    /// Removes and returns the next connection that waits to be read.
    pub fn next_queued(&mut self) -> Option<u32> {
        self.read_queue.pop_front()
    }

    /// Handles an event on a connection. Returns the block I/O in flight of a client that has disconnected.
    pub fn on_event(&mut self, slot: u32, event: SocketEvent, now: Millis) -> Option<BioId> {
        let client = self.connections.get_mut(slot)?;
        client.on_event(event);
        if client.has_output() {
            self.flush(slot, now);
        }
        let disconnected = self.connections.get(slot)?.disconnected_io();
        if disconnected.is_none() {
            self.enqueue(slot);
        }
        disconnected
    }

    /// Reads a connection taken from the queue until a request is complete or the socket is empty.
    pub fn read(&mut self, slot: u32, scratch: &mut [u8], now: Millis) -> RequestStatus {
        let Some(client) = self.connections.get_mut(slot) else {
            return RequestStatus::Incomplete;
        };
        client.dequeue();
        if client.is_lingering() {
            if !client.drain_input(scratch) {
                self.close(slot, CloseCause::Finished);
            }
            return RequestStatus::Incomplete;
        }
        if !client.may_read(now) {
            return RequestStatus::Incomplete;
        }
        let before = client.bytes();
        let read = client.read_request(scratch, now);
        self.memory.resize(before, client.bytes());
        match read {
            Ok(RequestStatus::Complete) => return RequestStatus::Complete,
            Err(ReadError::Closed) => self.close(slot, CloseCause::Disconnected),
            Err(ReadError::Invalid(parse_error)) => {
                self.counters.malformed += 1;
                let error = ErrorResponse {
                    status: responses::parse_error_status(parse_error),
                    text: parse_error.message(),
                    cause: CloseCause::Malformed,
                };
                self.respond_with_error(slot, &error, now);
            }
            // All clients share a memory limit: a request that exceeds it is shed.
            Ok(RequestStatus::Incomplete) if self.memory.is_exceeded() => {
                let error = ErrorResponse {
                    status: response::SHED_STATUS,
                    text: "no room",
                    cause: CloseCause::Memory,
                };
                self.respond_with_error(slot, &error, now);
            }
            Ok(RequestStatus::Incomplete) => {}
        }
        RequestStatus::Incomplete
    }

    /// Returns the head and the body of the complete request of a connection, if there is one.
    pub fn request(&self, slot: u32) -> Option<(RequestHead<'_>, &[u8])> {
        self.connections.get(slot)?.request()
    }

    /// Returns whether the client of a complete request has disconnected. `is_poll_stale`: the last poll is too old to
    /// rely on, so the socket is checked.
    pub fn is_disconnected(&mut self, slot: u32, is_poll_stale: bool) -> bool {
        let client = self.connections.get_mut(slot);
        client.is_none_or(|client| client.check_disconnected(is_poll_stale))
    }

    /// Records that the request of a connection was admitted as the block I/O `io`.
    pub fn on_admitted(&mut self, slot: u32, io: BioId, now: Millis) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.on_admitted(io, now);
        }
    }

    /// Rejects a request with a status and a text. The connection stays open, and its next request is read after a
    /// backoff.
    pub fn reject_request(&mut self, slot: u32, status: u16, text: &str, now: Millis) {
        self.counters.invalid += 1;
        if let Some(client) = self.connections.get_mut(slot) {
            client.on_rejected(now);
        }
        self.respond(slot, Response::new(status, text.as_bytes()), now);
    }

    /// Applies the timeouts of all connections.
    pub fn check_timeouts(&mut self, now: Millis) {
        for slot in 0..self.connections.index_bound() {
            let Some(client) = self.connections.get_mut(slot) else {
                continue;
            };
            match client.check_timeouts(now, self.shutdown) {
                TimeoutAction::Nothing if client.has_readable_input(now) => self.enqueue(slot),
                TimeoutAction::Nothing => {}
                // The socket is read before the timeout applies: it may contain a complete request.
                _ if client.is_queued() => {}
                _ if client.has_unread_request() => self.enqueue(slot),
                TimeoutAction::Close => {
                    let cause = client.timeout_cause(now, self.shutdown);
                    self.close(slot, cause);
                }
                TimeoutAction::RejectLateRequest => self.reject_late_request(slot, now),
            }
        }
    }

    fn reject_late_request(&mut self, slot: u32, now: Millis) {
        let error = ErrorResponse {
            status: responses::REQUEST_TIMEOUT,
            text: "the request is late",
            cause: CloseCause::LateRequest,
        };
        self.respond_with_error(slot, &error, now);
    }
}
