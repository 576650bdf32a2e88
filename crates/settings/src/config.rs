//! Contents of a valid configuration. Durations are in microseconds, sizes in bytes, rates in units per second, and
//! ratios from 0 to 1. Sections refer to each other by index.
use mallowseam_fleet::config::FleetConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// Settings of this host.
    pub host: Host,
    /// Settings that all hosts have in common.
    pub fleet: Fleet,
    /// Plans that volumes are assigned to.
    pub plans: Vec<Plan>,
    /// I/O classes that block I/Os belong to.
    pub io_classes: Vec<IoClass>,
    /// Volumes that the host serves.
    pub volumes: Vec<Volume>,
    /// Storage nodes.
    pub nodes: Vec<Node>,
    /// Settings of the snapshot catalog.
    pub catalog: Option<Catalog>,
    /// Settings of the plan service, which runs in a process of its own.
    pub plan_service: Option<PlanService>,
}

/// The service that distributes plans to hosts: section `tariffs`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanService {
    /// Address on which the service listens for hosts.
    pub listen: Option<SocketAddr>,
    /// Path of the change log.
    pub store_path: PathBuf,
    /// Path of the service's control socket.
    pub control_socket: Option<PathBuf>,
}

/// The catalog of snapshots and clones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Address on which the catalog listens for hosts.
    pub listen: Option<SocketAddr>,
    /// Path of the catalog's store.
    pub store_path: PathBuf,
    /// Path of the catalog's control socket.
    pub control_socket: Option<PathBuf>,
    /// Size of an extent of a mapped volume, in blocks: the amount of data that is copied on a first write.
    pub extent_blocks: u64,
    /// Index of the I/O class of copies.
    pub copy_class: usize,
}

/// Settings of this host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address on which the host listens for clients.
    pub listen: Option<SocketAddr>,
    /// iSCSI target name that clients log in to.
    pub target: String,
    /// Path of the host's control socket.
    pub control_socket: Option<PathBuf>,
    /// Address of the endpoint list service; if none, all nodes of the configuration are used as ready.
    pub endpoint_service: Option<SocketAddr>,
    /// Path at which the endpoint list is cached for the next start.
    pub endpoint_cache_path: Option<PathBuf>,
    /// Address of the plan service, whose plans replace those of the configuration.
    pub plan_service: Option<SocketAddr>,
    /// Path at which the plans of the plan service are cached, for a start while the service is unreachable.
    pub plan_cache_path: Option<PathBuf>,
    /// Maximum number of commands in flight on one connection.
    pub command_window: u32,
    /// Maximum number of client connections.
    pub max_connections: u32,
    /// Maximum size of a client's read or write, in bytes.
    pub max_transfer_bytes: u64,
    /// Memory for the data of clients, in bytes, if the configuration states it.
    pub client_memory_bytes: Option<u64>,
    /// Whether to ask clients and nodes for CRC32C digests of headers.
    pub header_digest: bool,
    /// Whether to ask clients and nodes for CRC32C digests of data.
    pub data_digest: bool,
    /// Seed of the random numbers; if none, the system provides it.
    pub seed: Option<u64>,
    /// Settings of the fleet membership; none if the host is not a member.
    pub fleet: Option<FleetConfig>,
}

/// Settings that all hosts have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Number of hosts that share the nodes.
    pub hosts: u32,
    /// Size of one unit, in bytes.
    pub unit_bytes: u64,
    /// Mean size of a block I/O, in units.
    pub mean_io_units: f64,
    /// Largest size of a block I/O, in units.
    pub max_io_units: f64,
    /// Fraction of its priority weight that a block I/O within its volume's share has.
    pub share_weight_factor: f64,
    /// Fraction of its priority weight that a block I/O beyond its volume's share has.
    pub spare_weight_factor: f64,
    /// Maximum number of attempts for one block I/O.
    pub max_attempts: u32,
    /// Maximum Retry-After that is sent to a rejected client; 0 if none is sent.
    pub max_retry_after: u64,
    /// Time for which an ordering key stays blocked after an attempt that may still be running.
    pub ordering_cooldown: u64,
    /// Slow start: fraction of its full rate that a node reaches just after its start.
    pub slow_start_initial_rate: f64,
    /// Slow start: time from its start until a node reaches its full rate.
    pub slow_start_duration: u64,
    /// Slow start: a node fails if it is sent more than this multiple of its current rate for `overload_window`.
    pub overload_multiple: f64,
    /// Slow start: window of `overload_multiple` and `slow_start_capacity`.
    pub overload_window: u64,
    /// Slow start: units that a node accepts from all hosts together within `overload_window`, whatever its rate.
    pub slow_start_capacity: f64,
    /// Retry budget: number of retries that are always allowed within `retry_budget_window`.
    pub retry_budget_min: f64,
    /// Retry budget: further retries, as a ratio of the block I/Os admitted within `retry_budget_window`.
    pub retry_budget_ratio: f64,
    /// Retry budget: length of its window; 0 if there is no budget.
    pub retry_budget_window: u64,
}

/// A service level that volumes are assigned to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Usual rate of a volume.
    pub usual_rate: f64,
    /// Reserved rate of a volume.
    pub reserved_rate: f64,
    /// Rate limit of a volume over all hosts; 0 if there is none.
    pub rate_limit: f64,
    /// Burst of the rate limit, in units.
    pub burst_units: f64,
    /// Weight of a volume's share.
    pub weight: f64,
    /// Factor of the priority weight of block I/Os.
    pub priority_factor: f64,
}

/// Whether a block I/O may be retried although an earlier attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The block I/O may be retried.
    #[default]
    Idempotent,
    /// The block I/O must not be retried.
    NonIdempotent,
}

/// An I/O class: section `group`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IoClass {
    /// Name of the class.
    pub name: String,
    /// Whether block I/Os of the class may be retried although an earlier attempt may have run.
    pub idempotency: Idempotency,
    /// Time within which a response is wanted.
    pub latency_objective: u64,
    /// Time after which the client has given up.
    pub deadline: u64,
    /// Value of a response within the latency objective, in any unit that all classes share.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that a later response is worth.
    pub late_weight_ratio: f64,
    /// Whether block I/Os of one ordering key run one at a time, in order.
    pub ordered: bool,
}

/// A range of a volume's blocks and its location on a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extent {
    /// First block of the extent in the volume.
    pub first_block: u64,
    /// Number of blocks in the extent.
    pub block_count: u64,
    /// Index of the node that stores the extent.
    pub node: usize,
    /// Block of the node that stores the extent's first block.
    pub first_node_block: u64,
}

/// Kind of block I/Os that a rule applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Reads and writes.
    Any,
}

/// Assigns block I/Os of a volume to an I/O class. The first rule that matches a block I/O applies.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Whether the rule applies to reads, writes or both.
    pub direction: Direction,
    /// First block that the rule applies to.
    pub first_block: u64,
    /// Last block that the rule applies to; `u64::MAX` if there is no bound.
    pub last_block: u64,
    /// Index of the I/O class.
    pub io_class: usize,
    /// Number of blocks that share an ordering key; 0 if block I/Os have no ordering key.
    pub blocks_per_key: u64,
}

/// A volume.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Volume {
    /// Name of the volume.
    pub name: String,
    /// Logical unit number of the volume.
    pub lun: u16,
    /// Index of the volume's plan.
    pub plan: usize,
    /// Size of the volume, in blocks.
    pub block_count: u64,
    /// Size of a block, in bytes: 512 or 4096.
    pub block_size: u32,
    /// Number of hosts that serve the volume.
    pub host_count: u32,
    /// Whether the snapshot catalog determines where blocks are stored; if so, `extents` is empty.
    pub mapped: bool,
    /// Extents in the order of their blocks, without gap or overlap.
    pub extents: Vec<Extent>,
    /// Rules that assign block I/Os to I/O classes.
    pub rules: Vec<Rule>,
}

/// A storage node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Address on which the node listens.
    pub address: Option<SocketAddr>,
    /// iSCSI target name of the node.
    pub target: String,
    /// Logical unit number on the node.
    pub lun: u16,
    /// Zone of the node; empty if not configured.
    pub zone: String,
    /// Shard that the node holds; nodes of one shard hold the same data.
    pub shard: u32,
}
