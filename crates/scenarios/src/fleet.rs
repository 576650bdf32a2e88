//! Scenarios for a fleet of hosts: the parts of a run, and the schedule of its faults. `docs/cold-start.md` describes
//! the scripts that they are read from.
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

/// Endpoint list that hosts start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// No list.
    None,
    /// The current list.
    Current,
    /// A stale list: half of its nodes have been replaced since.
    Stale,
    /// A list with a higher version than that of the service.
    Ahead,
}

/// Parts of a run, with its faults. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the script.
    pub name: String,
    /// Duration of the run.
    pub duration: Micros,
    /// Number of hosts.
    pub hosts: u32,
    /// Endpoint list that hosts start with.
    pub initial_list: InitialList,
    /// Number of zones; hosts and nodes are assigned to them round-robin.
    pub zones: u32,
    /// Number of nodes, which is also the number of shards.
    pub nodes: u32,
    /// Service model of a node.
    pub node_model: ServiceModel,
    /// Limits of a node beyond its service model.
    pub node_limits: NodeLimits,
    /// Whether nodes start cold together with the hosts.
    pub nodes_start_cold: bool,
    /// Behaviour of the clients.
    pub load: LoadProfile,
    /// Service time of a poll at the discovery service.
    pub service_time: Micros,
    /// Time after which a queued poll is rejected.
    pub queue_timeout: Micros,
    /// Time until the discovery service learns of a node's change.
    pub discovery_lag: Micros,
    /// Memory limit of a host, in megabytes.
    pub memory_mb: u32,
    /// Limit on a host's file descriptors.
    pub max_descriptors: u32,
    /// Membership protocol of the hosts; none if hosts keep no membership table.
    pub membership: Option<MembershipScenario>,
    /// Faults, in order of time.
    pub faults: Vec<ScheduledFault>,
}

/// Parameters of the membership protocol. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipScenario {
    /// Protocol period.
    pub period: Micros,
    /// Number of seeds: the hosts with the lowest indexes.
    pub seeds: u32,
    /// Retention time of unreachable members.
    pub retention: Micros,
    /// Hosts that take part in the protocol.
    pub participants: IndexRange,
}

/// Begin or end of a fault, with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// Action that begins or ends the fault.
    pub action: FaultAction,
}

/// Range of indexes of hosts or nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexRange {
    /// First index.
    pub start: u32,
    /// Index after the last one.
    pub end: u32,
}

impl IndexRange {
    /// Range of all indexes.
    pub const ALL: IndexRange = IndexRange {
        start: 0,
        end: u32::MAX,
    };

    /// Returns whether the range contains an index.
    pub fn contains(self, index: u32) -> bool {
        (self.start..self.end).contains(&index)
    }

    /// Returns the indexes of the range that are below `count`.
    pub fn below(self, count: u32) -> std::ops::Range<u32> {
        self.start.min(count)..self.end.min(count)
    }
}

/// Action of a fault schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Sends SIGKILL to hosts.
    KillHosts(IndexRange),
    /// Starts hosts.
    StartHosts(IndexRange),
    /// Sends SIGTERM to hosts, and SIGKILL after a delay as on the platform.
    TerminateHosts(IndexRange),
    /// Sends SIGSTOP to hosts.
    PauseHosts(IndexRange),
    /// Sends SIGCONT to hosts.
    ResumeHosts(IndexRange),
    /// Sends SIGHUP to hosts, with a configuration that names the other discovery service.
    RedirectHosts(IndexRange),
    /// Stops nodes.
    StopNodes(IndexRange),
    /// Starts nodes, cold.
    StartNodes(IndexRange),
    /// Makes nodes slower by a factor.
    SlowNodes(IndexRange, f64),
    /// Drains nodes, and starts another node of the same shard, cold, for each of them.
    ReplaceNodes(IndexRange),
    /// Removes drained nodes.
    RemoveNodes(IndexRange),
    /// Sets the behaviour of the discovery service.
    SetDiscoveryBehavior(ServiceBehavior),
    /// Makes the open watches of hosts stay open without sending anything.
    StallWatches(IndexRange),
    /// Makes polls take longer by a factor.
    SlowDiscovery(f64),
    /// Sets the fault of links, or heals them.
    SetLink {
        /// Peers that send.
        from: PeerSet,
        /// Peers that receive.
        to: PeerSet,
        /// Fault to set; the default fault heals the links.
        fault: LinkFault,
    },
    /// Sets the rate of clients to this multiple of their usual rate.
    ScaleLoad(f64),
}

/// Number of hosts per node of a scaled scenario.
const HOSTS_PER_NODE: u32 = 12;
/// Minimum number of nodes of a scaled scenario.
const MIN_SCALED_NODES: u32 = 4;
/// Maximum number of nodes of a scaled scenario. Each host reaches each node at an address of its own, and one process
/// holds all these sockets.
const MAX_SCALED_NODES: u32 = 24;
/// Minimum number of volumes per host.
const VOLUMES_PER_HOST: u32 = 2;

impl Scenario {
    /// Returns the scenario for another number of hosts, with nodes and clients in proportion as far as one machine can
    /// run them.
    #[must_use]
    pub fn scaled(mut self, hosts: u32) -> Scenario {
        let nodes_before = f64::from(self.nodes);
        self.nodes = (hosts / HOSTS_PER_NODE).clamp(MIN_SCALED_NODES, MAX_SCALED_NODES);
        self.load.operations_per_second *= f64::from(self.nodes) / nodes_before;
        self.hosts = hosts;
        self.load.volumes = VOLUMES_PER_HOST * hosts;
        self
    }

    /// Returns whether a host takes part in the membership protocol.
    pub fn has_membership(&self, host: u32) -> bool {
        self.membership
            .is_some_and(|m| m.participants.contains(host))
    }

    /// Returns the maximum number of waiting polls: as many as the service handles in about a second.
    pub fn max_queued_polls(&self) -> u32 {
        (1_000_000 / self.service_time.max(1)).max(1) as u32
    }
}
