//! Reads the responses of nodes. A response is complete before any of it is forwarded, so that a corrupt one never
//! reaches a client.
use super::NodeConnections;
use super::connection::{Attempt, Completion};
use crate::buffers::RESPONSE_LIMITS;
use mallowseam_connection_policy::keep_alive;
use mallowseam_http1::{MessageSpan, ResponseHead};
use mallowseam_platform::request;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use std::ops::Range;

/// Bodies up to this size are copied, so that both connections keep their buffers; longer ones are moved.
const MAX_COPIED_BODY: usize = 2 * 1024;
/// Bytes read at once while the length of a response is not known: enough for a usual one.
const FIRST_READ: usize = 16 * 1024;

/// A complete good response, to be forwarded to the client.
pub struct Success {
    /// The completion to report after forwarding.
    pub completion: Completion,
    slot: u32,
    message: MessageSpan,
    close: bool,
}

/// The result of an event on a connection.
pub enum NodeEvent {
    /// A good response.
    Success(Success),
    /// The attempt completed in another way.
    Completed(Completion),
}

/// The attempt on a connection that has an event, and when the event arrived.
#[derive(Clone, Copy)]
struct Arrival {
    attempt: Attempt,
    node: NodeId,
    received_at: Tick,
}

impl Arrival {
    fn complete(&self, result: AttemptResult) -> Completion {
        Completion {
            received_at: Some(self.received_at),
            ..self.attempt.complete(self.node, result)
        }
    }

    fn completed_event(&self, result: AttemptResult) -> NodeEvent {
        NodeEvent::Completed(self.complete(result))
    }
}

impl NodeConnections {
    /// Handles an event on a connection; none: the attempt is not completed yet.
    ///
    /// `is_closed`: the node has closed its side, which the poll reports once. `arrived_at`: when the event arrived at
    /// the socket.
    pub fn on_event(
        &mut self,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
        now: Tick,
        arrived_at: Tick,
    ) -> Option<NodeEvent> {
        let connection = self.connections.get(slot)?;
        let Some(attempt) = connection.attempt else {
            self.on_idle_event(slot);
            return None;
        };
        let arrival = Arrival {
            attempt,
            node: connection.node,
            received_at: arrived_at.max(attempt.started_at),
        };
        if !connection.is_up {
            match self.finish_connect(slot, attempt, now) {
                Connect::Up => {}
                Connect::Pending => return None,
                Connect::Failed => {
                    self.close(slot);
                    return Some(arrival.completed_event(AttemptResult::ConnectFailed));
                }
            }
        }
        if let Some(completion) = self.write_request(slot, AttemptResult::ConnectFailed) {
            return Some(NodeEvent::Completed(completion));
        }
        self.read_response(slot, is_closed, scratch, now, &arrival)
    }

    /// Closes an idle connection that has unexpected bytes or was closed by the node.
    fn on_idle_event(&mut self, slot: u32) {
        if let Some(connection) = self.connections.get_mut(slot)
            && !matches!(
                nonblocking::read(&mut connection.socket, &mut [0]),
                ReadOutcome::WouldBlock
            )
        {
            self.close(slot);
        }
    }

    /// Checks a connect in progress. When it has succeeded, the wait stated in the request is updated to the time left.
    fn finish_connect(&mut self, slot: u32, attempt: Attempt, now: Tick) -> Connect {
        let Some(connection) = self.connections.get_mut(slot) else {
            return Connect::Failed;
        };
        if connection
            .socket
            .take_error()
            .map_or(true, |error| error.is_some())
        {
            return Connect::Failed;
        }
        if connection.socket.peer_addr().is_err() {
            return Connect::Pending;
        }
        // Whatever a node sends before the request is not a response to it.
        if !matches!(
            nonblocking::read(&mut connection.socket, &mut [0]),
            ReadOutcome::WouldBlock
        ) {
            return Connect::Failed;
        }
        connection.is_up = true;
        request::rewrite_timeout(
            &mut connection.request,
            ticks_to_millis(attempt.deadline - now).max(1),
        );
        Connect::Up
    }

    /// Reads until the response is complete, the socket is empty, or the connection has ended.
    fn read_response(
        &mut self,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
        now: Tick,
        arrival: &Arrival,
    ) -> Option<NodeEvent> {
        loop {
            let connection = self.connections.get_mut(slot)?;
            let len = connection.response.len();
            let capacity = connection.response.capacity();
            // Of a long response exactly the rest is read; stray bytes after it are found when the connection is idle.
            let missing = connection
                .reader
                .remaining(len)
                .filter(|missing| *missing > 0);
            let max_buffer = RESPONSE_LIMITS.buffer_capacity() + 1;
            let limit = missing
                .unwrap_or(FIRST_READ)
                .min(max_buffer - len.min(RESPONSE_LIMITS.buffer_capacity()));
            let limit = limit.min(scratch.len());
            let outcome = nonblocking::read(&mut connection.socket, &mut scratch[..limit]);
            if let ReadOutcome::Read(count) = outcome {
                connection.response.reserve_exact(missing.unwrap_or(0));
                connection.response.extend_from_slice(&scratch[..count]);
            }
            self.bytes = self.bytes + connection.response.capacity() - capacity;
            let count = match outcome {
                ReadOutcome::Read(count) => count,
                ReadOutcome::WouldBlock => return None,
                ReadOutcome::Closed(_) => return self.on_broken(slot, now, arrival),
            };
            match connection
                .reader
                .advance(&mut connection.response, RESPONSE_LIMITS)
            {
                Ok(Some(message)) => return self.on_response(slot, message, now, arrival),
                Err(_) => return Some(self.on_corrupt(slot, arrival)),
                // All responses share a memory limit: the one that exceeds it counts as corrupt.
                Ok(None) if self.bytes > self.max_bytes => {
                    return Some(self.on_corrupt(slot, arrival));
                }
                // A short read has emptied the socket; the poll reports what arrives later.
                Ok(None) if count < limit && !is_closed => return None,
                Ok(None) => {}
            }
        }
    }

    /// The connection has ended before the response was complete.
    fn on_broken(&mut self, slot: u32, now: Tick, arrival: &Arrival) -> Option<NodeEvent> {
        let connection = self.connections.get(slot)?;
        let result = if connection.is_request_written() {
            AttemptResult::ConnectionReset
        } else {
            AttemptResult::ConnectFailed
        };
        if connection.is_reused && connection.response.is_empty() {
            let started_at = arrival.attempt.started_at;
            let idle = ticks_to_millis(started_at - connection.idle_since);
            self.keep_alive.connection_lost(
                idle,
                ticks_to_millis(now - started_at),
                ticks_to_millis(now),
            );
        }
        self.close(slot);
        Some(arrival.completed_event(result))
    }

    /// The response cannot be parsed: the request may have been executed all the same.
    fn on_corrupt(&mut self, slot: u32, arrival: &Arrival) -> NodeEvent {
        self.close(slot);
        if let Some(endpoint) = self.endpoint_mut(arrival.node) {
            endpoint.counters.corrupt_responses += 1;
        }
        arrival.completed_event(AttemptResult::Error)
    }

    /// The response is complete.
    fn on_response(
        &mut self,
        slot: u32,
        message: MessageSpan,
        now: Tick,
        arrival: &Arrival,
    ) -> Option<NodeEvent> {
        let connection = self.connections.get(slot)?;
        let bytes = &connection.response[message.start..];
        let head = ResponseHead::parse(bytes, RESPONSE_LIMITS)
            .ok()
            .flatten()
            .expect("the reader has read it");
        let response = response::parse(&head);
        let is_busy = response.result == AttemptResult::Rejected;
        let is_written = connection.is_request_written();
        // A node executes a request after its last byte: a response before that belongs to another request.
        if !is_written && !is_busy {
            self.close(slot);
            return Some(arrival.completed_event(AttemptResult::ConnectFailed));
        }
        let is_kept = keep_alive::keep_after_response(is_busy);
        let has_more = connection.response.len() > message.end;
        let close = head.close || !is_kept || has_more || !is_written;
        if !is_kept && !connection.is_reused {
            self.keep_alive
                .new_connection_rejected(ticks_to_millis(now));
        }
        let completion = Completion {
            response: Some(response),
            ..arrival.complete(response.result)
        };
        let is_success = response.result == AttemptResult::Completed;
        self.count_response(&completion, now);
        if is_success {
            return Some(NodeEvent::Success(Success {
                completion,
                slot,
                message,
                close,
            }));
        }
        self.check_in(slot, close, now);
        Some(NodeEvent::Completed(completion))
    }

    /// Counts a response for the status log.
    fn count_response(&mut self, completion: &Completion, now: Tick) {
        let Some(endpoint) = self.endpoint_mut(completion.node) else {
            return;
        };
        endpoint.counters.responses += 1;
        if completion.result == AttemptResult::Completed {
            let latency = completion.received_at.unwrap_or(now) - completion.started_at;
            endpoint.counters.slowest = endpoint.counters.slowest.max(latency);
        }
    }

    /// The body of a good response.
    pub fn body(&self, success: &Success) -> &[u8] {
        let body = success.message.body..success.message.end;
        self.connections
            .get(success.slot)
            .map_or(&[], |connection| &connection.response[body])
    }

    /// Moves out the buffer of a good response whose body is long, with the position of the body in it.
    pub fn take_long_body(&mut self, success: &Success) -> Option<(Vec<u8>, Range<usize>)> {
        let connection = self.connections.get_mut(success.slot)?;
        let body = success.message.body..success.message.end;
        if body.len() <= MAX_COPIED_BODY {
            return None;
        }
        self.bytes -= connection.response.capacity();
        Some((std::mem::take(&mut connection.response), body))
    }

    /// A good response was forwarded: its connection returns to the pool.
    pub fn finish(&mut self, success: &Success, now: Tick) {
        self.check_in(success.slot, success.close, now);
    }
}

/// State of a connect in progress.
enum Connect {
    Up,
    Pending,
    Failed,
}
