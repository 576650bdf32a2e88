//! What a sound configuration says. Durations in microseconds, sizes in bytes, rates in units a second.
use mallowseam_fleet::config::FleetConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    pub host: Host,
    pub fleet: Fleet,
    pub plans: Vec<Plan>,
    pub io_classes: Vec<IoClass>,
    pub volumes: Vec<Volume>,
    pub nodes: Vec<Node>,
    /// Where snapshots and clones are kept track of.
    pub catalog: Option<Catalog>,
    /// The service that plans come from, for its own process.
    pub plan_service: Option<PlanService>,
}

/// The control service of plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanService {
    pub listen: Option<SocketAddr>,
    pub store_path: PathBuf,
    pub control_socket: Option<PathBuf>,
}

/// The catalog of snapshots and clones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    pub listen: Option<SocketAddr>,
    pub store_path: PathBuf,
    pub control_socket: Option<PathBuf>,
    /// Blocks of one extent of a mapped volume.
    pub extent_blocks: u64,
    /// The group that copies belong to.
    pub copy_class: usize,
}

/// This host itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    pub name: String,
    pub listen: Option<SocketAddr>,
    pub target: String,
    pub control_socket: Option<PathBuf>,
    /// The node list service; none: the nodes of this file, all of them up.
    pub endpoint_service: Option<SocketAddr>,
    pub endpoint_cache_path: Option<PathBuf>,
    /// The control service whose plans it follows, and the copy of them kept for a start without it.
    pub plan_service: Option<SocketAddr>,
    pub plan_cache_path: Option<PathBuf>,
    /// Commands in hand for one connection, and connections, at most.
    pub command_window: u32,
    pub max_connections: u32,
    /// Longest read or write of a client.
    pub max_transfer_bytes: u64,
    pub header_digest: bool,
    pub data_digest: bool,
    /// Where chance starts; none: from the system's own.
    pub seed: Option<u64>,
    /// Its place in the view that the fleet keeps of itself; none: it takes no part.
    pub fleet: Option<FleetConfig>,
}

/// What holds for all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub hosts: u32,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    pub mean_units: f64,
    pub max_units: f64,
    /// Part of the gain that is earned inside a volume's share, and beyond it.
    pub share_gain: f64,
    pub spare_gain: f64,
    pub max_attempts: u32,
    pub max_retry_after: u64,
    pub ordering_cooldown: u64,
    /// A cold node's start: part of its capacity, span until it is warm; what makes it fall: multiple and
    /// span; units it always bears within that span.
    pub cold_capacity: f64,
    pub warmup_time: u64,
    pub overload_multiple: f64,
    pub overload_window: u64,
    pub cold_floor_units: f64,
    /// Further submits within a span: a few, and a part of the block I/Os taken in it. Span 0: no budget.
    pub retry_budget_min: f64,
    pub retry_budget_ratio: f64,
    pub retry_budget_window: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub name: String,
    pub usual_rate: f64,
    pub reserved_rate: f64,
    /// 0: no limit.
    pub rate_limit: f64,
    pub burst_units: f64,
    pub weight: f64,
    pub priority_factor: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Idempotent,
    NonIdempotent,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct IoClass {
    pub name: String,
    pub effect: Effect,
    pub latency_objective: u64,
    pub deadline: u64,
    pub priority_weight: f64,
    pub late_weight_ratio: f64,
    pub ordered: bool,
}

/// A run of a volume's blocks and where it lies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extent {
    pub first_block: u64,
    pub block_count: u64,
    /// Index of the node, and the block there that holds the first one.
    pub node: usize,
    pub first_node_block: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Read,
    Write,
    Any,
}

/// Which block I/Os of a volume belong to a group. The first rule that fits counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub direction: Direction,
    pub first_block: u64,
    pub last_block: u64,
    pub io_class: usize,
    /// Blocks that share an ordering key; 0: no key.
    pub blocks_per_key: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Volume {
    pub name: String,
    pub lun: u16,
    pub plan: usize,
    pub block_count: u64,
    pub block_size: u32,
    pub host_count: u32,
    /// Its blocks lie where the catalog says; it then has no extents here.
    pub mapped: bool,
    /// In order of their blocks, without gap or overlap.
    pub extents: Vec<Extent>,
    pub rules: Vec<Rule>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub target: String,
    pub lun: u16,
    pub zone: String,
    pub shard: u32,
}
