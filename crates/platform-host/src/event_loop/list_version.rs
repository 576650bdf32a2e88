//! Which updates of the endpoint list are applied, by their versions.
use mallowseam_platform::endpoints::WatchEvent;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// The last version of the endpoint list that was received, and the service that it belongs to: versions of two services
/// do not compare.
#[derive(Debug)]
pub(super) struct ListVersion {
    received: Option<u64>,
    service: SocketAddr,
}

/// What an update is by its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateVersion {
    /// Newer than what was received, or a full snapshot: it is applied, and its version was recorded.
    Newer,
    /// Not newer than what was received: it is ignored.
    Outdated,
    /// Of the service that was asked before: it is applied as changes, without its version.
    PreviousService,
    /// Older than what the watch asked for: the service has restarted with lower versions. The next watch requests a
    /// full snapshot.
    Restarted,
}

impl ListVersion {
    /// No version of a service yet.
    pub(super) fn new(service: SocketAddr) -> Self {
        ListVersion {
            received: None,
            service,
        }
    }

    /// The host starts with a cached list of this version.
    pub(super) fn use_cached(&mut self, version: u64) {
        self.received = Some(version);
    }

    /// The version after which a watch on a service asks for changes; none: it asks for a full snapshot.
    pub(super) fn since(&mut self, service: SocketAddr) -> Option<u64> {
        if service != self.service {
            self.service = service;
            self.received = None;
        }
        self.received
    }

    /// Classifies an update of a watch on `service` that has asked for changes after the version `since`.
    pub(super) fn on_update(
        &mut self,
        update: &WatchEvent,
        service: SocketAddr,
        since: Option<u64>,
    ) -> UpdateVersion {
        if service != self.service {
            return UpdateVersion::PreviousService;
        }
        // A full snapshot is applied whatever its version: it was requested after everything that was received before.
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
