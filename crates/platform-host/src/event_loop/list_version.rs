//! Decides by their versions which updates of the endpoint list are applied.
use mallowseam_platform::endpoints::WatchEvent;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Last version of the endpoint list received, with the discovery service that assigned it. Versions of different
/// services cannot be compared.
#[derive(Debug)]
pub(super) struct ListVersion {
    received: Option<u64>,
    service: SocketAddr,
}

/// Class of an update of the endpoint list, according to its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateVersion {
    /// The update is newer than the last version received, or a full snapshot. It is applied, and its version was
    /// recorded.
    Newer,
    /// The update is not newer than the last version received. It is ignored.
    Outdated,
    /// The update comes from the previously configured service. It is applied as changes, without its version.
    PreviousService,
    /// The update is older than the version that the watch asked for: the service has restarted with lower versions.
    /// The next watch requests a full snapshot.
    Restarted,
}

impl ListVersion {
    /// Creates the state for a service that has sent no version yet.
    pub(super) fn new(service: SocketAddr) -> Self {
        ListVersion {
            received: None,
            service,
        }
    }

    /// Records the version of the cached endpoint list with which the host starts.
    pub(super) fn use_cached(&mut self, version: u64) {
        self.received = Some(version);
    }

    /// Returns the version after which a watch on `service` asks for changes, or `None` if it asks for a full snapshot.
    pub(super) fn since(&mut self, service: SocketAddr) -> Option<u64> {
        if service != self.service {
            self.service = service;
            self.received = None;
        }
        self.received
    }

    /// Classifies an update received on a watch on `service` that has asked for changes after the version `since`.
    pub(super) fn on_update(
        &mut self,
        update: &WatchEvent,
        service: SocketAddr,
        since: Option<u64>,
    ) -> UpdateVersion {
        if service != self.service {
            return UpdateVersion::PreviousService;
        }
        // A full snapshot is applied whatever its version: it was requested after every earlier update was received.
        if !update.full_snapshot {
            if since.is_some_and(|since| update.version < since) {
                self.received = None;
                return UpdateVersion::Restarted;
            }
            if self
                .received
                .is_some_and(|received| update.version <= received)
            {
                return UpdateVersion::Outdated;
            }
        }
        self.received = Some(update.version);
        UpdateVersion::Newer
    }
}
