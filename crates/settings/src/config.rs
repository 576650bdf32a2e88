//! What a valid configuration contains. Durations are in microseconds, sizes in bytes, rates in units per second, and
//! ratios from 0 to 1. Sections refer to each other by index.
use mallowseam_fleet::config::FleetConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// This host.
    pub host: Host,
    /// What all hosts have in common.
    pub fleet: Fleet,
    /// The plans that volumes have.
    pub plans: Vec<Plan>,
    /// The I/O classes that block I/Os belong to.
    pub io_classes: Vec<IoClass>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The catalog of snapshots and clones.
    pub catalog: Option<Catalog>,
    /// The plan service, for its own process.
    pub plan_service: Option<PlanService>,
}

/// The control service that hands out plans: section `tariffs`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanService {
    /// Where hosts connect.
    pub listen: Option<SocketAddr>,
    /// The file of its change log.
    pub store_path: PathBuf,
    /// Its control socket.
    pub control_socket: Option<PathBuf>,
}

/// The catalog of snapshots and clones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Where hosts connect.
    pub listen: Option<SocketAddr>,
    /// Its file.
    pub store_path: PathBuf,
    /// Its control socket.
    pub control_socket: Option<PathBuf>,
    /// Blocks of one extent of a mapped volume: what is copied on a first write.
    pub extent_blocks: u64,
    /// Index of the I/O class of copies.
    pub copy_class: usize,
}

/// This host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// The iSCSI target name that clients log in to.
    pub target: String,
    /// Its control socket.
    pub control_socket: Option<PathBuf>,
    /// The endpoint list service; none: the nodes of this file, all of them ready.
    pub endpoint_service: Option<SocketAddr>,
    /// Where the endpoint list is cached for the next start.
    pub endpoint_cache_path: Option<PathBuf>,
    /// The plan service whose plans count instead of this file's.
    pub plan_service: Option<SocketAddr>,
    /// Where its plans are cached for a start without it.
    pub plan_cache_path: Option<PathBuf>,
    /// Most commands in flight on one connection.
    pub command_window: u32,
    /// Most connections of clients.
    pub max_connections: u32,
    /// Longest read or write of a client, in bytes.
    pub max_transfer_bytes: u64,
    /// Whether to ask clients and nodes for CRC32C digests of headers.
    pub header_digest: bool,
    /// The same for data.
    pub data_digest: bool,
    /// Seed of the random numbers; none: from the system.
    pub seed: Option<u64>,
    /// How it takes part in the fleet's membership; none: it does not.
    pub fleet: Option<FleetConfig>,
}

/// What all hosts have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Hosts that share the nodes.
    pub hosts: u32,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    /// Mean size of a block I/O, in units.
    pub mean_io_units: f64,
    /// Largest size of a block I/O, in units.
    pub max_io_units: f64,
    /// Part of its priority weight that a block I/O inside its volume's share earns.
    pub share_weight_factor: f64,
    /// The same beyond the share.
    pub spare_weight_factor: f64,
    /// Most attempts for one block I/O.
    pub max_attempts: u32,
    /// Longest Retry-After that a rejected client is given; 0: none.
    pub max_retry_after: u64,
    /// How long an ordering key stays blocked after an attempt that may still be running.
    pub ordering_cooldown: u64,
    /// Slow start: the part of its full rate that a node reaches just after its start.
    pub slow_start_initial_rate: f64,
    /// Slow start: time from its start until a node reaches its full rate.
    pub slow_start_duration: u64,
    /// A node in slow start fails when it is sent more than this multiple of its momentary rate for `overload_window`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window: u64,
    /// Slow start: units that a node bears from all hosts together within `overload_window`, whatever its rate.
    pub slow_start_capacity: f64,
    /// Retry budget: retries that are always allowed within `retry_budget_window`.
    pub retry_budget_min: f64,
    /// Retry budget: further retries, as a ratio of the block I/Os admitted within the window.
    pub retry_budget_ratio: f64,
    /// Retry budget: its window; 0: no budget.
    pub retry_budget_window: u64,
}

/// What a volume has bought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Usual rate.
    pub usual_rate: f64,
    /// Reserved rate.
    pub reserved_rate: f64,
    /// Rate limit over all hosts; 0: none.
    pub rate_limit: f64,
    /// Units that the limit lets through at once.
    pub burst_units: f64,
    /// Weight of its share.
    pub weight: f64,
    /// Factor of the priority weight of its block I/Os.
    pub priority_factor: f64,
}

/// Whether a block I/O may be repeated when an earlier attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated.
    #[default]
    Idempotent,
    /// It may not be repeated.
    NonIdempotent,
}

/// An I/O class: section `group`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IoClass {
    /// Its name.
    pub name: String,
    /// Whether its block I/Os may be repeated.
    pub idempotency: Idempotency,
    /// Time within which a response is wanted.
    pub latency_objective: u64,
    /// Time after which the client has given up.
    pub deadline: u64,
    /// What a response within the objective is worth, in any unit that all classes share.
    pub priority_weight: f64,
    /// The part of it that a later response is worth.
    pub late_weight_ratio: f64,
    /// Whether block I/Os of one ordering key run one at a time, in order.
    pub ordered: bool,
}

/// A run of a volume's blocks and where it is stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extent {
    /// Its first block in the volume.
    pub first_block: u64,
    /// How many blocks it has.
    pub block_count: u64,
    /// Index of the node.
    pub node: usize,
    /// The block of the node that holds its first block.
    pub first_node_block: u64,
}

/// What a rule applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Both.
    Any,
}

/// Which block I/Os of a volume belong to an I/O class. The first rule that matches counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Reads, writes or both.
    pub direction: Direction,
    /// The first block that it applies to.
    pub first_block: u64,
    /// The last block that it applies to; `u64::MAX`: no bound.
    pub last_block: u64,
    /// Index of the I/O class.
    pub io_class: usize,
    /// How many blocks share an ordering key; 0: none has one.
    pub blocks_per_key: u64,
}

/// A volume.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Volume {
    /// Its name.
    pub name: String,
    /// Its logical unit number.
    pub lun: u16,
    /// Index of its plan.
    pub plan: usize,
    /// Its size in blocks.
    pub block_count: u64,
    /// Bytes of a block: 512 or 4096.
    pub block_size: u32,
    /// Through how many hosts it is served.
    pub host_count: u32,
    /// Whether the catalog says where its blocks are stored; it then has no extents here.
    pub mapped: bool,
    /// In the order of their blocks, without gap or overlap.
    pub extents: Vec<Extent>,
    /// Which block I/Os belong to which class.
    pub rules: Vec<Rule>,
}

/// A node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its iSCSI target name.
    pub target: String,
    /// Its logical unit number.
    pub lun: u16,
    /// Its zone; empty: not stated.
    pub zone: String,
    /// The shard that it holds; nodes of one shard hold the same data.
    pub shard: u32,
}
