//! Interns the protocol's names as the scheduler's small indices. A name is dropped once its index is released.
use crate::endpoints::{Endpoint, Health, WatchEvent};
use crate::request::{BlockRequest, RequestId};
use crate::settings::PlatformSettings;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::interface::{
    Bio, BioId, KeyId, NodeEndpoint, NodeId, NodeState, Tick, VolumeId,
};
use std::collections::HashMap;
use thiserror::Error;

/// Ticks in a millisecond.
const TICKS_PER_MS: Tick = 10;
/// Upper bound of volumes known at a time: far more than any host serves. The scheduler keeps a volume for a while
/// after its last block I/O, so a client that invents ever new ones has to be stopped here.
const MAX_VOLUMES: usize = 4_096;

/// Why a request is not interned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InternError {
    /// A request with the same id is in flight.
    #[error("a request with this id is in flight")]
    DuplicateRequestId,
    /// As many volumes are known as this host can hold.
    #[error("too many volumes are known")]
    TooManyVolumes,
}

/// The piece of data that a request is about.
#[derive(Clone, PartialEq, Eq, Hash)]
struct DataKey {
    volume: u64,
    object: u64,
}

impl DataKey {
    fn of(request: &BlockRequest) -> DataKey {
        DataKey {
            volume: request.volume,
            object: request.object,
        }
    }
}

/// The names in use and their indices.
#[derive(Default)]
pub struct NameInterner {
    nodes: Interner<String>,
    volumes: Interner<u64>,
    keys: Interner<DataKey>,
    /// Requests in flight, by their ids.
    in_flight: HashMap<RequestId, BioId>,
}

impl NameInterner {
    /// A request as the scheduler's block I/O. Its deadline is the client's timeout, but no longer than the longest
    /// deadline of any I/O class: later responses are of no use to anyone.
    ///
    /// # Errors
    ///
    /// The request can't be taken on; nothing has changed.
    pub fn intern_request(
        &mut self,
        id: BioId,
        request: &BlockRequest,
        now: Tick,
        settings: &PlatformSettings,
    ) -> Result<Bio, InternError> {
        if self.in_flight.contains_key(&request.id) {
            return Err(InternError::DuplicateRequestId);
        }
        if self.volumes.len() >= MAX_VOLUMES && self.volumes.find(&request.volume).is_none() {
            return Err(InternError::TooManyVolumes);
        }
        self.in_flight.insert(request.id, id);
        Ok(Bio {
            id,
            class: request.io_class,
            plan: request.plan,
            volume: VolumeId(self.volumes.intern(&request.volume)),
            key: Some(KeyId(self.keys.intern(&DataKey::of(request)))),
            deadline: now + timeout(request, settings),
            units: request.units,
            shard: request.shard,
            hosts: request.host_count,
        })
    }

    /// Forgets a request that has been answered.
    pub fn release_request(&mut self, id: &RequestId) {
        self.in_flight.remove(id);
    }

    /// Forgets a data key.
    pub fn release_key(&mut self, key: KeyId) {
        self.keys.release(key.0);
    }

    /// Forgets a volume.
    pub fn release_volume(&mut self, volume: VolumeId) {
        self.volumes.release(volume.0);
    }

    /// Forgets a node.
    pub fn release_node(&mut self, node: NodeId) {
        self.nodes.release(node.0);
    }

    /// The index of a node, a new one if it has none.
    pub fn intern_node(&mut self, name: &String) -> NodeId {
        NodeId(self.nodes.intern(name))
    }

    /// The index of a node, if it has one.
    #[must_use]
    pub fn find_node(&self, name: &String) -> Option<NodeId> {
        self.nodes.find(name).map(NodeId)
    }

    /// The endpoints of an event as the scheduler's nodes, in `into`, which is cleared first. Removed endpoints that
    /// were never known are left out.
    pub fn intern_endpoints(
        &mut self,
        event: &WatchEvent,
        settings: &PlatformSettings,
        into: &mut Vec<NodeEndpoint>,
    ) {
        into.clear();
        for endpoint in &event.endpoints {
            if endpoint.health == Health::Removed && self.find_node(&endpoint.name).is_none() {
                continue;
            }
            let node = self.intern_node(&endpoint.name);
            into.push(NodeEndpoint {
                node,
                zone: zone_index(endpoint, node, settings),
                shard: endpoint.shard,
                state: match endpoint.health {
                    Health::Ready => NodeState::Active,
                    Health::Draining => NodeState::Draining,
                    Health::Removed => NodeState::Removed,
                },
                // The list has 0 where a start is not known.
                started_at: Some(endpoint.started_at_ms.max(0) * TICKS_PER_MS)
                    .filter(|time| *time > 0),
            });
        }
    }

    /// How many names are in use: nodes, volumes, data keys, requests in flight.
    #[must_use]
    pub fn counts(&self) -> [usize; 4] {
        [
            self.nodes.len(),
            self.volumes.len(),
            self.keys.len(),
            self.in_flight.len(),
        ]
    }
}

/// The client's timeout in ticks, the longest deadline at most; the settings have 0 where there is none.
fn timeout(request: &BlockRequest, settings: &PlatformSettings) -> Tick {
    let timeout = request.timeout_ms as Tick * TICKS_PER_MS;
    if settings.longest_deadline > 0 {
        timeout.min(settings.longest_deadline)
    } else {
        timeout
    }
}

/// The index of an endpoint's zone. An endpoint in a zone that the settings do not name gets a zone of its own: nothing
/// says that two such endpoints are in the same one.
fn zone_index(endpoint: &Endpoint, node: NodeId, settings: &PlatformSettings) -> u32 {
    let own = settings.zone_names.len() + node.0 as usize;
    settings
        .zone_names
        .iter()
        .position(|z| *z == endpoint.zone)
        .unwrap_or(own) as u32
}
