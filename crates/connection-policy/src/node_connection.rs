//! Opening and closing of the connection to a storage node. The scheduler decides whether a node is healthy and what
//! is sent to it; a connection is opened when an attempt needs it, and closed on one of its own timeouts or once its
//! node is removed.
use crate::Millis;

/// Maximum time from opening a connection to the end of the login, in milliseconds. Shorter than a deadline, so that
/// an attempt that waits for a hanging connect is followed by a new connect.
pub const LOGIN_TIMEOUT: Millis = 1_000;
/// Maximum time in which a node must answer an abort, in milliseconds. A healthy node answers at once; a node that
/// does not is hanging and would never free the slots of the command window that its commands occupy.
pub const ABORT_TIMEOUT: Millis = 1_000;

/// Reason for closing a connection to a node.
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
    /// Returns the text of the reason for the log.
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

/// State of the connection to one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeConnection {
    state: State,
    /// Time since which an abort has been pending. `None`: no abort is pending.
    abort_pending_since: Option<Millis>,
    unanswered_aborts: u32,
    node_removed: bool,
}

impl NodeConnection {
    /// Records that an attempt needs the connection. Returns whether the caller must open it now.
    pub fn open_if_closed(&mut self, now: Millis) -> bool {
        let is_closed = self.state == State::Closed;
        if is_closed {
            self.closed();
            self.state = State::Opening { since: now };
        }
        is_closed
    }

    /// Records that the login is finished.
    pub fn login_finished(&mut self) {
        self.state = State::Ready;
    }

    /// Returns whether attempts can be sent on the connection.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Records that the connection was closed, by either side.
    pub fn closed(&mut self) {
        *self = NodeConnection {
            node_removed: self.node_removed,
            ..NodeConnection::default()
        };
    }

    /// Records that an abort was sent.
    pub fn abort_sent(&mut self, now: Millis) {
        self.unanswered_aborts += 1;
        self.abort_pending_since = self.abort_pending_since.or(Some(now));
    }

    /// Records that an abort was answered. The node processes aborts, so the timeout of the pending ones restarts.
    pub fn abort_answered(&mut self, now: Millis) {
        self.unanswered_aborts = self.unanswered_aborts.saturating_sub(1);
        self.abort_pending_since = (self.unanswered_aborts > 0).then_some(now);
    }

    /// Records whether the endpoint list marks the node as removed.
    pub fn set_node_removed(&mut self, removed: bool) {
        self.node_removed = removed;
    }

    /// Returns the reason for which the connection must be closed now, if there is one. `in_flight`: number of
    /// attempts in flight on the connection.
    #[must_use]
    pub fn check_timeouts(&self, now: Millis, in_flight: usize) -> Option<CloseReason> {
        match self.state {
            State::Opening { since } if now >= since + LOGIN_TIMEOUT => {
                Some(CloseReason::LoginTimeout)
            }
            State::Ready
                if self
                    .abort_pending_since
                    .is_some_and(|since| now >= since + ABORT_TIMEOUT) =>
            {
                Some(CloseReason::AbortTimeout)
            }
            State::Ready if self.node_removed && in_flight == 0 => Some(CloseReason::NodeRemoved),
            _ => None,
        }
    }
}
