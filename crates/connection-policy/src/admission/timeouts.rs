//! Timeouts of one client connection, and its keep-alive by pings.
use super::draining::HostState;
use crate::Millis;

/// Maximum time from the connect to the end of the login, in milliseconds. A login over a slow link takes a tenth of
/// it. Guards against logins that are never finished.
pub const LOGIN_TIMEOUT: Millis = 5_000;
/// Maximum time without a received byte while a PDU is incomplete, and without a sent byte while bytes wait to be
/// sent, in milliseconds. Longer than a link's retransmissions, and short enough that stalled clients do not
/// accumulate.
pub const STALL_TIMEOUT: Millis = 10_000;
/// Time without a byte from the client after which the host sends it a ping, in milliseconds.
pub const PING_INTERVAL: Millis = 30_000;
/// Number of unanswered pings after which a silent connection is closed.
pub const MAX_UNANSWERED_PINGS: u32 = 2;

/// Reason for closing a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The login was not finished within [`LOGIN_TIMEOUT`], or before the host began to drain.
    LoginTimeout,
    /// A PDU was not completed within [`STALL_TIMEOUT`].
    IncompletePdu,
    /// No byte could be sent to the client for [`STALL_TIMEOUT`], although bytes were waiting.
    WriteTimeout,
    /// [`MAX_UNANSWERED_PINGS`] pings were not answered.
    KeepAliveTimeout,
    /// The host is draining, and the client has not logged out within [`LOGOUT_TIMEOUT`](super::LOGOUT_TIMEOUT).
    Drained,
}

impl CloseReason {
    /// Returns the text of the reason for the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::LoginTimeout => "login not finished in time",
            CloseReason::IncompletePdu => "stalled within a PDU",
            CloseReason::WriteTimeout => "does not read its answers",
            CloseReason::KeepAliveTimeout => "no sign of life",
            CloseReason::Drained => "not logged out in time while the host is draining",
        }
    }
}

/// Action that a connection's periodic check requires of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Nothing is due.
    Nothing,
    /// Send the client a ping (NOP-In).
    Ping,
    /// Close the connection.
    Close(CloseReason),
}

/// State of a connection at the time of a periodic check.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionState {
    /// Whether a PDU or the data of a command has been received in part.
    pub pdu_incomplete: bool,
    /// Number of bytes that wait to be written.
    pub unsent_bytes: usize,
    /// Number of commands in flight.
    pub in_flight: u32,
}

/// Times of the latest events on a connection.
pub(super) struct ConnectionTimeouts {
    opened: Millis,
    last_received: Millis,
    /// Time at which bytes were last written, or at which no bytes were waiting to be written.
    last_sent: Millis,
    last_ping: Option<Millis>,
    unanswered_pings: u32,
}

impl ConnectionTimeouts {
    pub(super) fn new(now: Millis) -> Self {
        ConnectionTimeouts {
            opened: now,
            last_received: now,
            last_sent: now,
            last_ping: None,
            unanswered_pings: 0,
        }
    }

    /// Returns the time at which the connection was opened.
    pub(super) fn opened(&self) -> Millis {
        self.opened
    }

    pub(super) fn bytes_received(&mut self, now: Millis) {
        self.last_received = now;
        self.unanswered_pings = 0;
    }

    pub(super) fn bytes_sent(&mut self, now: Millis) {
        self.last_sent = now;
    }

    /// Records that no bytes are waiting to be written.
    pub(super) fn nothing_unsent(&mut self, now: Millis) {
        self.last_sent = now;
    }

    /// Returns the action that is due now for a connection whose login is not finished.
    pub(super) fn check_login(&self, now: Millis, host: HostState) -> TimeoutAction {
        if now >= self.opened + LOGIN_TIMEOUT || host.is_draining() {
            TimeoutAction::Close(CloseReason::LoginTimeout)
        } else {
            TimeoutAction::Nothing
        }
    }

    /// Returns the action that is due now for a connection with a session.
    pub(super) fn check_session(
        &mut self,
        now: Millis,
        state: ConnectionState,
        host: HostState,
    ) -> TimeoutAction {
        match self.close_reason(now, state, host) {
            Some(reason) => TimeoutAction::Close(reason),
            None => self.ping_or_close(now),
        }
    }

    fn close_reason(
        &self,
        now: Millis,
        state: ConnectionState,
        host: HostState,
    ) -> Option<CloseReason> {
        if now >= self.last_sent + STALL_TIMEOUT {
            return Some(CloseReason::WriteTimeout);
        }
        if state.pdu_incomplete && now >= self.last_received + STALL_TIMEOUT {
            return Some(CloseReason::IncompletePdu);
        }
        // Commands in flight end by their own deadlines. A client without commands in flight or unsent bytes is
        // disconnected once the time to log out has passed.
        let is_idle = state.in_flight == 0 && state.unsent_bytes == 0;
        (is_idle && host.logout_timeout_passed(now)).then_some(CloseReason::Drained)
    }

    /// Returns a ping for a client that was silent for too long, or a close once too many pings are unanswered.
    fn ping_or_close(&mut self, now: Millis) -> TimeoutAction {
        let last_activity = self.last_ping.unwrap_or(0).max(self.last_received);
        if now < last_activity + PING_INTERVAL {
            return TimeoutAction::Nothing;
        }
        if self.unanswered_pings >= MAX_UNANSWERED_PINGS {
            return TimeoutAction::Close(CloseReason::KeepAliveTimeout);
        }
        self.unanswered_pings += 1;
        self.last_ping = Some(now);
        TimeoutAction::Ping
    }
}
