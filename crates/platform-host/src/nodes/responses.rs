//! Reads the responses of nodes. A response is complete before any of it is forwarded, so that a corrupt one never
//! reaches a client.
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

/// Bodies up to this size are copied, so that both connections keep their buffers; longer ones are moved.
const MAX_COPIED_BODY: usize = 2 * 1024;

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

/// How a complete response is used.
struct Verdict {
    response: NodeResponse,
    /// The connection is closed once the response was used.
    close: bool,
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
        let connection = self.pool.get(slot)?;
        let Some(attempt) = connection.attempt() else {
            self.on_idle_event(slot);
            return None;
        };
        let arrival = Arrival {
            attempt,
            node: connection.node(),
            received_at: arrived_at.max(attempt.started_at),
        };
        match self.finish_connect(slot, attempt, now) {
            Connect::Up => {}
            Connect::Pending => return None,
            Connect::Failed => {
                self.pool.close(slot);
                return Some(arrival.completed_event(AttemptResult::ConnectFailed));
            }
        }
        if let Some(completion) = self.write_request(slot, AttemptResult::ConnectFailed) {
            return Some(NodeEvent::Completed(completion));
        }
        self.read_response(slot, is_closed, scratch, now, &arrival)
    }

    /// Closes an idle connection that has unexpected bytes or was closed by the node.
    fn on_idle_event(&mut self, slot: u32) {
        let connection = self.pool.get_mut(slot);
        if connection.is_some_and(|connection| !connection.is_quiet()) {
            self.pool.close(slot);
        }
    }

    /// Checks a connect in progress. When it has succeeded, the timeout that the request states is updated to the time
    /// left.
    fn finish_connect(&mut self, slot: u32, attempt: Attempt, now: Tick) -> Connect {
        let Some(connection) = self.pool.get_mut(slot) else {
            return Connect::Failed;
        };
        if connection.is_up() {
            return Connect::Up;
        }
        let connect = connection.check_connect();
        if connect == Connect::Up {
            connection.restate_timeout(attempt.deadline - now);
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
        arrival: &Arrival,
    ) -> Option<NodeEvent> {
        loop {
            let read = self.pool.read_response(slot, scratch)?;
            match read {
                BufferRead::WouldBlock => return None,
                BufferRead::Closed => return self.on_broken(slot, now, arrival),
                BufferRead::Full | BufferRead::Short => {}
            }
            match self.pool.get_mut(slot)?.parse_response() {
                Ok(Some(message)) => return self.on_response(slot, message, now, arrival),
                Err(_) => return Some(self.on_corrupt(slot, arrival)),
                // All responses share a memory limit: the one that exceeds it counts as corrupt.
                Ok(None) if self.pool.memory().is_exceeded() => {
                    return Some(self.on_corrupt(slot, arrival));
                }
                // A short read has emptied the socket; the poll reports what arrives later.
                Ok(None) if read == BufferRead::Short && !is_closed => return None,
                Ok(None) => {}
            }
        }
    }

    /// The connection has ended before the response was complete.
    fn on_broken(&mut self, slot: u32, now: Tick, arrival: &Arrival) -> Option<NodeEvent> {
        let connection = self.pool.get(slot)?;
        let result = if connection.is_request_written() {
            AttemptResult::ConnectionReset
        } else {
            AttemptResult::ConnectFailed
        };
        if connection.is_reused() && connection.response().is_empty() {
            let started_at = arrival.attempt.started_at;
            self.keep_alive.connection_lost(
                ticks_to_millis(started_at - connection.idle_since()),
                ticks_to_millis(now - started_at),
                ticks_to_millis(now),
            );
        }
        self.pool.close(slot);
        Some(arrival.completed_event(result))
    }

    /// The response cannot be parsed: the request may have been executed all the same.
    fn on_corrupt(&mut self, slot: u32, arrival: &Arrival) -> NodeEvent {
        self.pool.close(slot);
        if let Some(counters) = self.pool.counters_mut(arrival.node) {
            counters.corrupt_responses += 1;
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
        let is_written = self.pool.get(slot)?.is_request_written();
        let Some(Verdict { response, close }) = self.classify(slot, &message) else {
            return Some(self.on_corrupt(slot, arrival));
        };
        let is_busy = response.result == AttemptResult::Rejected;
        // A node executes a request after its last byte: a response before that belongs to another request.
        if !is_written && !is_busy {
            self.pool.close(slot);
            return Some(arrival.completed_event(AttemptResult::ConnectFailed));
        }
        let is_new = !self.pool.get(slot)?.is_reused();
        if is_new && !keep_alive::keep_after_response(is_busy) {
            self.keep_alive
                .new_connection_rejected(ticks_to_millis(now));
        }
        let completion = Completion {
            response: Some(response),
            ..arrival.complete(response.result)
        };
        self.count_response(&completion, now);
        if response.result == AttemptResult::Completed {
            return Some(NodeEvent::Success(Success {
                completion,
                slot,
                message,
                close,
            }));
        }
        self.return_connection(slot, close, now);
        Some(NodeEvent::Completed(completion))
    }

    /// What a complete response says, and whether its connection can be used again; none: it cannot be parsed.
    fn classify(&self, slot: u32, message: &MessageSpan) -> Option<Verdict> {
        let connection = self.pool.get(slot)?;
        let head = connection.response().head(message)?;
        let response = response::parse(&head);
        let is_kept = keep_alive::keep_after_response(response.result == AttemptResult::Rejected);
        let is_clean = connection.is_request_written() && !connection.response().has_more(message);
        Some(Verdict {
            response,
            close: head.close || !is_kept || !is_clean,
        })
    }

    /// Counts a response for the status log.
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

    /// The body of a good response.
    pub fn body(&self, success: &Success) -> &[u8] {
        let connection = self.pool.get(success.slot);
        connection.map_or(&[], |connection| {
            connection.response().body(&success.message)
        })
    }

    /// Moves out the buffer of a good response whose body is long, with the position of the body in it.
    pub fn take_long_body(&mut self, success: &Success) -> Option<(Vec<u8>, Range<usize>)> {
        let body = success.message.body..success.message.end;
        if body.len() <= MAX_COPIED_BODY {
            return None;
        }
        Some((self.pool.take_response(success.slot)?, body))
    }

    /// A good response was forwarded: its connection returns to the pool.
    pub fn finish(&mut self, success: &Success, now: Tick) {
        self.return_connection(success.slot, success.close, now);
    }

    /// The attempt on a connection has completed: it is idle from now on, or closed.
    fn return_connection(&mut self, slot: u32, close: bool, now: Tick) {
        if close {
            self.pool.close(slot);
        } else {
            self.pool.check_in(slot, now);
        }
    }
}
