//! The interface between the scheduler and the program that runs it (the host).
//!
//! The host calls the `on_*` methods of [`Scheduler`](crate::Scheduler) as events occur. The scheduler requests actions
//! through the [`Host`] trait object passed to each call.
//!
//! Block I/Os, nodes, volumes and ordering keys are identified by small indices. The host assigns the indices (see
//! [`Interner`](crate::Interner)). The scheduler calls a `release_*` method once it no longer refers to an index, which
//! may then be reused.

/// A time on the host's monotonic clock, or a duration, in units of 0.1 ms.
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

/// Index of an ordering key. Block I/Os of ordered classes that have the same key run one after another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u32);

/// The actions that the scheduler requests from the host.
pub trait Host {
    /// Forwards the block I/O to the node, and ends the attempt as timed out after `timeout`.
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick);
    /// Cancels an attempt of a block I/O. Attempts are numbered from 0.
    fn cancel(&mut self, bio: BioId, attempt: u32);
    /// Sends the final answer to the client: the block I/O was shed, and retrying it is safe. `retry_after` is the time
    /// after which to retry, if the answer states one.
    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>);
    /// Sends the final answer to the client: the block I/O failed, and it may or may not have taken effect.
    fn fail(&mut self, bio: BioId);
    /// Requests a call of [`on_timer`](crate::Scheduler::on_timer) after this duration.
    fn set_timer(&mut self, after: Tick);
    /// Requests the endpoint list from the discovery service and a watch of its changes. The host passes what it
    /// receives to [`on_endpoints`](crate::Scheduler::on_endpoints).
    fn poll_endpoints(&mut self);
    /// Releases the index of a block I/O, which the scheduler no longer refers to.
    fn release_bio(&mut self, bio: BioId);
    /// Releases the index of an ordering key, which the scheduler no longer refers to.
    fn release_key(&mut self, key: KeyId);
    /// Releases the index of a volume, which the scheduler no longer refers to.
    fn release_volume(&mut self, volume: VolumeId);
    /// Releases the index of a node that was removed long ago and that the scheduler has forgotten. If the node
    /// returns, it counts as a new node.
    fn release_node(&mut self, node: NodeId);
}

/// Result of an attempt to run a block I/O on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The node completed the block I/O.
    Completed,
    /// The node answered with an error; it may have run the block I/O.
    Error,
    /// The node rejected the block I/O for lack of capacity, without running it.
    Rejected,
    /// The attempt timed out without an answer.
    TimedOut,
    /// The host could not connect to the node; nothing was sent.
    ConnectFailed,
    /// The connection broke after the block I/O was sent.
    ConnectionReset,
    /// The attempt was cancelled after the block I/O was sent.
    Cancelled,
    /// The attempt ended before the block I/O was sent.
    NotSent,
}

/// The set of nodes that share their seen idempotency keys, and therefore drop duplicates of a block I/O.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes share their keys.
    All,
    /// The nodes of one zone share their keys.
    Zone,
    /// The nodes of one shard share their keys.
    Shard,
}

/// Whether a block I/O may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The block I/O may be repeated on any node.
    Idempotent,
    /// The block I/O carries an idempotency key. Nodes within the scope drop its duplicates during the window, which
    /// begins with the first attempt that may have run.
    IdempotentByKey {
        /// The set of nodes that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long nodes remember a key.
        window: Tick,
    },
    /// The block I/O may not be repeated once an attempt may have run.
    NonIdempotent,
}

/// A class of block I/Os with the same urgency and effect.
#[derive(Clone, Debug, PartialEq)]
pub struct IoClass {
    /// Whether block I/Os of the class may be repeated.
    pub idempotency: Idempotency,
    /// Time from arrival within which an answer earns the full priority weight.
    pub latency_objective: Tick,
    /// Fraction of the priority weight that an answer after the latency objective still earns. The scheduler does not
    /// use it.
    pub late_weight_ratio: f64,
    /// Value of an answer within the latency objective, in an arbitrary unit common to all classes.
    pub priority_weight: f64,
    /// Whether block I/Os with the same ordering key run one after another, in order of arrival.
    pub ordered: bool,
    /// Whether block I/Os of the class write. The scheduler does not use it.
    pub writes: bool,
}

/// The service that a volume is entitled to. Rates are in units per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Usual rate of the volume. The scheduler does not use it.
    pub usual_rate: f64,
    /// Rate reserved for the volume.
    pub reserved_rate: f64,
    /// Maximum rate of the volume over all hosts; 0 means no limit.
    pub rate_limit: f64,
    /// Burst size: units by which the volume may exceed its rate limit at once.
    pub burst_units: f64,
    /// Weight by which spare capacity is divided among volumes; 0 is treated as 1.
    pub weight: f64,
    /// Factor by which the priority weight of the volume's block I/Os is multiplied.
    pub priority_factor: f64,
}

/// The rules and limits of the deployment, as known when the scheduler starts.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a deployment, each set by itself"
)]
pub struct SchedulerConfig {
    /// Number of hosts that share the nodes, including this one.
    pub hosts: u32,
    /// I/O classes, indexed by [`Bio::class`].
    pub classes: Vec<IoClass>,
    /// Plans, indexed by [`Bio::plan`].
    pub plans: Vec<Plan>,
    /// Mean size of a block I/O, in units; 0 is treated as 1.
    pub mean_io_units: f64,
    /// Size of the largest block I/O, in units.
    pub max_io_units: f64,
    /// Fraction of the priority weight that units within the volume's share of a node earn.
    pub share_weight_factor: f64,
    /// Fraction of the priority weight that units beyond the volume's share of a node earn.
    pub spare_weight_factor: f64,
    /// Time window over which usage is metered. The scheduler does not use it.
    pub metering_window: Tick,
    /// Whether nodes report the units that they served for a volume through other hosts.
    pub other_hosts_usage_reported: bool,
    /// Whether attempts may be cancelled.
    pub allow_cancel: bool,
    /// Whether nodes may be health-checked. The scheduler does not use it.
    pub allow_health_checks: bool,
    /// Whether hosts may exchange messages with each other. The scheduler does not use it.
    pub allow_peer_messages: bool,
    /// Whether a block I/O may be sent to two nodes at once. The scheduler does not use it.
    pub allow_hedging: bool,
    /// Whether the answer to a shed block I/O may state a time after which to retry.
    pub allow_retry_after: bool,
    /// Maximum time after which a shed block I/O may be told to retry.
    pub max_retry_after: Tick,
    /// Maximum number of attempts of a block I/O, including the first one.
    pub max_attempts: u32,
    /// Whether the endpoint list is sent only to hosts that poll it.
    pub endpoints_polled: bool,
    /// Service time that one poll takes at the discovery service, as stated by its operator. 0 spreads polls over 0.2
    /// s; `None` means unknown.
    pub poll_service_time: Option<Tick>,
    /// Whether everything that the discovery service knows counts as known to every host, even to a host without a
    /// watch.
    pub endpoints_pushed: bool,
    /// Maximum time for which a host without a watch may use the endpoint list it has; 0 means no limit.
    pub max_poll_delay: Tick,
    /// Whether block I/Os that were never sent are shed before half of the time to their deadline has elapsed.
    pub shed_at_half_deadline: bool,
    /// Units that a node sustains from all hosts together within `overload_window` just after its start.
    pub slow_start_capacity: f64,
    /// Fraction of its full rate that a node reaches just after its start.
    pub slow_start_initial_rate: f64,
    /// Time from the start of a node until it reaches its full rate.
    pub slow_start_duration: Tick,
    /// Time window over which the load on a node in slow start is counted; 0 means that it sustains any load.
    pub overload_window: Tick,
    /// Multiple of its current rate at which a node in slow start fails.
    pub overload_multiple: f64,
    /// Cooldown of an ordering key after an attempt that may still be running. Other block I/Os of the key wait for its
    /// end.
    pub ordering_cooldown: Tick,
    /// Number of retries allowed in each window, regardless of arrivals.
    pub retry_budget_min: f64,
    /// Number of retries allowed in each window per block I/O that arrived in the window, in addition to
    /// `retry_budget_min`.
    pub retry_budget_ratio: f64,
    /// Window of the retry budget; 0 means that retries are not limited.
    pub retry_budget_window: Tick,
}

/// A block I/O, as passed to the scheduler on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bio {
    /// Index of the block I/O; it may be reused once released.
    pub id: BioId,
    /// Index of the I/O class.
    pub class: u16,
    /// Index of the volume's plan.
    pub plan: u16,
    /// The volume that the block I/O belongs to.
    pub volume: VolumeId,
    /// The ordering key, if there is one.
    pub key: Option<KeyId>,
    /// Time at which the client gives up.
    pub deadline: Tick,
    /// Cost of the block I/O, in units.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object, which any node may store.
    pub shard: Option<u32>,
    /// Number of hosts through which the volume is used.
    pub hosts: u32,
}

/// The outcome of a finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Result of the attempt.
    pub result: AttemptResult,
    /// The node that the attempt was sent to.
    pub node: NodeId,
    /// Whether the host has already sent the final answer to the client.
    pub client_answered: bool,
    /// Time from forwarding the attempt to its outcome.
    pub latency: Tick,
    /// Units that the node served for the volume through other hosts since its last answer to this host.
    pub units_by_other_hosts: f64,
    /// 1 plus the volume's usage over all hosts, as a percentage of the usual rate of its plan; 0 if not reported. The
    /// scheduler does not use it.
    pub volume_usage: f64,
    /// The node's load report. The scheduler does not use it.
    pub load_report: LoadReport,
}

/// Load of a node as reported by the node itself. A value that is not reported is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of block I/Os queued at the node.
    pub backlog: Option<f64>,
    /// Recent mean service time in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Fraction of time during which the node is busy.
    pub utilization: Option<f64>,
}

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts new block I/Os.
    Active,
    /// The node finishes the block I/Os it has and accepts no new ones.
    Draining,
    /// The node is no longer in service.
    Removed,
}

/// An entry of the endpoint list, which identifies the node by its index.
#[derive(Clone, Copy, Debug)]
pub struct NodeEndpoint {
    /// Index of the node.
    pub node: NodeId,
    /// Index of the node's zone.
    pub zone: u32,
    /// The shard that the node holds.
    pub shard: u32,
    /// Whether the node accepts new block I/Os.
    pub state: NodeState,
    /// Time at which the node's process started; `None` means long ago, so that slow start does not apply.
    pub started_at: Option<Tick>,
}

/// An update of the endpoint list, or a failure to receive one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The watch sent the entries that have changed.
    Incremental,
    /// The watch sent the full list; a node that is missing from it was removed.
    FullSnapshot,
    /// The full list that this host stored before it last stopped.
    Cached,
    /// A poll failed, or the watch was disconnected.
    PollFailed,
    /// The watch, or a poll that the service accepted, has been silent for too long. The service may still count it as
    /// an open watch; an update that it then fails to send counts as known to this host some seconds later.
    WatchSilent,
}

/// Status of a node as seen by this host, for monitoring. No decision depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether the node accepts new block I/Os.
    pub active: bool,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Number of block I/Os queued at this host for the node.
    pub queued: u32,
    /// Concurrency window: maximum number of attempts in flight at once.
    pub concurrency_window: f64,
    /// Mean latency in ticks.
    pub mean_latency: f64,
    /// Factor by which the cost of block I/Os at the node is multiplied.
    pub cost_multiplier: f64,
    /// Number of failed attempts since the last completed one.
    pub consecutive_failures: u32,
    /// Whether the node is still in slow start.
    pub warming_up: bool,
}
