//! What a sound configuration says. Durations in microseconds, sizes in bytes, rates in units a second.
use mallowseam_fleet::config::FleetConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    pub host: Host,
    pub fleet: Fleet,
    pub plans: Vec<Plan>,
    pub groups: Vec<Group>,
    pub volumes: Vec<Volume>,
    pub nodes: Vec<Node>,
    /// Where snapshots and clones are kept track of.
    pub catalog: Option<Catalog>,
    /// The service that plans come from, for its own process.
    pub tariffs: Option<Tariffs>,
}

/// The control service of plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tariffs {
    pub listen: Option<SocketAddr>,
    pub store: PathBuf,
    pub control: Option<PathBuf>,
}

/// The catalog of snapshots and clones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    pub listen: Option<SocketAddr>,
    pub store: PathBuf,
    pub control: Option<PathBuf>,
    /// Blocks of one extent of a mapped volume.
    pub extent: u64,
    /// The group that copies belong to.
    pub copies: usize,
}

/// This host itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    pub name: String,
    pub listen: Option<SocketAddr>,
    pub target: String,
    pub control: Option<PathBuf>,
    /// The node list service; none: the nodes of this file, all of them up.
    pub node_list: Option<SocketAddr>,
    pub kept_list: Option<PathBuf>,
    /// The control service whose plans it follows, and the copy of them kept for a start without it.
    pub follow: Option<SocketAddr>,
    pub kept_plans: Option<PathBuf>,
    /// Commands in hand for one connection, and connections, at most.
    pub window: u32,
    pub connections: u32,
    /// Longest read or write of a client.
    pub longest: u64,
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
    pub unit: u64,
    pub mean_units: f64,
    pub largest_units: f64,
    /// Part of the gain that is earned inside a volume's share, and beyond it.
    pub share_gain: f64,
    pub spare_gain: f64,
    pub submits: u32,
    pub come_back: u64,
    pub order_rest: u64,
    /// A cold node's start: part of its capacity, span until it is warm; what makes it fall: multiple and
    /// span; units it always bears within that span.
    pub cold_from: f64,
    pub cold_span: u64,
    pub fall_multiple: f64,
    pub fall_span: u64,
    pub cold_bears: f64,
    /// Further submits within a span: a few, and a part of the block I/Os taken in it. Span 0: no budget.
    pub further_free: f64,
    pub further_part: f64,
    pub further_span: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub name: String,
    pub usual: f64,
    pub reserve: f64,
    /// 0: no limit.
    pub limit: f64,
    pub limit_burst: f64,
    pub weight: f64,
    pub price: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Idempotent,
    SideEffecting,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    pub name: String,
    pub effect: Effect,
    pub goal: u64,
    pub hard_limit: u64,
    pub gain: f64,
    pub late_share: f64,
    pub ordered: bool,
}

/// A run of a volume's blocks and where it lies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extent {
    pub first: u64,
    pub blocks: u64,
    /// Index of the node, and the block there that holds the first one.
    pub node: usize,
    pub node_first: u64,
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
    pub first: u64,
    pub last: u64,
    pub group: usize,
    /// Blocks that share an ordering key; 0: no key.
    pub key: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Volume {
    pub name: String,
    pub lun: u16,
    pub plan: usize,
    pub blocks: u64,
    pub block_size: u32,
    pub hosts: u32,
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
