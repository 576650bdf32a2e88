//! The interface between the scheduler and the program that runs it.
//!
//! The program calls the `on_*` methods of [`Scheduler`](crate::Scheduler) as events happen. The scheduler
//! answers through the [`Host`] that it is handed with each call.
//!
//! Small indices stand for names. The program assigns them (see [`Interner`](crate::Interner)), and gets each
//! back with a `release_*` call once the scheduler no longer refers to it.

/// A time on the program's monotonic clock, or a span of time; in tenths of a millisecond.
pub type Tick = i64;

/// Index of a block I/O in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BioId(pub u32);

/// Index of a storage node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeId(pub u32);

/// Index of a volume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VolumeId(pub u32);

/// Index of an ordering key: block I/Os of ordered classes that name the same key run one after another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u32);

/// The actions that the scheduler requires of the program around it.
pub trait Host {
    /// Forward the block I/O to a node, and end the attempt as timed out after `timeout`.
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick);
    /// Stop waiting for an attempt of a block I/O; attempts are counted from 0.
    fn cancel(&mut self, bio: BioId, attempt: u32);
    /// Answer the client for good: not done, and trying again is harmless. `retry_after` is the
    /// time after which to retry, if the answer names one.
    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>);
    /// Answer the client for good: failed, and it is not known whether the block I/O took effect.
    fn fail(&mut self, bio: BioId);
    /// Call [`on_timer`](crate::Scheduler::on_timer) after this span.
    fn set_timer(&mut self, after: Tick);
    /// Ask the discovery service for the endpoint list and for its changes from then on, and pass on what it
    /// sends with [`on_endpoints`](crate::Scheduler::on_endpoints).
    fn poll_endpoints(&mut self);
    /// The scheduler no longer refers to this block I/O.
    fn release_bio(&mut self, bio: BioId);
    /// The scheduler no longer refers to this key.
    fn release_key(&mut self, key: KeyId);
    /// The scheduler no longer refers to this volume.
    fn release_volume(&mut self, volume: VolumeId);
    /// The scheduler has forgotten a node that was removed long ago; should it come back, it is a new one.
    fn release_node(&mut self, node: NodeId);
}

/// How an attempt to have a block I/O done by a node came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The node did the block I/O.
    Completed,
    /// The node answered with a failure; it may have run the block I/O.
    Error,
    /// The node rejected the block I/O for want of capacity, without running it.
    Rejected,
    /// No answer came within the attempt's timeout.
    TimedOut,
    /// No connection to the node could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke after the block I/O was sent.
    ConnectionReset,
    /// The attempt was cancelled after the block I/O was sent.
    Cancelled,
    /// The attempt ended before the block I/O was sent.
    NotSent,
}

/// Among which nodes repeats of a block I/O with the same idempotency key are recognised and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Among all nodes.
    All,
    /// Among the nodes of one zone.
    Zone,
    /// Among the nodes of one shard.
    Shard,
}

/// Whether a block I/O may be sent again when an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at any node.
    Idempotent,
    /// It carries an idempotency key: within the scope and for the window, counted from the first attempt
    /// that may have run, nodes drop its repeats.
    IdempotentByKey {
        /// The nodes that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long they remember a key.
        window: Tick,
    },
    /// It may not be repeated once an attempt may have run.
    NonIdempotent,
}

/// A class of block I/Os that are alike in urgency and effect.
#[derive(Clone, Debug, PartialEq)]
pub struct IoClass {
    /// Whether its block I/Os may be repeated.
    pub idempotency: Idempotency,
    /// Time from arrival within which an answer earns the whole priority weight.
    pub latency_objective: Tick,
    /// Fraction of the priority weight that a later answer still earns. The scheduler does not use it.
    pub late_weight_ratio: f64,
    /// What an answer in time is worth, in any unit that all classes share.
    pub priority_weight: f64,
    /// Block I/Os with the same key run one after another, in order of arrival.
    pub ordered: bool,
    /// Its block I/Os write. The scheduler does not use it.
    pub writes: bool,
}

/// What a volume has bought; rates in units a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Rate at which the volume is usually used. The scheduler does not use it.
    pub usual_rate: f64,
    /// Rate that is reserved for the volume.
    pub reserved_rate: f64,
    /// Rate that the volume may not exceed, over all hosts; 0: no limit.
    pub rate_limit: f64,
    /// Units by which the volume may exceed its rate limit at a time.
    pub burst_units: f64,
    /// Weight by which spare capacity is divided among volumes; 0 stands for 1.
    pub weight: f64,
    /// Factor on the priority weight of the volume's block I/Os.
    pub priority_factor: f64,
}

/// What the deployment allows and requires, as known at start.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a deployment, each set by itself"
)]
pub struct SchedulerConfig {
    /// Hosts that share the nodes, this one included.
    pub hosts: u32,
    /// I/O classes, by the index that [`Bio::class`] names.
    pub classes: Vec<IoClass>,
    /// Plans, by the index that [`Bio::plan`] names.
    pub plans: Vec<Plan>,
    /// Mean units of a block I/O; 0 stands for 1.
    pub mean_io_units: f64,
    /// Units of the largest block I/O.
    pub max_io_units: f64,
    /// Fraction of the priority weight earned by units within the volume's share of a node.
    pub share_weight_factor: f64,
    /// Fraction of the priority weight earned by units beyond that share.
    pub spare_weight_factor: f64,
    /// Span over which use is metered. The scheduler does not use it.
    pub metering_window: Tick,
    /// Nodes report the units that they served for a volume through other hosts.
    pub other_hosts_usage_reported: bool,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Nodes may be health-checked. The scheduler does not use it.
    pub allow_health_checks: bool,
    /// Hosts may exchange messages. The scheduler does not use it.
    pub allow_peer_messages: bool,
    /// A block I/O may be sent to two nodes at a time. The scheduler does not use it.
    pub allow_hedging: bool,
    /// A shed block I/O may name a time after which to retry.
    pub allow_retry_after: bool,
    /// The longest such time.
    pub max_retry_after: Tick,
    /// Attempts that a block I/O may have, the first one included.
    pub max_attempts: u32,
    /// The endpoint list is sent only to hosts that poll it.
    pub endpoints_polled: bool,
    /// What one poll takes of the discovery service's time, as its operator says; 0 spreads polls over a
    /// fifth of a second. None: not known.
    pub poll_service_time: Option<Tick>,
    /// What the discovery service knows counts as known to every host, whether or not the host has a watch.
    pub endpoints_pushed: bool,
    /// How long a host without a watch may go on with the list that it has; 0: not limited.
    pub max_poll_delay: Tick,
    /// Block I/Os that were never sent are shed before half of their time to the deadline is over.
    pub shed_at_half_deadline: bool,
    /// Units that a node bears from all hosts together within `overload_window` just after its start.
    pub slow_start_capacity: f64,
    /// Fraction of its full rate that a node reaches just after its start.
    pub slow_start_initial_rate: f64,
    /// Time from its start until a node reaches its full rate.
    pub slow_start_duration: Tick,
    /// Span over which load on a warming node is counted; 0: it bears any load.
    pub overload_window: Tick,
    /// Multiple of its momentary rate at which a warming node fails.
    pub overload_multiple: f64,
    /// How long a key stays blocked for other block I/Os after an attempt that may still be running.
    pub ordering_cooldown: Tick,
    /// Retries allowed in each window, whatever the number of arrivals.
    pub retry_budget_min: f64,
    /// Retries allowed in each window for each block I/O that arrived in it, besides the floor.
    pub retry_budget_ratio: f64,
    /// The window of the retry budget; 0: no budget.
    pub retry_budget_window: Tick,
}

/// A block I/O as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bio {
    /// Its index; free again once released.
    pub id: BioId,
    /// Index of its I/O class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// When the client gives up.
    pub deadline: Tick,
    /// Its cost in units.
    pub units: f64,
    /// The shard that holds the data; none for a new object, which any node may take.
    pub shard: Option<u32>,
    /// Number of hosts through which the volume is used.
    pub hosts: u32,
}

/// What is known of an attempt once it is over.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// How it came out.
    pub result: AttemptResult,
    /// The node that it went to.
    pub node: NodeId,
    /// The host has already given the client its final answer.
    pub client_answered: bool,
    /// Time from forwarding to the outcome.
    pub latency: Tick,
    /// Units that this node served for the volume through other hosts since its last answer here.
    pub units_by_other_hosts: f64,
    /// 1 + the volume's use over all hosts in per cent of its plan's usual rate; 0: not reported. The
    /// scheduler does not use it.
    pub volume_usage: f64,
    /// The node's load report. The scheduler does not use it.
    pub load_report: LoadReport,
}

/// A node's own account of its load; what it does not report is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Block I/Os that wait at the node.
    pub backlog: Option<f64>,
    /// Recent mean service time in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Fraction of the time in which the node is busy.
    pub utilization: Option<f64>,
}

/// A node's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It takes block I/Os.
    Active,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is no longer in service.
    Removed,
}

/// An entry of the endpoint list, with the node's index in place of its name.
#[derive(Clone, Copy, Debug)]
pub struct NodeEndpoint {
    /// The node.
    pub node: NodeId,
    /// Index of its zone.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: u32,
    /// Whether it takes block I/Os.
    pub state: NodeState,
    /// When its process started; none: long ago, so that no slow start applies.
    pub started_at: Option<Tick>,
}

/// What the host has of the endpoint list, or failed to get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The watch sent the entries that changed.
    Incremental,
    /// The watch sent the whole list; a node that is missing was removed.
    FullSnapshot,
    /// The whole list as this host stored it before it last stopped.
    Cached,
    /// A poll failed or the watch broke.
    PollFailed,
    /// The watch, or a poll that was accepted, has been silent for too long. The service may still count it
    /// as a watch: what it fails to send counts as known to this host some seconds later.
    WatchSilent,
}

/// A node as this host sees it, for monitoring; no decision depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// The node takes new block I/Os.
    pub active: bool,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Block I/Os queued here for this node.
    pub queued: u32,
    /// The most attempts that may be in flight at a time.
    pub concurrency_window: f64,
    /// Mean latency in ticks.
    pub mean_latency: f64,
    /// Multiplier on the cost of block I/Os at this node.
    pub cost_multiplier: f64,
    /// Failed attempts since the last that completed.
    pub consecutive_failures: u32,
    /// The node is still in its slow start.
    pub warming_up: bool,
}
