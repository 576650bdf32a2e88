//! The interface between the scheduler and the program that runs it.
//!
//! The program calls the methods of `scheduler::Scheduler`; the scheduler answers through the
//! `Host` it is handed with each call. Small indices stand for names; the program deals them out
//! and gets each back with a `release_*` call once the scheduler holds it no more.

/// Tenths of a millisecond on the program's clock, or a span of them.
pub type Tick = i64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BioId(pub u32);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeId(pub u32);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VolId(pub u32);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u32);

/// What the scheduler asks of the program around it.
pub trait Host {
    /// Send the block I/O to a node; give up on it after `limit`.
    fn submit(&mut self, bio: BioId, node: NodeId, limit: Tick);
    /// Stop waiting for the `nth` submit of a block I/O, counted from 0.
    fn cancel(&mut self, bio: BioId, nth: u32);
    /// Final answer: not done, trying again is harmless; 0 names no time to come back.
    fn shed(&mut self, bio: BioId, come_back: Tick);
    /// Final answer: failed, nothing promised.
    fn fail(&mut self, bio: BioId);
    /// Call `woken` after this long.
    fn wake(&mut self, after: Tick);
    fn probe(&mut self, node: NodeId);
    /// Ask the node list for changes from now on, or for the whole list once.
    fn watch_list(&mut self);
    fn fetch_list(&mut self);
    fn tell_peers(&mut self, bytes: &[u8]);
    fn release_bio(&mut self, bio: BioId);
    fn release_key(&mut self, key: KeyId);
    fn release_volume(&mut self, vol: VolId);
    /// A node that left for good; should it come back, it is a new one.
    fn release_node(&mut self, node: NodeId);
}

/// How a submit or a probe came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    Error,
    Busy,
    TimedOut,
    NoConnect,
    Reset,
    Cancelled,
    Moot,
}

/// Where a fingerprinted block I/O's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Fingerprinted { scope: Scope, memory: Tick },
    SideEffecting,
}

#[derive(Clone, Debug, PartialEq)]
pub struct IoGroup {
    pub effect: Effect,
    /// Latency goal, and the part of the gain that an answer past it still earns.
    pub goal: Tick,
    pub late_share: f64,
    pub gain: f64,
    pub ordered: bool,
    pub writes: bool,
}

/// What a volume has bought; rates in units a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub usual: f64,
    pub reserve: f64,
    pub limit: f64,
    pub limit_burst: f64,
    pub wt: f64,
    pub price: f64,
}

/// What the deployment allows and asks for, as told at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    pub hosts: u32,
    pub groups: Vec<IoGroup>,
    pub plans: Vec<Plan>,
    pub mean_units: f64,
    pub largest: f64,
    /// The part of the gain earned inside the volume's share, and beyond it.
    pub share_gain: f64,
    pub spare_gain: f64,
    pub meter: Tick,
    pub counts_others: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_tell: bool,
    pub may_duplicate: bool,
    pub may_name_return: bool,
    pub longest_return: Tick,
    pub max_submits: u32,
    pub list_on_request: bool,
    /// What a call takes of the list service, as whoever runs it says; 0 spreads calls over a fifth of a second.
    pub ask_turn: Option<Tick>,
    /// What the service knows counts as told to every host, from its start on and whether or not it has a watch.
    pub list_pushed: bool,
    /// How long a host without a watch is held to the list that it has; 0: no one says it.
    pub ask_within: Tick,
    /// Clients hear in the first half of their time of what was never tried.
    pub word_by_half: bool,
    /// Units that a node just started bears from all hosts within `fall_span`.
    pub cold_bears: f64,
    pub cold_from: f64,
    pub cold_span: Tick,
    pub fall_span: Tick,
    pub fall_multiple: f64,
    pub order_rest: Tick,
    /// Further submits: a few, and a share of the block I/Os taken in the span (0: no budget).
    pub budget_free: f64,
    pub budget_share: f64,
    pub budget_span: Tick,
}

/// A block I/O as it comes in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bio {
    pub id: BioId,
    pub group: u16,
    pub plan: u16,
    pub vol: VolId,
    pub key: Option<KeyId>,
    /// When the client gives up.
    pub hard_limit: Tick,
    pub units: f64,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<u32>,
    /// Through how many hosts the volume works.
    pub hosts: u32,
}

/// What came of one submit.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub ending: Ending,
    pub node: NodeId,
    /// The host has given the client the final answer.
    pub closed: bool,
    pub wait: Tick,
    /// Units served for the volume by this node through other hosts since its last answer here.
    pub by_others: f64,
    /// 1 + the volume's use everywhere in per cent of the plan's usual rate; 0: not told.
    pub used: f64,
    pub report: Report,
}

/// A node's own account of its load; what it does not tell is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub waiting: Option<f64>,
    pub service_ms: Option<f64>,
    pub busy: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    Active,
    Leaving,
    Left,
}

/// A line of the node list.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub node: NodeId,
    pub zone: u32,
    pub shard: u32,
    pub state: NodeState,
    /// Start of its process; 0 when long past.
    pub came_up: Tick,
}

/// What the list service sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    Changes,
    Whole,
    /// The whole list as this host last had it.
    Kept,
    Failed,
    /// A watch says nothing any more, or a call that came through: the service may take it for a watch. What it misses
    /// counts as told some seconds later.
    Silent,
}

/// How a node stands with this host, for whoever watches; nothing decides by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeView {
    pub open: bool,
    /// Submits out, block I/Os held here, and the window for submits.
    pub out: u32,
    pub held: u32,
    pub window: f64,
    /// Mean wait in ticks, the delay multiplier, and failures in a row.
    pub wait: f64,
    pub multiplier: f64,
    pub failures: u32,
    /// Whether the node counts as cold.
    pub cold: bool,
}
