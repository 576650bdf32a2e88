//! Interning of the protocol's names as the scheduler's small indices. A name is dropped when its index is released.
use crate::endpoints::{Endpoint, Health, WatchEvent};
use crate::request::{BlockRequest, RequestId};
use crate::settings::PlatformSettings;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::interface::{
    Bio, BioId, KeyId, NodeEndpoint, NodeId, NodeState, Tick, VolumeId,
};
use std::collections::HashMap;
use thiserror::Error;

/// Number of ticks in a millisecond.
const TICKS_PER_MS: Tick = 10;
/// Maximum number of volumes that are known at a time; far more than any host serves. The scheduler keeps a volume for
/// a while after its last block I/O, so clients that name ever new volumes must be limited here.
const MAX_VOLUMES: usize = 4_096;

/// Reason for not interning a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InternError {
    /// A request with the same id is in flight.
    #[error("a request with this id is in flight")]
    DuplicateRequestId,
    /// The host already knows the maximum number of volumes.
    #[error("too many volumes are known")]
    TooManyVolumes,
}

/// Key of the data that a request reads or writes.
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

/// Names in use and their indices.
#[derive(Default)]
pub struct NameInterner {
    nodes: Interner<String>,
    volumes: Interner<u64>,
    keys: Interner<DataKey>,
    /// Block I/Os in flight by request id.
    in_flight: HashMap<RequestId, BioId>,
}

impl NameInterner {
    /// Returns a request as the scheduler's block I/O. Its deadline is the client's timeout, limited to the longest
    /// deadline of any I/O class, since nobody can use a later response.
    ///
    /// # Errors
    ///
    /// Returns an error if a request with the same id is in flight or if there are too many volumes. The interner is
    /// unchanged.
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

    /// Removes a request that was answered.
    pub fn release_request(&mut self, id: &RequestId) {
        self.in_flight.remove(id);
    }

    /// Releases the index of a data key.
    pub fn release_key(&mut self, key: KeyId) {
        self.keys.release(key.0);
    }

    /// Releases the index of a volume.
    pub fn release_volume(&mut self, volume: VolumeId) {
        self.volumes.release(volume.0);
    }

    /// Releases the index of a node.
    pub fn release_node(&mut self, node: NodeId) {
        self.nodes.release(node.0);
    }

    /// Returns the index of a node, which is a new one for an unknown name.
    pub fn intern_node(&mut self, name: &String) -> NodeId {
        NodeId(self.nodes.intern(name))
    }

    /// Returns the index of a node, if the name is known.
    #[must_use]
    pub fn find_node(&self, name: &String) -> Option<NodeId> {
        self.nodes.find(name).map(NodeId)
    }

    /// Converts the endpoints of an event to the scheduler's nodes in `nodes`, which is cleared first. Removed
    /// endpoints that were never known are skipped.
    pub fn intern_endpoints(
        &mut self,
        event: &WatchEvent,
        settings: &PlatformSettings,
        nodes: &mut Vec<NodeEndpoint>,
    ) {
        nodes.clear();
        for endpoint in &event.endpoints {
            if endpoint.health == Health::Removed && self.find_node(&endpoint.name).is_none() {
                continue;
            }
            let node = self.intern_node(&endpoint.name);
            nodes.push(NodeEndpoint {
                node,
                zone: zone_index(endpoint, node, settings),
                shard: endpoint.shard,
                state: match endpoint.health {
                    Health::Ready => NodeState::Active,
                    Health::Draining => NodeState::Draining,
                    Health::Removed => NodeState::Removed,
                },
                // 0 in the list: the start time is unknown.
                started_at: Some(endpoint.started_at_ms.max(0) * TICKS_PER_MS)
                    .filter(|time| *time > 0),
            });
        }
    }

    /// Returns the numbers of nodes, volumes, data keys and requests in flight, in this order.
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

/// Returns the client's timeout in ticks, limited to the longest deadline. The settings have a longest deadline of 0
/// if there is no I/O class.
fn timeout(request: &BlockRequest, settings: &PlatformSettings) -> Tick {
    let timeout = request.timeout_ms as Tick * TICKS_PER_MS;
    if settings.longest_deadline > 0 {
        timeout.min(settings.longest_deadline)
    } else {
        timeout
    }
}

/// Returns the index of an endpoint's zone. An endpoint whose zone is not in the settings gets a separate zone, since
/// it is unknown whether two such endpoints are in the same zone.
fn zone_index(endpoint: &Endpoint, node: NodeId, settings: &PlatformSettings) -> u32 {
    let separate_zone = settings.zone_names.len() + node.0 as usize;
    settings
        .zone_names
        .iter()
        .position(|z| *z == endpoint.zone)
        .unwrap_or(separate_zone) as u32
}
