//! Attempts: sent, cancelled, expired.
use super::NodeConnections;
use super::connection::{Attempt, Completion, NodeConnection};
use super::deadlines::Deadline;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mallowseam_sockets::nonblocking;

/// Deadlines of completed attempts are dropped once there are this many beyond four a connection.
const STALE_DEADLINES: usize = 1_024;

/// An attempt that was started.
pub struct StartedAttempt {
    /// The connection that carries it.
    pub slot: u32,
    /// The completion, if the connection broke at once.
    pub completion: Option<Completion>,
}

impl NodeConnections {
    /// Sends a block I/O to a node. The attempt owns its connection until it completes.
    ///
    /// # Errors
    /// The reason why nothing was sent.
    pub fn start_attempt(
        &mut self,
        io: BioId,
        node: NodeId,
        now: Tick,
        timeout: Tick,
        write_request: impl FnOnce(&mut Vec<u8>),
    ) -> Result<StartedAttempt, AttemptResult> {
        let slot = self.check_out(node, now)?;
        self.last_serial += 1;
        let attempt = Attempt {
            io,
            started_at: now,
            deadline: now + timeout,
            connect_deadline: now + self.connect_timeout,
            serial: self.last_serial,
        };
        if let Some(endpoint) = self.endpoint_mut(node) {
            endpoint.counters.attempts += 1;
        }
        let connection = self.connections.get_mut(slot).expect("checked out");
        write_request(&mut connection.request);
        connection.attempt = Some(attempt);
        let is_up = connection.is_up;
        self.add_deadline(attempt.deadline, slot, attempt.serial);
        self.drop_stale_deadlines();
        if !is_up {
            self.add_deadline(
                attempt.connect_deadline.min(attempt.deadline),
                slot,
                attempt.serial,
            );
            return Ok(StartedAttempt {
                slot,
                completion: None,
            });
        }
        // A pooled connection that breaks before the request is written proves nothing about the node.
        let completion = self.write_request(slot, AttemptResult::NotSent);
        Ok(StartedAttempt { slot, completion })
    }

    fn add_deadline(&mut self, at: Tick, slot: u32, serial: u64) {
        self.deadlines.push(Deadline { at, slot, serial });
    }

    /// Drops the deadlines of completed attempts once they are the majority: requests with a long timeout would otherwise
    /// leave one deadline each.
    fn drop_stale_deadlines(&mut self) {
        if self.deadlines.len() <= 4 * self.max_connections + STALE_DEADLINES {
            return;
        }
        let connections = &self.connections;
        self.deadlines.retain(|deadline| {
            let attempt = connections.get(deadline.slot).and_then(|c| c.attempt);
            attempt.is_some_and(|a| a.serial == deadline.serial)
        });
    }

    /// Writes the rest of the request. A completion: the connection broke, with `if_unwritten` as the result if the last
    /// byte was not written.
    pub(super) fn write_request(
        &mut self,
        slot: u32,
        if_unwritten: AttemptResult,
    ) -> Option<Completion> {
        let connection = self.connections.get_mut(slot)?;
        let attempt = connection.attempt?;
        if connection.sent == connection.request.len() {
            return None;
        }
        let node = connection.node;
        let sent = nonblocking::write(
            &mut connection.socket,
            &connection.request[connection.sent..],
        );
        let (sent, is_broken) = match sent {
            Ok(sent) => (sent, false),
            Err(error) => (error.written, true),
        };
        connection.sent += sent;
        let is_written = connection.sent == connection.request.len();
        if is_written && let Some(endpoint) = self.endpoint_mut(node) {
            endpoint.counters.requests_written += 1;
        }
        if !is_broken {
            return None;
        }
        self.close(slot);
        // Before the last byte is written the node has not executed it; after it, it may have.
        let result = if is_written {
            AttemptResult::ConnectionReset
        } else {
            if_unwritten
        };
        Some(attempt.complete(node, result))
    }

    /// Whether a connection carries an attempt of this block I/O whose request is not completely written.
    pub fn is_unsent(&self, slot: u32, io: BioId) -> bool {
        self.connections
            .get(slot)
            .is_some_and(|c| c.carries(io) && !c.is_request_written())
    }

    /// Cancels the attempt of a block I/O, if this connection carries it, by closing the connection.
    pub fn cancel(&mut self, slot: u32, io: BioId) -> Option<Completion> {
        let connection = self.connections.get(slot).filter(|c| c.carries(io))?;
        let (is_written, node) = (connection.is_request_written(), connection.node);
        let attempt = self.close(slot)?;
        let result = if is_written {
            AttemptResult::Cancelled
        } else {
            AttemptResult::NotSent
        };
        Some(attempt.complete(node, result))
    }

    /// When the next attempt may expire.
    pub fn next_deadline(&self) -> Option<Tick> {
        self.deadlines.next_at()
    }

    /// Completes an attempt that has expired; to be called until there is none.
    pub fn expire_attempt(&mut self, now: Tick) -> Option<Completion> {
        while let Some(deadline) = self.deadlines.pop_passed(now) {
            let Some(connection) = self.connections.get(deadline.slot) else {
                continue;
            };
            let Some(attempt) = connection.attempt.filter(|a| a.serial == deadline.serial) else {
                continue;
            };
            let Some(result) = expired(connection, attempt, now) else {
                continue;
            };
            let node = connection.node;
            self.close(deadline.slot);
            return Some(attempt.complete(node, result));
        }
        None
    }
}

/// The result of an attempt that has expired; none: it has not.
fn expired(connection: &NodeConnection, attempt: Attempt, now: Tick) -> Option<AttemptResult> {
    let is_past_deadline = now >= attempt.deadline;
    if connection.is_request_written() {
        return is_past_deadline.then_some(AttemptResult::TimedOut);
    }
    if !connection.is_up && now >= attempt.connect_deadline {
        return Some(AttemptResult::ConnectFailed);
    }
    is_past_deadline.then_some(AttemptResult::NotSent)
}
