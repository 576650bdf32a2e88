//! Endpoint list as a host knows it: applies updates that are newer, and drops stale ones.
use crate::endpoint::{Endpoint, EndpointUpdate, ListVersion, UpdateKind};
use crate::wire::UpdateHead;
use std::collections::BTreeMap;
use std::num::NonZeroU64;

/// Outcome of an update.
pub(crate) enum Outcome {
    /// The update is not newer than the known list and was dropped.
    Dropped,
    /// The update does not follow the known version, so a version was missed.
    VersionMissed,
    /// The update was applied. Contains the update without endpoints of an older generation than the known ones.
    Applied(EndpointUpdate),
}

/// Latest version and endpoints that were received.
#[derive(Default)]
pub(crate) struct KnownList {
    epoch: u64,
    /// Known version. `None`: no update was received on this connection, so a full snapshot of any version is
    /// accepted.
    version: Option<NonZeroU64>,
    endpoints: BTreeMap<String, Endpoint>,
}

impl KnownList {
    /// Forgets the known version for a new connection, which begins with a full snapshot of any version. The endpoints
    /// remain known.
    pub(crate) fn forget_version(&mut self) {
        self.version = None;
    }

    /// Returns the known version, with number 0 if there is none.
    pub(crate) fn version(&self) -> ListVersion {
        ListVersion {
            epoch: self.epoch,
            version: self.version.map_or(0, NonZeroU64::get),
        }
    }

    /// Returns the known endpoints in order of their names.
    pub(crate) fn endpoints(&self) -> impl ExactSizeIterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Replaces the known endpoints. The known version is unchanged.
    pub(crate) fn restore(&mut self, endpoints: &[Endpoint]) {
        self.endpoints.clear();
        self.insert(endpoints);
    }

    /// Applies a complete update. An update that is not newer than the known version is dropped. An endpoint of an
    /// older generation than the known one is also dropped: that process has ended, whatever the version of the
    /// update.
    pub(crate) fn apply(&mut self, head: &UpdateHead, endpoints: Vec<Endpoint>) -> Outcome {
        let known = self.version.filter(|_| head.version.epoch == self.epoch);
        if known.is_some_and(|known| head.version.version <= known.get()) {
            return Outcome::Dropped;
        }
        let is_next = known.is_some_and(|known| known.get() + 1 == head.version.version);
        if head.kind == UpdateKind::Incremental && !is_next {
            return Outcome::VersionMissed;
        }
        self.epoch = head.version.epoch;
        self.version = NonZeroU64::new(head.version.version);
        let endpoints: Vec<Endpoint> = endpoints
            .into_iter()
            .filter(|endpoint| self.is_current(endpoint))
            .collect();
        self.insert(&endpoints);
        Outcome::Applied(EndpointUpdate {
            kind: head.kind,
            endpoints,
        })
    }

    fn is_current(&self, endpoint: &Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.name);
        known.is_none_or(|known| endpoint.generation >= known.generation)
    }

    fn insert(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.endpoints
                .insert(endpoint.name.clone(), endpoint.clone());
        }
    }
}
