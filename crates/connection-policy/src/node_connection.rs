//! When the connection to a storage node is opened and closed. Whether a node is healthy, and what is sent to it, is
//! the scheduler's decision: a connection is opened when an attempt needs it, and closed on a timeout of its own.
use crate::Millis;

/// Milliseconds from opening a connection to the end of its login. Shorter than a deadline, so that an attempt
/// behind a connect that hangs is followed by a fresh connect.
pub const LOGIN_TIMEOUT: Millis = 1_000;
/// Milliseconds within which an abort is answered. A healthy node answers at once; one that does not hangs,
/// and would never free the slots of the command window that its commands occupy.
pub const ABORT_TIMEOUT: Millis = 1_000;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The login was not finished within [`LOGIN_TIMEOUT`].
    LoginTimeout,
    /// An abort was not answered within [`ABORT_TIMEOUT`].
    AbortTimeout,
    /// The node was removed from the endpoint list, and nothing is in flight on the connection.
    NodeRemoved,
}

impl CloseReason {
    /// The reason as text, for the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::LoginTimeout => "login not finished in time",
            CloseReason::AbortTimeout => "aborts unanswered",
            CloseReason::NodeRemoved => "node has left",
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Closed,
    Opening {
        since: Millis,
    },
    Ready,
}

/// The connection to one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeConnection {
    state: State,
    /// Since when an abort is unanswered.
    abort_waits_since: Option<Millis>,
    unanswered_aborts: u32,
    node_removed: bool,
}

impl NodeConnection {
    /// An attempt needs the connection. True: it is to be opened now.
    pub fn open_if_closed(&mut self, now: Millis) -> bool {
        let is_closed = self.state == State::Closed;
        if is_closed {
            self.closed();
            self.state = State::Opening { since: now };
        }
        is_closed
    }

    /// The login is finished.
    pub fn login_finished(&mut self) {
        self.state = State::Ready;
    }

    /// Whether attempts can be sent on it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// It was closed, by either side.
    pub fn closed(&mut self) {
        *self = NodeConnection {
            node_removed: self.node_removed,
            ..NodeConnection::default()
        };
    }

    /// An abort was sent.
    pub fn abort_sent(&mut self, now: Millis) {
        self.unanswered_aborts += 1;
        self.abort_waits_since = self.abort_waits_since.or(Some(now));
    }

    /// An abort was answered: the node does process aborts, so the timeout of the others starts again.
    pub fn abort_answered(&mut self, now: Millis) {
        self.unanswered_aborts = self.unanswered_aborts.saturating_sub(1);
        self.abort_waits_since = (self.unanswered_aborts > 0).then_some(now);
    }

    /// Whether the endpoint list says that the node was removed.
    pub fn set_node_removed(&mut self, removed: bool) {
        self.node_removed = removed;
    }

    /// The periodic check: why the connection is to be closed now, with this many attempts in flight on it.
    #[must_use]
    pub fn check_timeouts(&self, now: Millis, in_flight: usize) -> Option<CloseReason> {
        match self.state {
            State::Opening { since } if now >= since + LOGIN_TIMEOUT => {
                Some(CloseReason::LoginTimeout)
            }
            State::Ready
                if self
                    .abort_waits_since
                    .is_some_and(|since| now >= since + ABORT_TIMEOUT) =>
            {
                Some(CloseReason::AbortTimeout)
            }
            State::Ready if self.node_removed && in_flight == 0 => Some(CloseReason::NodeRemoved),
            _ => None,
        }
    }
}
