//! Admission of client sessions: which logins are admitted, when a connection is closed, and how a host drains.
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
/// Bytes that wait to be written to a client from which on nothing more is read from it: a few of its longest reads.
/// Its commands in flight are bounded by its command window.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Milliseconds that a draining host leaves its clients to log out.
pub const LOGOUT_TIMEOUT: Millis = 2_000;

/// Index of a connection, chosen by the caller and small: tables are indexed by it.
pub type ConnectionIndex = usize;

/// Why a login is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoginRejection {
    /// The client requests a target with another name.
    #[error("no target of this name")]
    NoSuchTarget,
    /// The client wants to continue a session that does not exist here.
    #[error("no session with this handle")]
    NoSuchSession,
    /// The host is draining.
    #[error("the host is draining")]
    Draining,
    /// All session handles are in use, or the connection is unknown.
    #[error("no session handle is free")]
    OutOfResources,
}

/// A login that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedSession {
    /// The target session identifying handle (TSIH, RFC 7143), never 0.
    pub handle: u16,
    /// The connection whose session this login takes over, to be closed.
    pub replaces: Option<ConnectionIndex>,
}

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
    /// The host drains, and the client has not logged out within [`LOGOUT_TIMEOUT`].
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

struct Connection {
    initiator: String,
    isid: [u8; 6],
    handle: u16,
    logged_in: bool,
    opened: Millis,
    last_received: Millis,
    /// When bytes were last written, or nothing waited to be.
    last_sent: Millis,
    unanswered_pings: u32,
    last_ping: Millis,
}

impl Connection {
    fn new(now: Millis) -> Self {
        Connection {
            initiator: String::new(),
            isid: [0; 6],
            handle: 0,
            logged_in: false,
            opened: now,
            last_received: now,
            last_sent: now,
            unanswered_pings: 0,
            last_ping: 0,
        }
    }

    fn has_handle(&self, handle: u16) -> bool {
        self.logged_in && self.handle == handle
    }

    fn is_session_of(&self, initiator: &str, isid: [u8; 6]) -> bool {
        self.logged_in && self.initiator == initiator && self.isid == isid
    }

    /// Pings a client that was silent for too long, or closes its connection once pings stay unanswered.
    fn keep_alive(&mut self, now: Millis) -> TimeoutAction {
        if now < self.last_received.max(self.last_ping) + PING_INTERVAL {
            return TimeoutAction::Nothing;
        }
        if self.unanswered_pings >= MAX_UNANSWERED_PINGS {
            return TimeoutAction::Close(CloseReason::KeepAliveTimeout);
        }
        self.unanswered_pings += 1;
        self.last_ping = now;
        TimeoutAction::Ping
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    Open,
    /// No logins; commands in flight are finished.
    Draining {
        since: Millis,
    },
}

/// Admits connections and logins, and watches over the timeouts of each connection.
pub struct AdmissionController {
    target: String,
    max_connections: usize,
    connections: Vec<Option<Connection>>,
    count: usize,
    last_handle: u16,
    state: HostState,
}

impl AdmissionController {
    /// `target`: the name that clients must request. `max_connections`: how many are open at once at most.
    #[must_use]
    pub fn new(target: &str, max_connections: usize) -> Self {
        AdmissionController {
            target: target.to_owned(),
            max_connections,
            connections: Vec::new(),
            count: 0,
            last_handle: 0,
            state: HostState::Open,
        }
    }

    /// Whether an accepted connection is admitted. False: there are too many, and the caller closes it at once.
    #[must_use]
    pub fn admit_connection(&mut self, index: ConnectionIndex, now: Millis) -> bool {
        if self.count >= self.max_connections {
            return false;
        }
        if self.connections.len() <= index {
            self.connections.resize_with(index + 1, || None);
        }
        self.count += usize::from(self.connections[index].is_none());
        self.connections[index] = Some(Connection::new(now));
        true
    }

    /// A connection was closed; its index is free.
    pub fn connection_closed(&mut self, index: ConnectionIndex) {
        if self
            .connections
            .get_mut(index)
            .and_then(Option::take)
            .is_some()
        {
            self.count -= 1;
        }
    }

    /// Decides on a login. `target` is absent in a discovery session. A `handle` other than 0 requests
    /// to continue a session; sessions end with their connection, so there never is one.
    ///
    /// # Errors
    /// Why the login is rejected.
    pub fn login(
        &mut self,
        index: ConnectionIndex,
        initiator: &str,
        target: Option<&str>,
        isid: [u8; 6],
        handle: u16,
    ) -> Result<AdmittedSession, LoginRejection> {
        if self.is_draining() {
            return Err(LoginRejection::Draining);
        }
        if target.is_some_and(|target| target != self.target) {
            return Err(LoginRejection::NoSuchTarget);
        }
        if handle != 0 {
            return Err(LoginRejection::NoSuchSession);
        }
        let replaces = match target {
            Some(_) => self.session_to_replace(index, initiator, isid),
            None => None,
        };
        let handle = self
            .next_free_handle()
            .ok_or(LoginRejection::OutOfResources)?;
        self.last_handle = handle;
        let connection = self
            .connection_mut(index)
            .ok_or(LoginRejection::OutOfResources)?;
        initiator.clone_into(&mut connection.initiator);
        connection.isid = isid;
        connection.handle = handle;
        connection.logged_in = true;
        Ok(AdmittedSession { handle, replaces })
    }

    /// A login from the same initiator port ends its old session (RFC 7143, 6.3.5), also where the old
    /// connection still seems to be alive.
    fn session_to_replace(
        &self,
        index: ConnectionIndex,
        initiator: &str,
        isid: [u8; 6],
    ) -> Option<ConnectionIndex> {
        let is_same = |other: &Option<Connection>| {
            other
                .as_ref()
                .is_some_and(|c| c.is_session_of(initiator, isid))
        };
        (0..self.connections.len())
            .find(|other| *other != index && is_same(&self.connections[*other]))
    }

    fn next_free_handle(&self) -> Option<u16> {
        let in_use = |handle: u16| {
            self.connections
                .iter()
                .flatten()
                .any(|c| c.has_handle(handle))
        };
        (0..=u16::MAX)
            .map(|offset| self.last_handle.wrapping_add(offset).wrapping_add(1))
            .find(|handle| *handle != 0 && !in_use(*handle))
    }

    fn connection_mut(&mut self, index: ConnectionIndex) -> Option<&mut Connection> {
        self.connections.get_mut(index)?.as_mut()
    }

    /// Bytes were received on a connection.
    pub fn bytes_received(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connection_mut(index) {
            connection.last_received = now;
            connection.unanswered_pings = 0;
        }
    }

    /// Bytes were written to a connection.
    pub fn bytes_sent(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connection_mut(index) {
            connection.last_sent = now;
        }
    }

    /// Whether to continue to read from a connection that has this many bytes waiting to be written.
    #[must_use]
    pub fn may_read(&self, unsent_bytes: usize) -> bool {
        unsent_bytes < MAX_UNSENT_BYTES
    }

    /// The periodic check of a connection: what is due for it now.
    pub fn check_timeouts(
        &mut self,
        index: ConnectionIndex,
        now: Millis,
        state: ConnectionState,
    ) -> TimeoutAction {
        let host = self.state;
        let Some(connection) = self.connection_mut(index) else {
            return TimeoutAction::Nothing;
        };
        if state.unsent_bytes == 0 {
            connection.last_sent = now;
        }
        match overdue(connection, now, state, host) {
            Some(reason) => TimeoutAction::Close(reason),
            None if connection.logged_in => connection.keep_alive(now),
            None => TimeoutAction::Nothing,
        }
    }

    /// Begins to drain: logins are rejected from now on. False if the host was draining already.
    pub fn start_draining(&mut self, now: Millis) -> bool {
        if self.is_draining() {
            return false;
        }
        self.state = HostState::Draining { since: now };
        true
    }

    /// Admits logins again.
    pub fn stop_draining(&mut self) {
        self.state = HostState::Open;
    }

    /// Whether the host is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state != HostState::Open
    }

    /// Whether new commands are admitted. A draining host admits them for [`LOGOUT_TIMEOUT`], while its
    /// clients have time to log out; later ones could keep it from ever stopping.
    #[must_use]
    pub fn admits_commands(&self, now: Millis) -> bool {
        match self.state {
            HostState::Open => true,
            HostState::Draining { since } => now < since + LOGOUT_TIMEOUT,
        }
    }

    /// Seconds within which clients are asked to log out.
    #[must_use]
    pub fn logout_seconds(&self) -> u16 {
        (LOGOUT_TIMEOUT / 1000) as u16
    }

    /// Open connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.count
    }
}

/// Why a connection has to be closed, if it does.
fn overdue(
    connection: &Connection,
    now: Millis,
    state: ConnectionState,
    host: HostState,
) -> Option<CloseReason> {
    if !connection.logged_in {
        let late = now >= connection.opened + LOGIN_TIMEOUT || host != HostState::Open;
        return late.then_some(CloseReason::LoginTimeout);
    }
    if now >= connection.last_sent + STALL_TIMEOUT {
        return Some(CloseReason::WriteTimeout);
    }
    if state.pdu_incomplete && now >= connection.last_received + STALL_TIMEOUT {
        return Some(CloseReason::IncompletePdu);
    }
    if let HostState::Draining { since } = host {
        // Commands in flight end by their own deadlines; a client without any is disconnected.
        let is_idle = state.in_flight == 0 && state.unsent_bytes == 0;
        return (is_idle && now >= since + LOGOUT_TIMEOUT).then_some(CloseReason::Drained);
    }
    None
}
