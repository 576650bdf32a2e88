//! Attempts: sent, cancelled, expired.
use super::NodeConnections;
use super::attempt::{Attempt, Completion, ForwardedRequest};
use super::connection::NodeConnection;
use super::deadlines::Deadline;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};

/// Deadlines of completed attempts are dropped once there are this many beyond `MAX_DEADLINES_PER_CONNECTION`.
const STALE_DEADLINES: usize = 1_024;
/// Deadlines that are kept for each connection that there may be: twice as many as its attempt has.
const MAX_DEADLINES_PER_CONNECTION: usize = 4;

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
        request: &ForwardedRequest,
    ) -> Result<StartedAttempt, AttemptResult> {
        let idle_timeout = self.keep_alive_ms(now);
        let slot = self.pool.check_out(node, now, idle_timeout)?;
        let attempt = self.new_attempt(io, now, timeout);
        if let Some(counters) = self.pool.counters_mut(node) {
            counters.attempts += 1;
        }
        let connection = self.pool.get_mut(slot).ok_or(AttemptResult::NotSent)?;
        connection.begin_attempt(attempt, request);
        let is_up = connection.is_up();
        self.add_deadline(attempt.deadline, slot, attempt.serial);
        self.drop_stale_deadlines();
        if !is_up {
            let connected_by = attempt.connect_deadline.min(attempt.deadline);
            self.add_deadline(connected_by, slot, attempt.serial);
            return Ok(StartedAttempt {
                slot,
                completion: None,
            });
        }
        // A pooled connection that breaks before the request is written proves nothing about the node.
        let completion = self.write_request(slot, AttemptResult::NotSent);
        Ok(StartedAttempt { slot, completion })
    }

    fn new_attempt(&mut self, io: BioId, now: Tick, timeout: Tick) -> Attempt {
        self.last_serial += 1;
        Attempt {
            io,
            started_at: now,
            deadline: now + timeout,
            connect_deadline: now + self.connect_timeout,
            serial: self.last_serial,
        }
    }

    fn add_deadline(&mut self, at: Tick, slot: u32, serial: u64) {
        self.deadlines.push(Deadline { at, slot, serial });
    }

    /// Drops the deadlines of completed attempts once they are the majority: requests with a long timeout would otherwise
    /// leave one deadline each.
    fn drop_stale_deadlines(&mut self) {
        let kept = MAX_DEADLINES_PER_CONNECTION * self.pool.max_connections();
        if self.deadlines.len() <= kept + STALE_DEADLINES {
            return;
        }
        let pool = &self.pool;
        self.deadlines.retain(|deadline| {
            let attempt = pool.get(deadline.slot).and_then(NodeConnection::attempt);
            attempt.is_some_and(|attempt| attempt.serial == deadline.serial)
        });
    }

    /// Writes the rest of the request. A completion: the connection broke, with `if_unwritten` as the result if the last
    /// byte was not written.
    pub(super) fn write_request(
        &mut self,
        slot: u32,
        if_unwritten: AttemptResult,
    ) -> Option<Completion> {
        let connection = self.pool.get_mut(slot)?;
        let attempt = connection.attempt()?;
        if connection.has_written_all() {
            return None;
        }
        let node = connection.node();
        let is_broken = connection.write_request().is_err();
        let is_written = connection.has_written_all();
        if is_written && let Some(counters) = self.pool.counters_mut(node) {
            counters.requests_written += 1;
        }
        if !is_broken {
            return None;
        }
        self.pool.close(slot);
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
        let connection = self.pool.get(slot);
        connection.is_some_and(|c| c.carries(io) && !c.is_request_written())
    }

    /// Cancels the attempt of a block I/O, if this connection carries it, by closing the connection.
    pub fn cancel(&mut self, slot: u32, io: BioId) -> Option<Completion> {
        let connection = self.pool.get(slot).filter(|c| c.carries(io))?;
        let node = connection.node();
        let result = if connection.is_request_written() {
            AttemptResult::Cancelled
        } else {
            AttemptResult::NotSent
        };
        let attempt = self.pool.close(slot)?;
        Some(attempt.complete(node, result))
    }

    /// When the next attempt may expire.
    pub fn next_deadline(&self) -> Option<Tick> {
        self.deadlines.next_at()
    }

    /// Completes an attempt that has expired; to be called until there is none.
    pub fn expire_attempt(&mut self, now: Tick) -> Option<Completion> {
        while let Some(deadline) = self.deadlines.pop_passed(now) {
            let Some(connection) = self.pool.get(deadline.slot) else {
                continue;
            };
            let attempt = connection.attempt();
            let Some(attempt) = attempt.filter(|a| a.serial == deadline.serial) else {
                continue;
            };
            let Some(result) = expired(connection, attempt, now) else {
                continue;
            };
            let node = connection.node();
            self.pool.close(deadline.slot);
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
    if !connection.is_up() && now >= attempt.connect_deadline {
        return Some(AttemptResult::ConnectFailed);
    }
    is_past_deadline.then_some(AttemptResult::NotSent)
}
