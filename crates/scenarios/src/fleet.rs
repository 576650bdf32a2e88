//! A scenario: what a run consists of, and the faults of its schedule. `docs/cold-start.md` describes the scripts that
//! scenarios are read from.
mod arguments;
mod audit_input;
mod faults;
mod parse;

use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;
use mallowseam_load::client_load::LoadProfile;
use mallowseam_models::discovery_queue::ServiceBehavior;
use mallowseam_stand_ins::links::{LinkFault, PeerSet};
use mallowseam_stand_ins::simulated_node::NodeLimits;

pub use parse::parse;

/// The endpoint list that hosts start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// None.
    None,
    /// The current one.
    Current,
    /// An old one: half of its nodes have been replaced since.
    Stale,
    /// One of a version that the service has not reached.
    Ahead,
}

/// All that a run consists of. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the script.
    pub name: String,
    /// Duration of the run.
    pub duration: Micros,
    /// Number of hosts.
    pub hosts: u32,
    /// The list that they start with.
    pub initial_list: InitialList,
    /// Number of zones; hosts and nodes are assigned to them round-robin.
    pub zones: u32,
    /// Number of nodes and of shards.
    pub nodes: u32,
    /// Speed and cold start of a node.
    pub node_model: ServiceModel,
    /// Limits of a node.
    pub node_limits: NodeLimits,
    /// Nodes start when hosts do, cold.
    pub nodes_start_cold: bool,
    /// What clients do.
    pub load: LoadProfile,
    /// Time that a poll takes at the discovery service.
    pub service_time: Micros,
    /// Time after which a queued poll is rejected.
    pub queue_timeout: Micros,
    /// Time until the discovery service learns of a node's change.
    pub discovery_lag: Micros,
    /// Memory limit of a host in megabytes.
    pub memory_mb: u32,
    /// Limit on a host's file descriptors.
    pub max_descriptors: u32,
    /// Whether hosts keep a membership table, and how.
    pub membership: Option<MembershipScenario>,
    /// The faults, by time.
    pub faults: Vec<ScheduledFault>,
}

/// How hosts keep a membership table. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipScenario {
    /// Protocol period.
    pub period: Micros,
    /// The first so many hosts are seeds.
    pub seeds: u32,
    /// Retention time of unreachable members.
    pub retention: Micros,
    /// Hosts that take part.
    pub participants: IndexRange,
}

/// A fault, or its end, at a time of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// What is done then.
    pub action: FaultAction,
}

/// Indexes of hosts or nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexRange {
    /// The first one.
    pub start: u32,
    /// The one after the last.
    pub end: u32,
}

impl IndexRange {
    /// Every index.
    pub const ALL: IndexRange = IndexRange {
        start: 0,
        end: u32::MAX,
    };

    /// Whether it contains an index.
    pub fn contains(self, index: u32) -> bool {
        (self.start..self.end).contains(&index)
    }

    /// The indexes below `count`.
    pub fn below(self, count: u32) -> std::ops::Range<u32> {
        self.start.min(count)..self.end.min(count)
    }
}

/// What a schedule does at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// SIGKILL to hosts.
    KillHosts(IndexRange),
    /// Starts hosts.
    StartHosts(IndexRange),
    /// SIGTERM to hosts, and SIGKILL as on the platform.
    TerminateHosts(IndexRange),
    /// SIGSTOP to hosts.
    PauseHosts(IndexRange),
    /// SIGCONT to hosts.
    ResumeHosts(IndexRange),
    /// SIGHUP to hosts with a configuration that names the other discovery service.
    RedirectHosts(IndexRange),
    /// Stops nodes.
    StopNodes(IndexRange),
    /// Starts nodes, cold.
    StartNodes(IndexRange),
    /// Makes nodes slower by a factor.
    SlowNodes(IndexRange, f64),
    /// Starts another node of the same shard, cold, and drains these.
    ReplaceNodes(IndexRange),
    /// Removes drained nodes.
    RemoveNodes(IndexRange),
    /// Changes how the discovery service behaves.
    SetDiscoveryBehavior(ServiceBehavior),
    /// Open watches of these hosts stay open and send nothing any more.
    StallWatches(IndexRange),
    /// Makes polls take longer by a factor.
    SlowDiscovery(f64),
    /// Sets the fault of links, or heals them.
    SetLink {
        /// Senders.
        from: PeerSet,
        /// Receivers.
        to: PeerSet,
        /// The fault; the default one heals.
        fault: LinkFault,
    },
    /// Multiplies the usual rate of clients.
    ScaleLoad(f64),
}

/// Hosts to a node of a scaled scenario.
const HOSTS_PER_NODE: u32 = 12;
/// Bounds of the nodes of a scaled scenario: each host reaches each node at an address of its own, and one process
/// holds them all.
const MIN_SCALED_NODES: u32 = 4;
const MAX_SCALED_NODES: u32 = 24;
/// Volumes to a host, at least.
const VOLUMES_PER_HOST: u32 = 2;

impl Scenario {
    /// The same scenario for so many hosts, with nodes and clients in proportion as far as one machine can play them.
    #[must_use]
    pub fn scaled(mut self, hosts: u32) -> Scenario {
        let nodes_before = f64::from(self.nodes);
        self.nodes = (hosts / HOSTS_PER_NODE).clamp(MIN_SCALED_NODES, MAX_SCALED_NODES);
        self.load.operations_per_second *= f64::from(self.nodes) / nodes_before;
        self.hosts = hosts;
        self.load.volumes = VOLUMES_PER_HOST * hosts;
        self
    }

    /// Whether a host takes part in the membership protocol.
    pub fn has_membership(&self, host: u32) -> bool {
        self.membership
            .is_some_and(|m| m.participants.contains(host))
    }

    /// How many polls may wait: what the service handles in about a second.
    pub fn max_queued_polls(&self) -> u32 {
        (1_000_000 / self.service_time.max(1)).max(1) as u32
    }
}
