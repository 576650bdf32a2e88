//! Reads and classifies the responses of nodes. A response is read completely before any of it is forwarded, so that a
//! corrupt response never reaches a client.
use super::NodeConnections;
use super::attempt::{Attempt, Completion};
use super::connection::Connect;
use super::response_buffer::BufferRead;
use mallowseam_connection_policy::keep_alive;
use mallowseam_http1::MessageSpan;
use mallowseam_platform::response::{self, NodeResponse};
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use std::ops::Range;

/// Maximum size, in bytes, of a body that is copied to the client's buffer, so that both connections keep their
/// buffers. Longer bodies are moved with their buffer.
const MAX_COPIED_BODY_BYTES: usize = 2 * 1024;

/// A complete successful response, to be forwarded to the client.
pub struct Success {
    /// Completion to report after the response is forwarded.
    pub completion: Completion,
    slot: u32,
    message: MessageSpan,
    /// The connection has to be closed after forwarding.
    should_close: bool,
}

/// Result of an event on a connection to a node.
pub enum NodeEvent {
    /// The attempt was completed by a successful response.
    Success(Success),
    /// The attempt was completed in another way.
    Completed(Completion),
}

/// An event on a connection that carries an attempt, with the time at which the event arrived.
#[derive(Clone, Copy)]
struct AttemptEvent {
    attempt: Attempt,
    node: NodeId,
    received_at: Tick,
}

impl AttemptEvent {
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

/// A classified response, and whether its connection can be reused.
struct ClassifiedResponse {
    response: NodeResponse,
    /// The connection has to be closed once the response was used.
    should_close: bool,
}

impl NodeConnections {
    /// Handles an event on a connection. Returns `None` while its attempt is not completed.
    ///
    /// `is_closed`: the node has closed its side, or the connection has failed, which the poll reports only once.
    /// `arrived_at`: time at which the event arrived at the socket.
    pub fn on_event(
        &mut self,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
        now: Tick,
        arrived_at: Tick,
    ) -> Option<NodeEvent> {
        let connection = self.pool.get(slot)?;
        let Some(attempt) = connection.attempt() else {
            self.on_idle_event(slot);
            return None;
        };
        let event = AttemptEvent {
            attempt,
            node: connection.node(),
            received_at: arrived_at.max(attempt.started_at),
        };
        match self.finish_connect(slot, attempt, now) {
            Connect::Up => {}
            Connect::Pending => return None,
            Connect::Failed => {
                self.pool.close(slot);
                return Some(event.completed_event(AttemptResult::ConnectFailed));
            }
        }
        if let Some(completion) = self.write_request(slot, AttemptResult::ConnectFailed) {
            return Some(NodeEvent::Completed(completion));
        }
        self.read_response(slot, is_closed, scratch, now, &event)
    }

    /// Closes an idle connection on which unexpected bytes have arrived or that the node has closed.
    fn on_idle_event(&mut self, slot: u32) {
        let connection = self.pool.get_mut(slot);
        if connection.is_some_and(|connection| !connection.is_open_without_input()) {
            self.pool.close(slot);
        }
    }

    /// Checks a connection that is being established. Once it is, the timeout header of the request is updated to the
    /// remaining time.
    fn finish_connect(&mut self, slot: u32, attempt: Attempt, now: Tick) -> Connect {
        let Some(connection) = self.pool.get_mut(slot) else {
            return Connect::Failed;
        };
        if connection.is_up() {
            return Connect::Up;
        }
        let connect = connection.check_connect();
        if connect == Connect::Up {
            connection.update_timeout_header(attempt.deadline - now);
        }
        connect
    }

    /// Reads until the response is complete, the socket is empty, or the connection has ended.
    fn read_response(
        &mut self,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
        now: Tick,
        event: &AttemptEvent,
    ) -> Option<NodeEvent> {
        loop {
            let read = self.pool.read_response(slot, scratch)?;
            match read {
                BufferRead::WouldBlock => return None,
                BufferRead::Closed => return self.on_connection_lost(slot, now, event),
                BufferRead::Full | BufferRead::Short => {}
            }
            match self.pool.get_mut(slot)?.parse_response() {
                Ok(Some(message)) => return self.on_response(slot, message, now, event),
                Err(_) => return Some(self.on_corrupt(slot, event)),
                // All responses share a memory limit: a response that exceeds it counts as corrupt.
                Ok(None) if self.pool.memory().is_exceeded() => {
                    return Some(self.on_corrupt(slot, event));
                }
                // A short read has emptied the socket, and the poll reports bytes that arrive later.
                Ok(None) if read == BufferRead::Short && !is_closed => return None,
                Ok(None) => {}
            }
        }
    }

    /// Handles the end of a connection before the response was complete.
    fn on_connection_lost(
        &mut self,
        slot: u32,
        now: Tick,
        event: &AttemptEvent,
    ) -> Option<NodeEvent> {
        let connection = self.pool.get(slot)?;
        let result = if connection.is_request_written() {
            AttemptResult::ConnectionReset
        } else {
            AttemptResult::ConnectFailed
        };
        if connection.is_reused() && connection.response().is_empty() {
            let started_at = event.attempt.started_at;
            self.keep_alive.connection_lost(
                ticks_to_millis(started_at - connection.idle_since()),
                ticks_to_millis(now - started_at),
                ticks_to_millis(now),
            );
        }
        self.pool.close(slot);
        Some(event.completed_event(result))
    }

    /// Handles a response that cannot be parsed or exceeds a limit. The request may have been executed all the same.
    fn on_corrupt(&mut self, slot: u32, event: &AttemptEvent) -> NodeEvent {
        self.pool.close(slot);
        if let Some(counters) = self.pool.counters_mut(event.node) {
            counters.corrupt_responses += 1;
        }
        event.completed_event(AttemptResult::Error)
    }

    /// Handles a complete response.
    fn on_response(
        &mut self,
        slot: u32,
        message: MessageSpan,
        now: Tick,
        event: &AttemptEvent,
    ) -> Option<NodeEvent> {
        let is_written = self.pool.get(slot)?.is_request_written();
        let Some(ClassifiedResponse {
            response,
            should_close,
        }) = self.classify(slot, &message)
        else {
            return Some(self.on_corrupt(slot, event));
        };
        let is_busy = response.result == AttemptResult::Rejected;
        // A node executes a request only after its last byte, so a response before that belongs to another request.
        if !is_written && !is_busy {
            self.pool.close(slot);
            return Some(event.completed_event(AttemptResult::ConnectFailed));
        }
        let is_new = !self.pool.get(slot)?.is_reused();
        if is_new && !keep_alive::keep_after_response(is_busy) {
            self.keep_alive
                .new_connection_rejected(ticks_to_millis(now));
        }
        let completion = Completion {
            response: Some(response),
            ..event.complete(response.result)
        };
        self.count_response(&completion, now);
        if response.result == AttemptResult::Completed {
            return Some(NodeEvent::Success(Success {
                completion,
                slot,
                message,
                should_close,
            }));
        }
        self.return_connection(slot, should_close, now);
        Some(NodeEvent::Completed(completion))
    }

    /// Classifies a complete response, and decides whether its connection can be reused. Returns `None` if the response
    /// cannot be parsed.
    fn classify(&self, slot: u32, message: &MessageSpan) -> Option<ClassifiedResponse> {
        let connection = self.pool.get(slot)?;
        let head = connection.response().head(message)?;
        let response = response::parse(&head);
        let is_kept = keep_alive::keep_after_response(response.result == AttemptResult::Rejected);
        let is_clean = connection.is_request_written() && !connection.response().has_more(message);
        Some(ClassifiedResponse {
            response,
            should_close: head.close || !is_kept || !is_clean,
        })
    }

    /// Counts a response, and the latency of a successful one, for the status log.
    fn count_response(&mut self, completion: &Completion, now: Tick) {
        let Some(counters) = self.pool.counters_mut(completion.node) else {
            return;
        };
        counters.responses += 1;
        if completion.result == AttemptResult::Completed {
            let latency = completion.received_at.unwrap_or(now) - completion.started_at;
            counters.slowest = counters.slowest.max(latency);
        }
    }

    /// Returns the body of a successful response.
    pub fn body(&self, success: &Success) -> &[u8] {
        let connection = self.pool.get(success.slot);
        connection.map_or(&[], |connection| {
            connection.response().body(&success.message)
        })
    }

    /// Takes the buffer of a successful response out of its connection, with the position of the body in it. Returns
    /// `None` for a body that is short enough to be copied.
    pub fn take_long_body(&mut self, success: &Success) -> Option<(Vec<u8>, Range<usize>)> {
        let body = success.message.body..success.message.end;
        if body.len() <= MAX_COPIED_BODY_BYTES {
            return None;
        }
        Some((self.pool.take_response(success.slot)?, body))
    }

    /// Releases the connection of a successful response that was forwarded: it returns to the pool or is closed.
    pub fn finish(&mut self, success: &Success, now: Tick) {
        self.return_connection(success.slot, success.should_close, now);
    }

    /// Releases a connection whose attempt has completed: it returns to the pool, or is closed if `should_close` is
    /// set.
    fn return_connection(&mut self, slot: u32, should_close: bool, now: Tick) {
        if should_close {
            self.pool.close(slot);
        } else {
            self.pool.check_in(slot, now);
        }
    }
}
