//! NameInterner outside, small indices inside; each name is forgotten once its index is released.
use crate::endpoints::{Endpoint, Health, WatchEvent};
use crate::request::{BlockRequest, RequestId};
use crate::settings::PlatformSettings;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::interface::*;
use std::collections::HashMap;

/// Ticks in a millisecond.
const TICKS: Tick = 10;
/// Volumes known at a time: far more than any host serves. The scheduler keeps one for a while after its last
/// block I/O; a client that makes up ever new ones is turned away here.
const VOLUMES: usize = 4_096;

/// Why a block I/O gets no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternError {
    /// Its id is in hand already.
    DuplicateRequestId,
    /// There is no room for another volume.
    TooManyVolumes,
}

#[derive(Default)]
pub struct NameInterner {
    nodes: Interner<String>,
    volumes: Interner<u64>,
    keys: Interner<(u64, u64)>,
    /// Ids of the block I/Os in hand.
    open: HashMap<RequestId, BioId>,
}

impl NameInterner {
    /// The block I/O of a request at a place of its own. No client is waited for longer than the settings
    /// name for any I/O group: the rest of what it says it waits is no use to anyone.
    pub fn intern_request(
        &mut self,
        id: BioId,
        block: &BlockRequest,
        now: Tick,
        named: &PlatformSettings,
    ) -> Result<Bio, InternError> {
        if self.open.contains_key(&block.id) {
            return Err(InternError::DuplicateRequestId);
        }
        if self.volumes.len() >= VOLUMES && self.volumes.find(&block.volume).is_none() {
            return Err(InternError::TooManyVolumes);
        }
        self.open.insert(block.id, id);
        let wait = block.timeout_ms as Tick * TICKS;
        let wait = if named.longest_deadline > 0 { wait.min(named.longest_deadline) } else { wait };
        Ok(Bio {
            id,
            class: block.io_class,
            plan: block.plan,
            volume: VolumeId(self.volumes.intern(&block.volume)),
            key: Some(KeyId(self.keys.intern(&(block.volume, block.object)))),
            deadline: now + wait,
            units: block.units,
            shard: block.shard,
            hosts: block.host_count,
        })
    }

    pub fn release_request(&mut self, id: &RequestId) {
        self.open.remove(id);
    }

    pub fn release_key(&mut self, key: KeyId) {
        self.keys.release(key.0);
    }

    pub fn release_volume(&mut self, volume: VolumeId) {
        self.volumes.release(volume.0);
    }

    pub fn release_node(&mut self, node: NodeId) {
        self.nodes.release(node.0);
    }

    pub fn intern_node(&mut self, name: &String) -> NodeId {
        NodeId(self.nodes.intern(name))
    }

    pub fn find_node(&self, name: &String) -> Option<NodeId> {
        self.nodes.find(name).map(NodeId)
    }

    /// A node that has left by a name that is not in use is none of ours.
    fn known(&self, entry: &Endpoint) -> bool {
        entry.health != Health::Removed || self.nodes.find(&entry.name).is_some()
    }

    /// A line of the list as the scheduler hears it.
    pub fn intern_endpoints(
        &mut self,
        news: &WatchEvent,
        named: &PlatformSettings,
        into: &mut Vec<NodeEndpoint>,
    ) {
        into.clear();
        for entry in &news.endpoints {
            if !self.known(entry) {
                continue;
            }
            let node = self.intern_node(&entry.name);
            // Of a zone that the settings lack nothing is known, not even that two nodes are in the same one.
            let alone = named.zone_names.len() + node.0 as usize;
            let zone = named.zone_names.iter().position(|z| *z == entry.zone).unwrap_or(alone);
            into.push(NodeEndpoint {
                node,
                zone: zone as u32,
                shard: entry.shard,
                state: match entry.health {
                    Health::Ready => NodeState::Active,
                    Health::Draining => NodeState::Draining,
                    Health::Removed => NodeState::Removed,
                },
                started_at: entry.started_at_ms.max(0) * TICKS,
            });
        }
    }

    /// How many names are held: nodes, volumes, keys, block I/Os.
    pub fn counts(&self) -> [usize; 4] {
        [self.nodes.len(), self.volumes.len(), self.keys.len(), self.open.len()]
    }
}
