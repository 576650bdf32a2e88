//! Keep-alive of connections to nodes: how long idle ones are kept, and which one carries the next attempt.
use crate::Millis;

/// Milliseconds that a connection rests after a response: bytes that do not belong to that response show
/// themselves within an iteration of the node's loop.
pub const SETTLING_TIME: Millis = 2;
/// Fraction of a node's own idle timeout after which a connection is given up, one in this many: well before
/// the node does, so that no attempt is sent on a connection that is being closed.
const NODE_TIMEOUT_DIVISOR: Millis = 2;
/// Idle timeout in milliseconds where the settings name none for nodes.
pub const DEFAULT_IDLE_TIMEOUT: Millis = 15_000;
/// Shortest idle timeout in milliseconds: under load a connection is reused by then, and a new one costs its
/// node work.
pub const MIN_IDLE_TIMEOUT: Millis = 25;
/// A node that has forgotten a connection answers the first bytes on it with a reset, within this many
/// milliseconds (a round trip).
pub const RESET_WITHIN: Millis = 5;
/// Milliseconds in which rejections of new connections count once: closing idle connections takes that long to
/// show an effect.
pub const REJECTION_INTERVAL: Millis = 1_000;
/// Milliseconds without a lost or rejected connection after which the idle timeout doubles.
pub const RECOVERY_INTERVAL: Millis = 10_000;

/// For how long idle connections are kept.
///
/// The idle timeout starts from what the settings say of nodes. It is lowered when connections turn out to have
/// been closed unnoticed: a node, or a middlebox before it, may forget a connection earlier than the settings
/// say and tell so only to the next request on it, which may then have run.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlivePolicy {
    idle_timeout: Millis,
    max_idle_timeout: Millis,
    last_change: Millis,
    last_rejection: Millis,
}

impl KeepAlivePolicy {
    /// `node_idle_timeout`: milliseconds after which a node closes an idle connection at the latest; 0: unknown.
    #[must_use]
    pub fn new(node_idle_timeout: Millis, now: Millis) -> Self {
        let max_idle_timeout = if node_idle_timeout > 0 {
            node_idle_timeout / NODE_TIMEOUT_DIVISOR
        } else {
            DEFAULT_IDLE_TIMEOUT
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
        // Later, or on a fresh connection, the request was reset, not a connection long closed.
        if after <= RESET_WITHIN && idle >= MIN_IDLE_TIMEOUT {
            self.idle_timeout = (self.idle_timeout.min(idle) / 2).max(MIN_IDLE_TIMEOUT);
            self.last_change = now;
        }
    }

    /// A node rejected the first attempt on a new connection: it may have no place for one more, and the idle
    /// connections of all hosts are what fills it. Each host that is rejected halves its own idle timeout, so
    /// that together they come to what fits. A node whose queue is full looks the same; that costs some new
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
        while self.idle_timeout < self.max_idle_timeout && now >= self.last_change + RECOVERY_INTERVAL {
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

/// Whether a connection is kept after a response. `rejected`: the node turned the request away for want of
/// capacity.
///
/// A node holds only so many connections and rejects what comes on the others; hosts that retried on those
/// would keep them open for good and never be served. Closed, the retry finds whatever place has become free.
/// The cost is a new connection where the node's queue was full, when hosts come more slowly anyway.
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
    idle.enumerate().rev().find(|(_, idle)| is_reusable(*idle)).map(|(position, _)| position)
}
