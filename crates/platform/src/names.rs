//! Names outside, small indices inside; each name is forgotten once its index is released.
use crate::list::{Entry, Health, News};
use crate::request::{Block, Id};
use crate::settings::Named;
use mallowseam_scheduler::door::Door;
use mallowseam_scheduler::host::*;
use std::collections::HashMap;

/// Ticks in a millisecond.
const TICKS: Tick = 10;

#[derive(Default)]
pub struct Names {
    nodes: Door<String>,
    volumes: Door<u64>,
    keys: Door<(u64, u64)>,
    /// Ids of the block I/Os in hand.
    open: HashMap<Id, BioId>,
}

impl Names {
    /// The block I/O of a request at a place of its own. None: its id is in hand already.
    pub fn take(&mut self, id: BioId, block: &Block, now: Tick) -> Option<Bio> {
        if self.open.contains_key(&block.id) {
            return None;
        }
        self.open.insert(block.id, id);
        Some(Bio {
            id,
            group: block.group,
            plan: block.plan,
            vol: VolId(self.volumes.enter(&block.volume)),
            key: Some(KeyId(self.keys.enter(&(block.volume, block.piece)))),
            hard_limit: now + block.wait as Tick * TICKS,
            units: block.units,
            shard: block.shard,
            hosts: block.hosts,
        })
    }

    pub fn release_bio(&mut self, id: &Id) {
        self.open.remove(id);
    }

    pub fn release_key(&mut self, key: KeyId) {
        self.keys.release(key.0);
    }

    pub fn release_volume(&mut self, vol: VolId) {
        self.volumes.release(vol.0);
    }

    pub fn release_node(&mut self, node: NodeId) {
        self.nodes.release(node.0);
    }

    pub fn node(&mut self, name: &String) -> NodeId {
        NodeId(self.nodes.enter(name))
    }

    pub fn find_node(&self, name: &String) -> Option<NodeId> {
        self.nodes.find(name).map(NodeId)
    }

    /// A node that has left by a name that is not in use is none of ours.
    fn known(&self, entry: &Entry) -> bool {
        entry.health != Health::Gone || self.nodes.find(&entry.name).is_some()
    }

    /// A line of the list as the scheduler hears it.
    pub fn listed(&mut self, news: &News, named: &Named, into: &mut Vec<Listed>) {
        into.clear();
        for entry in &news.entries {
            if !self.known(entry) {
                continue;
            }
            let zone = named.zones.iter().position(|z| *z == entry.site).unwrap_or(named.zones.len());
            into.push(Listed {
                node: self.node(&entry.name),
                zone: zone as u32,
                shard: entry.shard,
                state: match entry.health {
                    Health::Ready => NodeState::Active,
                    Health::Draining => NodeState::Leaving,
                    Health::Gone => NodeState::Left,
                },
                came_up: entry.born_ms.max(0) * TICKS,
            });
        }
    }

    /// How many names are held: nodes, volumes, keys, block I/Os.
    pub fn sizes(&self) -> [usize; 4] {
        [self.nodes.len(), self.volumes.len(), self.keys.len(), self.open.len()]
    }
}
