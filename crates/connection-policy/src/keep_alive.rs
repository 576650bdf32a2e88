//! Keep-alive of connections to nodes: how long idle connections are kept, and which one carries the next attempt.
use crate::Millis;

/// Time after a response before a connection is reused, in milliseconds. Stray bytes that do not belong to the
/// response arrive within one iteration of the node's event loop.
pub const SETTLING_TIME: Millis = 2;
/// Divisor of a node's own idle timeout. The host closes an idle connection well before the node does, so that no
/// attempt is sent on a connection that is being closed.
const NODE_TIMEOUT_DIVISOR: Millis = 2;
/// Idle timeout if the settings state none for nodes, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT: Millis = 15_000;
/// Shortest idle timeout, in milliseconds. Under load a connection is reused within this time, and a new connection
/// costs the node work.
pub const MIN_IDLE_TIMEOUT: Millis = 25;
/// Maximum time from the first bytes on a connection that the node has dropped to the node's reset, in milliseconds (a
/// round trip).
pub const RESET_WITHIN: Millis = 5;
/// Interval in which several rejections of new connections count as one, in milliseconds. Closing idle connections
/// takes that long to have an effect.
const REJECTION_INTERVAL: Millis = 1_000;
/// Time without a lost or rejected connection after which the idle timeout doubles, in milliseconds.
pub const RECOVERY_INTERVAL: Millis = 10_000;

/// Adaptive idle timeout of connections to nodes.
///
/// The idle timeout starts from the nodes' idle timeout in the settings. It is lowered when a connection turns out to
/// have been closed unnoticed: a node, or a middlebox before it, may drop a connection earlier than the settings say
/// and reset only the next request on it, which may then have run.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlivePolicy {
    idle_timeout: Millis,
    max_idle_timeout: Millis,
    last_change: Millis,
    /// Time at which a rejection last counted, initially 0 on the caller's clock: the first rejection counts only once
    /// the clock has reached [`REJECTION_INTERVAL`].
    last_rejection: Millis,
}

impl KeepAlivePolicy {
    /// Creates the policy of a host that starts at `now`. `node_idle_timeout`: longest time after which a node closes
    /// an idle connection, in milliseconds, if it is known.
    #[must_use]
    pub fn new(node_idle_timeout: Option<Millis>, now: Millis) -> Self {
        let max_idle_timeout = match node_idle_timeout {
            Some(node_idle_timeout) => node_idle_timeout / NODE_TIMEOUT_DIVISOR,
            None => DEFAULT_IDLE_TIMEOUT,
        };
        KeepAlivePolicy {
            idle_timeout: max_idle_timeout,
            max_idle_timeout,
            last_change: now,
            last_rejection: 0,
        }
    }

    /// Records that a reused connection failed before the first byte of a response. `idle`: time for which the
    /// connection had been idle, in milliseconds. `after`: time from sending the attempt to the failure, in
    /// milliseconds.
    pub fn connection_lost(&mut self, idle: Millis, after: Millis, now: Millis) {
        // A later reset, or a reset of a connection that was idle for a shorter time, concerns the request and does
        // not show that the idle connection had been closed.
        if after <= RESET_WITHIN && idle >= MIN_IDLE_TIMEOUT {
            self.idle_timeout = (self.idle_timeout.min(idle) / 2).max(MIN_IDLE_TIMEOUT);
            self.last_change = now;
        }
    }

    /// Records that a node rejected the first attempt on a new connection. The node may have reached its connection
    /// limit, mostly with idle connections of all hosts. Each rejected host halves its own idle timeout, until all
    /// hosts together stay below the limit. A full queue at the node cannot be distinguished from that and costs some
    /// new connections.
    pub fn new_connection_rejected(&mut self, now: Millis) {
        if now >= self.last_rejection + REJECTION_INTERVAL {
            self.idle_timeout = (self.idle_timeout / 2).max(MIN_IDLE_TIMEOUT);
            self.last_change = now;
            self.last_rejection = now;
        }
    }

    /// Returns the current idle timeout in milliseconds. It doubles after each [`RECOVERY_INTERVAL`] without a lost or
    /// rejected connection.
    pub fn idle_timeout(&mut self, now: Millis) -> Millis {
        while self.idle_timeout < self.max_idle_timeout
            && now >= self.last_change + RECOVERY_INTERVAL
        {
            self.idle_timeout = (self.idle_timeout * 2).min(self.max_idle_timeout);
            self.last_change += RECOVERY_INTERVAL;
        }
        self.idle_timeout
    }
}

/// Whether an idle connection may carry the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reusability {
    /// The connection may carry the next attempt.
    Reusable,
    /// The connection was used less than [`SETTLING_TIME`] ago.
    Settling,
    /// The connection has been idle for too long and must be closed.
    Expired,
}

/// Returns whether a connection may be reused after `idle` milliseconds without use. `idle_timeout`: current idle
/// timeout in milliseconds.
#[must_use]
pub fn reusability(idle: Millis, idle_timeout: Millis) -> Reusability {
    if idle >= idle_timeout {
        Reusability::Expired
    } else if idle < SETTLING_TIME {
        Reusability::Settling
    } else {
        Reusability::Reusable
    }
}

/// Returns whether a connection is kept after a response. `rejected`: the node rejected the request for lack of
/// capacity.
///
/// A node serves a limited number of connections and rejects requests on the others. A host that retried on a rejected
/// connection would keep the connection open and never be served; a new connection is served as soon as a place is
/// free. The cost is a new connection also where only the node's queue was full, when hosts send less anyway.
#[must_use]
pub fn keep_after_response(rejected: bool) -> bool {
    !rejected
}

/// Returns the position of the idle connection that carries the next attempt to a node: the most recently used one
/// that is reusable, so that surplus connections expire. `idle`: idle times of the node's connections in milliseconds,
/// the most recently used connection last.
pub fn select_idle_connection(
    idle: impl DoubleEndedIterator<Item = Millis> + ExactSizeIterator,
    idle_timeout: Millis,
) -> Option<usize> {
    let is_reusable = |idle: Millis| reusability(idle, idle_timeout) == Reusability::Reusable;
    idle.enumerate()
        .rev()
        .find(|(_, idle)| is_reusable(*idle))
        .map(|(position, _)| position)
}
