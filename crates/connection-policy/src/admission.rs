//! Admission of client sessions: which logins are admitted, when a connection is closed, and how a host drains.
//!
//! - `connections`: the open connections by index.
//! - `session`: sessions and their handles.
//! - `timeouts`: the timeouts of a connection, and its pings.
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

/// Bytes that wait to be written to a client from which on nothing more is read from it: a few of its longest reads.
/// Its commands in flight are bounded by its command window.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
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

/// Admits connections and logins, and watches over the timeouts of each connection.
pub struct AdmissionController {
    target: String,
    max_connections: usize,
    connections: Connections,
    handles: SessionHandles,
    state: HostState,
}

impl AdmissionController {
    /// `target`: the name that clients must request. `max_connections`: how many are open at once at most.
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

    /// Whether an accepted connection is admitted. False: there are too many, and the caller closes it at once.
    #[must_use]
    pub fn admit_connection(&mut self, index: ConnectionIndex, now: Millis) -> bool {
        if self.connections.count() >= self.max_connections {
            return false;
        }
        self.connections.insert(index, now);
        true
    }

    /// A connection was closed; its index is free.
    pub fn connection_closed(&mut self, index: ConnectionIndex) {
        self.connections.remove(index);
    }

    /// Decides on a login. `target` is absent in a discovery session. `handle` is the TSIH of the login request as
    /// it is on the wire: 0 requests a new session, and another value one to continue. Sessions end with their
    /// connection, so there never is one.
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
        // A login from the same initiator port ends its old session (RFC 7143, 6.3.5), also where the old connection
        // still seems to be alive.
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

    /// Gives a connection a session with a handle of its own.
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
        self.handles.taken(handle);
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

    /// Bytes were received on a connection.
    pub fn bytes_received(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connections.get_mut(index) {
            connection.timeouts.bytes_received(now);
        }
    }

    /// Bytes were written to a connection.
    pub fn bytes_sent(&mut self, index: ConnectionIndex, now: Millis) {
        if let Some(connection) = self.connections.get_mut(index) {
            connection.timeouts.bytes_sent(now);
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
        match self.connections.get_mut(index) {
            Some(connection) => connection.check_timeouts(now, state, self.state),
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
        self.state.is_draining()
    }

    /// Whether new commands are admitted. A draining host admits them for [`LOGOUT_TIMEOUT`], while its
    /// clients have time to log out; later ones could keep it from ever stopping.
    #[must_use]
    pub fn admits_commands(&self, now: Millis) -> bool {
        !self.state.logout_timeout_passed(now)
    }

    /// Seconds within which clients are asked to log out.
    #[must_use]
    pub fn logout_seconds(&self) -> u16 {
        (LOGOUT_TIMEOUT / 1000) as u16
    }

    /// Open connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }
}
