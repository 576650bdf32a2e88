//! Names outside, small indices inside; each name is forgotten once its index is released.
use crate::list::{Entry, Health, News};
use crate::request::{Block, Id};
use crate::settings::Named;
use mallowseam_scheduler::door::Door;
use mallowseam_scheduler::host::*;
use std::collections::HashMap;

/// Ticks in a millisecond.
const TICKS: Tick = 10;
/// Volumes known at a time: far more than any host serves. The scheduler keeps one for a while after its last
/// block I/O; a client that makes up ever new ones is turned away here.
const VOLUMES: usize = 4_096;

/// Why a block I/O gets no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shut {
    /// Its id is in hand already.
    InHand,
    /// There is no room for another volume.
    Full,
}

#[derive(Default)]
pub struct Names {
    nodes: Door<String>,
    volumes: Door<u64>,
    keys: Door<(u64, u64)>,
    /// Ids of the block I/Os in hand.
    open: HashMap<Id, BioId>,
}

impl Names {
    /// The block I/O of a request at a place of its own. No client is waited for longer than the settings
    /// name for any I/O group: the rest of what it says it waits is no use to anyone.
    pub fn take(&mut self, id: BioId, block: &Block, now: Tick, named: &Named) -> Result<Bio, Shut> {
        if self.open.contains_key(&block.id) {
            return Err(Shut::InHand);
        }
        if self.volumes.len() >= VOLUMES && self.volumes.find(&block.volume).is_none() {
            return Err(Shut::Full);
        }
        self.open.insert(block.id, id);
        let wait = block.wait as Tick * TICKS;
        let wait = if named.longest > 0 { wait.min(named.longest) } else { wait };
        Ok(Bio {
            id,
            group: block.group,
            plan: block.plan,
            vol: VolId(self.volumes.enter(&block.volume)),
            key: Some(KeyId(self.keys.enter(&(block.volume, block.piece)))),
            hard_limit: now + wait,
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
            let node = self.node(&entry.name);
            // Of a zone that the settings lack nothing is known, not even that two nodes are in the same one.
            let alone = named.zones.len() + node.0 as usize;
            let zone = named.zones.iter().position(|z| *z == entry.site).unwrap_or(alone);
            into.push(Listed {
                node,
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
