//! The list as a host knows it: which updates are newer, and the endpoints that they lead to.
use crate::endpoint::{Endpoint, EndpointUpdate, ListVersion, UpdateKind};
use crate::wire::UpdateHead;
use std::collections::BTreeMap;
use std::num::NonZeroU64;

/// What an update leads to.
pub(crate) enum Outcome {
    /// It is not newer than what is known.
    Dropped,
    /// A version was missed before it.
    VersionMissed,
    /// It was applied. Endpoints of an older generation than the known ones are left out.
    Applied(EndpointUpdate),
}

/// The last version and endpoints that were received.
#[derive(Default)]
pub(crate) struct KnownList {
    epoch: u64,
    /// None: nothing was received on this connection, so that a full snapshot of any version is accepted.
    version: Option<NonZeroU64>,
    endpoints: BTreeMap<String, Endpoint>,
}

impl KnownList {
    /// A new connection opens with a full snapshot, which needs no version before it. The endpoints stay known.
    pub(crate) fn forget_version(&mut self) {
        self.version = None;
    }

    /// The version as it is shown and sent: 0 for none.
    pub(crate) fn version(&self) -> ListVersion {
        ListVersion {
            epoch: self.epoch,
            version: self.version.map_or(0, NonZeroU64::get),
        }
    }

    /// The known endpoints, by name.
    pub(crate) fn endpoints(&self) -> impl ExactSizeIterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Knows these endpoints and no others, of no version.
    pub(crate) fn restore(&mut self, endpoints: &[Endpoint]) {
        self.endpoints.clear();
        self.insert(endpoints);
    }

    /// Applies a complete update. A version that is not newer than the last one is dropped, and so is an endpoint of
    /// an older generation than the known one: that process has ended, whatever the version of the update.
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
