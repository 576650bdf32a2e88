//! The endpoint list as the discovery service knows it: entries, version, recent changes and updates to come.
use super::SimulatedPeers;
use crate::fleet::host_config::HostConfig;
use mallowseam_audit::trace::Micros;
use mallowseam_scenarios::fleet::InitialList;
use std::collections::VecDeque;
use std::fmt::Write;

/// Changes that the service remembers one by one; to hosts with an older version it sends a full snapshot.
const MAX_CHANGES: usize = 256;
/// Version at the start of a run.
const FIRST_VERSION: u64 = 40;
/// By how much the version of an initial list that is ahead is higher, and of a stale one lower.
const VERSIONS_AHEAD: u64 = 1_000;
const VERSIONS_STALE: u64 = 9;

/// Status of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeStatus {
    /// It accepts block I/Os.
    Ready,
    /// It finishes those in flight.
    Draining,
    /// It is not in the list.
    Removed,
}

impl NodeStatus {
    fn as_text(self) -> &'static str {
        match self {
            NodeStatus::Ready => "ready",
            NodeStatus::Draining => "draining",
            NodeStatus::Removed => "gone",
        }
    }
}

/// A node's entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedNode {
    /// The shard that it serves.
    pub shard: u32,
    /// Its status.
    pub status: NodeStatus,
    /// Start of its process, in microseconds of the run; 0: long ago.
    pub started_at: Micros,
}

impl ListedNode {
    /// Whether hosts may send to it.
    pub(super) fn accepting(&self) -> bool {
        self.status == NodeStatus::Ready
    }
}

/// An update that the service will learn of.
struct PendingUpdate {
    at: Micros,
    node: u32,
    entry: ListedNode,
}

/// A change in the list.
struct Change {
    version: u64,
    node: u32,
}

pub(super) struct EndpointList {
    nodes: Vec<ListedNode>,
    pub version: u64,
    changes: VecDeque<Change>,
    pending: VecDeque<PendingUpdate>,
}

impl EndpointList {
    pub fn new() -> Self {
        EndpointList {
            nodes: Vec::new(),
            version: FIRST_VERSION,
            changes: VecDeque::new(),
            pending: VecDeque::new(),
        }
    }

    /// Adds a node without a change of the version.
    pub fn add(&mut self, entry: ListedNode) {
        self.nodes.push(entry);
    }

    pub fn node(&self, node: u32) -> ListedNode {
        self.nodes[node as usize]
    }

    pub fn schedule(&mut self, at: Micros, node: u32, entry: ListedNode) {
        self.pending.push_back(PendingUpdate { at, node, entry });
    }

    /// Applies the next update that is due, and returns the node and its entry.
    pub fn apply_next(&mut self, now: Micros) -> Option<(u32, ListedNode)> {
        let PendingUpdate { node, entry, .. } =
            self.pending.pop_front_if(|update| update.at <= now)?;
        self.nodes[node as usize] = entry;
        self.version += 1;
        self.changes.push_back(Change {
            version: self.version,
            node,
        });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        Some((node, entry))
    }

    /// Nodes that are not removed.
    pub fn current_nodes(&self) -> Vec<u32> {
        (0..self.nodes.len() as u32)
            .filter(|n| self.node(*n).status != NodeStatus::Removed)
            .collect()
    }

    /// Nodes that changed since a version; none if that is not known.
    pub fn changed_since(&self, version: u64) -> Option<Vec<u32>> {
        let oldest = self
            .changes
            .front()
            .map_or(self.version, |change| change.version - 1);
        if !(oldest..=self.version).contains(&version) {
            return None;
        }
        let changed = self
            .changes
            .iter()
            .filter(|change| change.version > version);
        let mut nodes: Vec<u32> = changed.map(|change| change.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        Some(nodes)
    }
}

impl SimulatedPeers {
    /// A line of the list for one host. `full`: it is a full snapshot.
    pub(super) fn list_text(&self, host: u32, full: bool, version: u64, nodes: &[u32]) -> String {
        let mut out = format!("{{\"seq\":{version},\"whole\":{full},\"hosts\":[");
        for (i, node) in nodes.iter().enumerate() {
            let entry = self.endpoints.node(*node);
            let born_ms = match entry.started_at {
                0 => 0,
                started_at => self.start_unix_ms + (started_at / 1_000) as i64,
            };
            let (address, zone) = (self.addresses.node(host, *node), node % self.scenario.zones);
            let comma = if i > 0 { "," } else { "" };
            write!(
                out,
                "{comma}{{\"host\":\"node{node}\",\"dial\":\"{address}\",\"site\":\"z{zone}\",\"class\":\"m\",\
                 \"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{born_ms}}}",
                entry.shard,
                entry.status.as_text()
            )
            .expect("writing to a string succeeds");
        }
        out.push_str("]}\n");
        out
    }

    /// The list that a host is started with, as JSON.
    fn initial_list(&self, host: u32) -> String {
        let current = self.endpoints.version;
        let list = |version, nodes: &[u32]| self.list_text(host, true, version, nodes);
        match self.scenario.initial_list {
            InitialList::None => "null".to_owned(),
            InitialList::Current => list(current, &self.endpoints.current_nodes()),
            InitialList::Ahead => list(current + VERSIONS_AHEAD, &self.endpoints.current_nodes()),
            InitialList::Stale => {
                let nodes: Vec<u32> = self
                    .endpoints
                    .current_nodes()
                    .into_iter()
                    .filter(|n| n % 2 == 0)
                    .collect();
                // It names a node that is no more.
                list(current.saturating_sub(VERSIONS_STALE), &nodes)
                    .replace("node0\"", "node-of-old\"")
            }
        }
    }

    /// The configuration of a host that is started or reloaded now.
    pub(crate) fn host_config(&self, host: u32, list: u32, seed: u64) -> String {
        let config = HostConfig {
            scenario: &self.scenario,
            addresses: self.addresses,
            host,
            name_number: self.name_numbers[host as usize],
            list,
            seed,
            initial_list: &self.initial_list(host),
        };
        config.to_json()
    }
}
