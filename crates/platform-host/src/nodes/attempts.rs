//! Starts, cancels and expires attempts.
use super::NodeConnections;
use super::attempt::{Attempt, Completion, ForwardedRequest};
use super::connection::NodeConnection;
use super::deadlines::Deadline;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};

/// Number of deadlines by which the heap may exceed `MAX_DEADLINES_PER_CONNECTION` times the connection limit before
/// the deadlines of completed attempts are dropped.
const MAX_EXCESS_DEADLINES: usize = 1_024;
/// Number of deadlines in the heap for each possible connection: twice as many as an attempt has.
const MAX_DEADLINES_PER_CONNECTION: usize = 4;

/// An attempt that was started on a connection.
pub struct StartedAttempt {
    /// Slot of the connection that carries the attempt.
    pub slot: u32,
    /// Completion of the attempt, if its connection failed at once.
    pub completion: Option<Completion>,
}

impl NodeConnections {
    /// Starts an attempt of a block I/O at a node. The attempt owns its connection until it completes.
    ///
    /// # Errors
    /// Returns the result of the attempt if nothing was sent.
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
        // The failure of a pooled connection before the request is written proves nothing about the node.
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

    /// Drops the deadlines of completed attempts once they are the majority. Otherwise each request with a long timeout
    /// would leave a deadline until that timeout.
    fn drop_stale_deadlines(&mut self) {
        let kept = MAX_DEADLINES_PER_CONNECTION * self.pool.max_connections();
        if self.deadlines.len() <= kept + MAX_EXCESS_DEADLINES {
            return;
        }
        let pool = &self.pool;
        self.deadlines.retain(|deadline| {
            let attempt = pool.get(deadline.slot).and_then(NodeConnection::attempt);
            attempt.is_some_and(|attempt| attempt.serial == deadline.serial)
        });
    }

    /// Writes the rest of the request. Returns a completion if the connection has failed; its result is `if_unwritten`
    /// if the last byte was not written.
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
        let has_failed = connection.write_request().is_err();
        let is_written = connection.has_written_all();
        if is_written && let Some(counters) = self.pool.counters_mut(node) {
            counters.requests_written += 1;
        }
        if !has_failed {
            return None;
        }
        self.pool.close(slot);
        // A node cannot have executed a request before its last byte is written; after that, it may have.
        let result = if is_written {
            AttemptResult::ConnectionReset
        } else {
            if_unwritten
        };
        Some(attempt.complete(node, result))
    }

    /// Returns whether a connection carries an attempt of this block I/O whose request is not completely written.
    pub fn is_unsent(&self, slot: u32, io: BioId) -> bool {
        let connection = self.pool.get(slot);
        connection.is_some_and(|c| c.carries(io) && !c.is_request_written())
    }

    /// Cancels the attempt of a block I/O by closing its connection. Returns `None` if the connection does not carry
    /// it.
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

    /// Returns the earliest time at which an attempt may expire.
    pub fn next_deadline(&self) -> Option<Tick> {
        self.deadlines.next_at()
    }

    /// Completes one attempt that has expired. Has to be called until it returns `None`.
    pub fn expire_attempt(&mut self, now: Tick) -> Option<Completion> {
        while let Some(deadline) = self.deadlines.pop_passed(now) {
            let Some(connection) = self.pool.get(deadline.slot) else {
                continue;
            };
            let attempt = connection.attempt();
            let Some(attempt) = attempt.filter(|a| a.serial == deadline.serial) else {
                continue;
            };
            let Some(result) = expiry_result(connection, attempt, now) else {
                continue;
            };
            let node = connection.node();
            self.pool.close(deadline.slot);
            return Some(attempt.complete(node, result));
        }
        None
    }
}

/// Returns the result of an attempt if it has expired, or `None` if it has not.
fn expiry_result(
    connection: &NodeConnection,
    attempt: Attempt,
    now: Tick,
) -> Option<AttemptResult> {
    let is_past_deadline = now >= attempt.deadline;
    if connection.is_request_written() {
        return is_past_deadline.then_some(AttemptResult::TimedOut);
    }
    if !connection.is_up() && now >= attempt.connect_deadline {
        return Some(AttemptResult::ConnectFailed);
    }
    is_past_deadline.then_some(AttemptResult::NotSent)
}
