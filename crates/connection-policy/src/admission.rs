//! Admission of client sessions: which logins are admitted, when a connection is closed, and how a host is drained.
//!
//! - `connections`: the open connections by index.
//! - `session`: sessions and their handles.
//! - `timeouts`: timeouts and pings of a connection.
//! - `draining`: whether the host is draining.
mod connections;
mod draining;
mod session;
mod timeouts;

pub use draining::LOGOUT_TIMEOUT;
pub use timeouts::{
    CloseReason, ConnectionState, LOGIN_TIMEOUT, MAX_UNANSWERED_PINGS, PING_INTERVAL,
    STALL_TIMEOUT, TimeoutAction,
};

use crate::Millis;
use connections::Connections;
use draining::HostState;
use session::{Session, SessionHandles};
use std::num::NonZeroU16;

/// Number of unsent bytes for a client from which on nothing more is read from it: room for a few of its longest
/// reads. The client's commands in flight are bounded by its command window.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Number of bytes that are read from a client ahead of the commands in them. A client's close shows only behind all
/// that it sent before, so a host that has read little of much would send commands of a client that has left.
pub const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// Time for which a connection may log in undisturbed, in milliseconds. Where there are too many connections, an older one
/// without a session makes room for a new one, so that clients that never finish their login keep nobody out.
pub const UNDISTURBED_LOGIN: Millis = 100;
/// Index of a connection. The caller chooses small numbers, since tables are indexed by them.
pub type ConnectionIndex = usize;

/// Reason for rejecting a login.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoginRejection {
    /// The client requests a target with another name.
    #[error("target name in the login request is unknown")]
    NoSuchTarget,
    /// The client requests to continue a session that does not exist on this host.
    #[error("session handle (TSIH) in the login request is unknown")]
    NoSuchSession,
    /// The host is draining.
    #[error("the host is draining")]
    Draining,
    /// All session handles are in use, or the connection is unknown.
    #[error("no session handle (TSIH) is free")]
    OutOfResources,
}

/// Decision on the next connection that a client opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextConnection {
    /// Accept it.
    Admit,
    /// Close this connection, which has no session, and accept the new one.
    Replace(ConnectionIndex),
    /// Leave it in the listener's queue: a connection without a session will soon be replaced or log in.
    Wait,
    /// Accept it and close it at once: all connections have sessions.
    Reject,
}

/// Session of a login that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedSession {
    /// Target session identifying handle (TSIH, RFC 7143), never 0.
    pub handle: u16,
    /// Connection whose session this login replaces, and which the caller must close.
    pub replaces: Option<ConnectionIndex>,
}

/// Admits connections and logins, and checks the timeouts of each connection.
pub struct AdmissionController {
    target: String,
    max_connections: usize,
    connections: Connections,
    handles: SessionHandles,
    state: HostState,
}

impl AdmissionController {
    /// Creates the controller of a host without connections. `target`: target name that clients must request.
    /// `max_connections`: maximum number of open connections.
    #[must_use]
    pub fn new(target: &str, max_connections: usize) -> Self {
        AdmissionController {
            target: target.to_owned(),
            max_connections,
            connections: Connections::default(),
            handles: SessionHandles::default(),
            state: HostState::Open,
        }
    }

    /// Returns the decision on the next connection that a client opens.
    #[must_use]
    pub fn next_connection(&self, now: Millis) -> NextConnection {
        if self.connections.count() < self.max_connections {
            return NextConnection::Admit;
        }
        match self.connections.oldest_without_session() {
            None => NextConnection::Reject,
            Some(oldest) if now < oldest.opened + UNDISTURBED_LOGIN => NextConnection::Wait,
            Some(oldest) => NextConnection::Replace(oldest.index),
        }
    }

    /// Admits an accepted connection. Returns false if there are too many connections; the caller then closes the
    /// connection at once.
    #[must_use]
    pub fn admit_connection(&mut self, index: ConnectionIndex, now: Millis) -> bool {
        if self.connections.count() >= self.max_connections {
            return false;
        }
        self.connections.insert(index, now);
        true
    }

    /// Records that a connection was closed. Its index is free for another one.
    pub fn connection_closed(&mut self, index: ConnectionIndex) {
        self.connections.remove(index);
    }

    /// Admits or rejects a login. `target`: target name, absent in a discovery session. `handle`: TSIH of the login
    /// request as it is on the wire: 0 requests a new session, any other value requests to continue a session.
    /// Sessions end with their connection, so there is never a session to continue.
    ///
    /// # Errors
    /// Returns the reason for which the login is rejected.
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
        // A login from the same initiator port replaces the old session (RFC 7143, 6.3.5), even if the old connection
        // still appears to be alive.
        let replaces = match target {
            Some(_) => self.connections.other_session_of(index, initiator, isid),
            None => None,
        };
        let handle = self.open_session(index, initiator, isid)?;
        Ok(AdmittedSession {
            handle: handle.get(),
            replaces,
        })
    }

    /// Opens a session with a new handle on a connection.
    fn open_session(
        &mut self,
        index: ConnectionIndex,
        initiator: &str,
        isid: [u8; 6],
    ) -> Result<NonZeroU16, LoginRejection> {
        let handle = self
            .handles
            .next_free(|handle| self.connections.is_handle_in_use(handle))
            .ok_or(LoginRejection::OutOfResources)?;
        self.handles.mark_used(handle);
        let connection = self
            .connections
            .get_mut(index)
            .ok_or(LoginRejection::OutOfResources)?;
        connection.session = Some(Session {
            initiator: initiator.to_owned(),
            isid,
            handle,
        });
        Ok(handle)
    }

    /// Records that bytes were received on a connection.
    pub fn bytes_received(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connections.get_mut(index) {
            connection.timeouts.bytes_received(now);
        }
    }

    /// Records that bytes were written to a connection.
    pub fn bytes_sent(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connections.get_mut(index) {
            connection.timeouts.bytes_sent(now);
        }
    }

    /// Returns whether the host may read from a connection that has `unsent_bytes` bytes waiting to be written.
    #[must_use]
    pub fn may_read(&self, unsent_bytes: usize) -> bool {
        unsent_bytes < MAX_UNSENT_BYTES
    }

    /// Returns whether the host may read more from a connection before it handles the commands in `unhandled_bytes` bytes
    /// that it has read.
    #[must_use]
    pub fn may_read_ahead(&self, unhandled_bytes: usize) -> bool {
        unhandled_bytes < MAX_READ_AHEAD_BYTES
    }

    /// Returns the action that the timeouts of a connection require now.
    pub fn check_timeouts(
        &mut self,
        index: ConnectionIndex,
        now: Millis,
        state: ConnectionState,
    ) -> TimeoutAction {
        match self.connections.get_mut(index) {
            Some(connection) => connection.check_timeouts(now, state, self.state),
            None => TimeoutAction::Nothing,
        }
    }

    /// Starts to drain the host: logins are rejected from now on. Returns false if the host was already draining.
    pub fn start_draining(&mut self, now: Millis) -> bool {
        if self.is_draining() {
            return false;
        }
        self.state = HostState::Draining { since: now };
        true
    }

    /// Stops draining: logins are admitted again.
    pub fn stop_draining(&mut self) {
        self.state = HostState::Open;
    }

    /// Returns whether the host is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.is_draining()
    }

    /// Returns whether new commands are admitted. A draining host admits commands for [`LOGOUT_TIMEOUT`], in which its
    /// clients can log out; later commands could prevent it from ever stopping.
    #[must_use]
    pub fn admits_commands(&self, now: Millis) -> bool {
        !self.state.logout_timeout_passed(now)
    }

    /// Returns the time in which clients are requested to log out, in seconds.
    #[must_use]
    pub fn logout_seconds(&self) -> u16 {
        (LOGOUT_TIMEOUT / 1000) as u16
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }
}
