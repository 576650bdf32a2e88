//! Keep-alive of connections to nodes: how long idle ones are kept, and which one carries the next attempt.
use crate::Millis;

/// Milliseconds after a response before a connection is reused: stray bytes that do not belong to that response
/// arrive within one iteration of the node's event loop.
pub const SETTLING_TIME: Millis = 2;
/// Divisor of a node's own idle timeout: an idle connection is closed well before the node closes it, so that no
/// attempt is sent on a connection that is being closed.
const NODE_TIMEOUT_DIVISOR: Millis = 2;
/// Idle timeout in milliseconds where the settings name none for nodes.
pub const DEFAULT_IDLE_TIMEOUT: Millis = 15_000;
/// Shortest idle timeout in milliseconds: under load a connection is reused within it, and opening a new one costs
/// its node work.
pub const MIN_IDLE_TIMEOUT: Millis = 25;
/// A node that has dropped a connection answers the first bytes on it with a reset, within this many milliseconds (a
/// round trip).
pub const RESET_WITHIN: Millis = 5;
/// Milliseconds within which several rejections of new connections count as one: closing idle connections takes that
/// long to show an effect.
const REJECTION_INTERVAL: Millis = 1_000;
/// Milliseconds without a lost or rejected connection after which the idle timeout doubles.
pub const RECOVERY_INTERVAL: Millis = 10_000;

/// For how long idle connections are kept.
///
/// The idle timeout starts from what the settings say of nodes. It is lowered when connections turn out to have
/// been closed unnoticed: a node, or a middlebox before it, may drop a connection earlier than the settings say
/// and reset only the next request on it, which may then have run.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlivePolicy {
    idle_timeout: Millis,
    max_idle_timeout: Millis,
    last_change: Millis,
    /// When a rejection last counted. It starts as the zero of the caller's clock: the first rejection counts once the
    /// clock shows [`REJECTION_INTERVAL`].
    last_rejection: Millis,
}

impl KeepAlivePolicy {
    /// `node_idle_timeout`: milliseconds after which a node closes an idle connection at the latest, if that is known.
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

    /// A reused connection broke before the first byte of its response. `idle`: milliseconds it had been idle;
    /// `after`: milliseconds from sending the attempt to the break.
    pub fn connection_lost(&mut self, idle: Millis, after: Millis, now: Millis) {
        // A later reset, or one on a connection that was hardly idle, concerns the request and not a closed connection.
        if after <= RESET_WITHIN && idle >= MIN_IDLE_TIMEOUT {
            self.idle_timeout = (self.idle_timeout.min(idle) / 2).max(MIN_IDLE_TIMEOUT);
            self.last_change = now;
        }
    }

    /// A node rejected the first attempt on a new connection: it may have reached its limit of connections, most
    /// of which are idle ones of all hosts. Each host that is rejected halves its own idle timeout, until together
    /// they stay below the limit. A full queue at the node looks the same from here; that case costs some new
    /// connections.
    pub fn new_connection_rejected(&mut self, now: Millis) {
        if now >= self.last_rejection + REJECTION_INTERVAL {
            self.idle_timeout = (self.idle_timeout / 2).max(MIN_IDLE_TIMEOUT);
            self.last_change = now;
            self.last_rejection = now;
        }
    }

    /// The idle timeout in milliseconds as of now; it doubles after each [`RECOVERY_INTERVAL`] without a lost or
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
    /// It may.
    Reusable,
    /// It has only just been used.
    Settling,
    /// It has been idle for too long and is to be closed.
    Expired,
}

/// Whether a connection may be reused after this many milliseconds idle, under this idle timeout.
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

/// Whether a connection is kept after a response. `rejected`: the node rejected the request for want of
/// capacity.
///
/// A node serves a limited number of connections and rejects requests on the others. A host that retried on such a
/// connection would keep it open and never be served; a new connection gets a place as soon as one is free. The cost
/// is a new connection also where the node's queue was full, when hosts send less anyway.
#[must_use]
pub fn keep_after_response(rejected: bool) -> bool {
    !rejected
}

/// Which of a node's idle connections carries the next attempt: the most recently used that has settled, so that
/// those not needed expire. `idle`: for how many milliseconds each has been idle, the most recently used last.
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
