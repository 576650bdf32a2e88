//! The timeouts of one client connection, and its keep-alive by pings.
use super::draining::HostState;
use crate::Millis;

/// Milliseconds from the connect to the end of the login. A slow link takes a tenth of it. Guards against logins that
/// are never finished.
pub const LOGIN_TIMEOUT: Millis = 5_000;
/// Milliseconds within which a PDU that has begun must be complete, and within which the client must receive
/// some of the bytes that wait for it. Longer than a link's retransmissions, short enough that stalled clients do not
/// pile up.
pub const STALL_TIMEOUT: Millis = 10_000;
/// Milliseconds without a byte from the client after which it is pinged.
pub const PING_INTERVAL: Millis = 30_000;
/// Unanswered pings after which a silent connection is closed.
pub const MAX_UNANSWERED_PINGS: u32 = 2;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The login was not finished within [`LOGIN_TIMEOUT`], or before the host began to drain.
    LoginTimeout,
    /// A PDU was not completed within [`STALL_TIMEOUT`].
    IncompletePdu,
    /// The client took nothing of what was written to it for [`STALL_TIMEOUT`].
    WriteTimeout,
    /// [`MAX_UNANSWERED_PINGS`] pings were not answered.
    KeepAliveTimeout,
    /// The host drains, and the client has not logged out within [`LOGOUT_TIMEOUT`](super::LOGOUT_TIMEOUT).
    Drained,
}

impl CloseReason {
    /// The reason as text, for the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::LoginTimeout => "login not finished in time",
            CloseReason::IncompletePdu => "stalled within a PDU",
            CloseReason::WriteTimeout => "does not read its answers",
            CloseReason::KeepAliveTimeout => "no sign of life",
            CloseReason::Drained => "host closes",
        }
    }
}

/// What the periodic check asks the host to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Nothing is due.
    Nothing,
    /// Send the client a ping (NOP-In).
    Ping,
    /// Close the connection.
    Close(CloseReason),
}

/// What the host knows of a connection at the time of a periodic check.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionState {
    /// A PDU, or the data of a command, has begun and is incomplete.
    pub pdu_incomplete: bool,
    /// Bytes that wait to be written.
    pub unsent_bytes: usize,
    /// Commands in flight.
    pub in_flight: u32,
}

/// When things last happened on a connection.
pub(super) struct ConnectionTimeouts {
    opened: Millis,
    last_received: Millis,
    /// When bytes were last written, or nothing waited to be.
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

    pub(super) fn bytes_received(&mut self, now: Millis) {
        self.last_received = now;
        self.unanswered_pings = 0;
    }

    pub(super) fn bytes_sent(&mut self, now: Millis) {
        self.last_sent = now;
    }

    /// Nothing waits to be written now.
    pub(super) fn nothing_unsent(&mut self, now: Millis) {
        self.last_sent = now;
    }

    /// What is due now for a connection whose login is not finished.
    pub(super) fn check_login(&self, now: Millis, host: HostState) -> TimeoutAction {
        if now >= self.opened + LOGIN_TIMEOUT || host.is_draining() {
            TimeoutAction::Close(CloseReason::LoginTimeout)
        } else {
            TimeoutAction::Nothing
        }
    }

    /// What is due now for a connection with a session.
    pub(super) fn check_session(
        &mut self,
        now: Millis,
        state: ConnectionState,
        host: HostState,
    ) -> TimeoutAction {
        match self.overdue(now, state, host) {
            Some(reason) => TimeoutAction::Close(reason),
            None => self.keep_alive(now),
        }
    }

    fn overdue(&self, now: Millis, state: ConnectionState, host: HostState) -> Option<CloseReason> {
        if now >= self.last_sent + STALL_TIMEOUT {
            return Some(CloseReason::WriteTimeout);
        }
        if state.pdu_incomplete && now >= self.last_received + STALL_TIMEOUT {
            return Some(CloseReason::IncompletePdu);
        }
        // Commands in flight end by their own deadlines; a client without any is disconnected.
        let is_idle = state.in_flight == 0 && state.unsent_bytes == 0;
        (is_idle && host.logout_timeout_passed(now)).then_some(CloseReason::Drained)
    }

    /// Pings a client that was silent for too long, or closes its connection once pings stay unanswered.
    fn keep_alive(&mut self, now: Millis) -> TimeoutAction {
        let last_sign = self.last_ping.unwrap_or(0).max(self.last_received);
        if now < last_sign + PING_INTERVAL {
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
