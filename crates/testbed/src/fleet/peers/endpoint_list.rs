//! Endpoint list of the discovery service: entries, version, recent changes and pending updates.
use super::SimulatedPeers;
use crate::fleet::host_config::HostConfig;
use mallowseam_audit::trace::Micros;
use mallowseam_scenarios::fleet::InitialList;
use std::collections::VecDeque;
use std::fmt::Write;

/// Maximum number of changes that the service keeps. A host with a version before the oldest of them gets a full
/// snapshot.
const MAX_CHANGES: usize = 256;
/// Version of the endpoint list at the start of a run.
const FIRST_VERSION: u64 = 40;
/// Number of versions by which an initial list that is ahead exceeds the current version.
const VERSIONS_AHEAD: u64 = 1_000;
/// Number of versions by which a stale initial list is behind the current version.
const VERSIONS_STALE: u64 = 9;

/// Status of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeStatus {
    /// The node accepts block I/Os.
    Ready,
    /// The node completes block I/Os in flight and accepts no new ones.
    Draining,
    /// The node is not in the endpoint list.
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

/// Entry of a node in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedNode {
    /// Shard that the node serves.
    pub shard: u32,
    /// Status of the node.
    pub status: NodeStatus,
    /// Start of the node's process, in microseconds since the start of the run; 0 if it started long before the run.
    pub started_at: Micros,
}

impl ListedNode {
    /// Returns whether hosts may send block I/Os to the node.
    pub(super) fn is_accepting(&self) -> bool {
        self.status == NodeStatus::Ready
    }
}

/// Update that has not reached the service yet.
struct PendingUpdate {
    at: Micros,
    node: u32,
    entry: ListedNode,
}

/// Applied change of the endpoint list.
struct Change {
    version: u64,
    node: u32,
}

/// Endpoint list with its version and history.
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

    /// Adds a node without changing the version.
    pub fn add(&mut self, entry: ListedNode) {
        self.nodes.push(entry);
    }

    pub fn node(&self, node: u32) -> ListedNode {
        self.nodes[node as usize]
    }

    /// Schedules an update of a node's entry.
    pub fn schedule(&mut self, at: Micros, node: u32, entry: ListedNode) {
        self.pending.push_back(PendingUpdate { at, node, entry });
    }

    /// Applies the next update that is due, and returns the node and its new entry.
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

    /// Returns the nodes that are not removed.
    pub fn current_nodes(&self) -> Vec<u32> {
        (0..self.nodes.len() as u32)
            .filter(|n| self.node(*n).status != NodeStatus::Removed)
            .collect()
    }

    /// Returns the nodes that changed since a version, or `None` if the kept changes do not reach back to it.
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
    /// Returns a line of the endpoint list for one host. `full` marks it as a full snapshot.
    pub(super) fn list_text(&self, host: u32, full: bool, version: u64, nodes: &[u32]) -> String {
        let mut out = format!("{{\"seq\":{version},\"whole\":{full},\"hosts\":[");
        for (i, node) in nodes.iter().enumerate() {
            let entry = self.endpoints.node(*node);
            let born_ms = match entry.started_at {
                0 => 0,
                started_at => self.start_unix_ms + (started_at / 1_000) as i64,
            };
            let address = self.addresses.node(host, *node);
            let zone = node % self.scenario.zones;
            let comma = if i > 0 { "," } else { "" };
            write!(
                out,
                "{comma}{{\"host\":\"node{node}\",\"dial\":\"{address}\",\"site\":\"z{zone}\",\"class\":\"m\",\
                 \"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{born_ms}}}",
                entry.shard,
                entry.status.as_text()
            )
            .expect("writing to a string does not fail");
        }
        out.push_str("]}\n");
        out
    }

    /// Returns the endpoint list that a host is started with, as JSON.
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
                // The stale list contains a node that no longer exists.
                list(current.saturating_sub(VERSIONS_STALE), &nodes)
                    .replace("node0\"", "node-of-old\"")
            }
        }
    }

    /// Returns the configuration of a host that is started or reloaded now.
    pub(crate) fn host_config(&self, host: u32, discovery_service: u32, seed: u64) -> String {
        let config = HostConfig {
            scenario: &self.scenario,
            addresses: self.addresses,
            host,
            name_number: self.name_numbers[host as usize],
            discovery_service,
            seed,
            initial_list: &self.initial_list(host),
        };
        config.to_json()
    }
}
