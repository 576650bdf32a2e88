//! Table of a host's open client connections.
use super::ConnectionIndex;
use super::draining::HostState;
use super::session::Session;
use super::timeouts::{ConnectionState, ConnectionTimeouts, TimeoutAction};
use crate::Millis;
use std::num::NonZeroU16;

/// State of one client connection.
pub(super) struct Connection {
    /// Session of the connection. `None`: the login is not finished.
    pub(super) session: Option<Session>,
    pub(super) timeouts: ConnectionTimeouts,
}

impl Connection {
    /// Returns the action that the connection's timeouts require now.
    pub(super) fn check_timeouts(
        &mut self,
        now: Millis,
        state: ConnectionState,
        host: HostState,
    ) -> TimeoutAction {
        if state.unsent_bytes == 0 {
            self.timeouts.nothing_unsent(now);
        }
        if self.session.is_some() {
            self.timeouts.check_session(now, state, host)
        } else {
            self.timeouts.check_login(now, host)
        }
    }
}

/// Connection whose login is not finished.
pub(super) struct PendingLogin {
    pub(super) index: ConnectionIndex,
    /// Time at which the connection was opened.
    pub(super) opened: Millis,
}

/// Open connections by index.
#[derive(Default)]
pub(super) struct Connections {
    slots: Vec<Option<Connection>>,
    /// Number of slots that hold a connection.
    count: usize,
}

impl Connections {
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Adds a connection that was opened at `now`. Replaces the connection that had the index, if any.
    pub(super) fn insert(&mut self, index: ConnectionIndex, now: Millis) {
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        let connection = Connection {
            session: None,
            timeouts: ConnectionTimeouts::new(now),
        };
        if self.slots[index].replace(connection).is_none() {
            self.count += 1;
        }
    }

    pub(super) fn remove(&mut self, index: ConnectionIndex) {
        let slot = self.slots.get_mut(index);
        if slot.and_then(Option::take).is_some() {
            self.count -= 1;
        }
    }

    pub(super) fn get_mut(&mut self, index: ConnectionIndex) -> Option<&mut Connection> {
        self.slots.get_mut(index)?.as_mut()
    }

    /// Returns the connection that has been without a session for the longest time.
    pub(super) fn oldest_without_session(&self) -> Option<PendingLogin> {
        let slots = self.slots.iter().enumerate();
        let pending = slots.filter_map(|(index, slot)| {
            let connection = slot.as_ref().filter(|slot| slot.session.is_none())?;
            Some(PendingLogin {
                index,
                opened: connection.timeouts.opened(),
            })
        });
        pending.min_by_key(|login| login.opened)
    }

    /// Returns the first connection other than `index` that has a session of the given initiator port.
    pub(super) fn other_session_of(
        &self,
        index: ConnectionIndex,
        initiator: &str,
        isid: [u8; 6],
    ) -> Option<ConnectionIndex> {
        self.sessions()
            .find(|(other, session)| *other != index && session.belongs_to(initiator, isid))
            .map(|(other, _)| other)
    }

    pub(super) fn is_handle_in_use(&self, handle: NonZeroU16) -> bool {
        self.sessions().any(|(_, session)| session.handle == handle)
    }

    fn sessions(&self) -> impl Iterator<Item = (ConnectionIndex, &Session)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((index, slot.as_ref()?.session.as_ref()?)))
    }
}
