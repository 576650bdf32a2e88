//! What the scheduler keeps: its configuration, and the state of nodes, volumes, block I/Os and keys. Plain
//! data: the decisions stand in `policy`.
use crate::interface::{
    Bio, BioId, Idempotency, KeyId, NodeId, Plan, SchedulerConfig, Tick, VolumeId,
};
use crate::key_queue::KeyQueue;
use crate::pcg::Pcg;
use crate::policy::RECENT_ANSWERS;
use crate::recent_median::RecentMedian;
use crate::slab::Slab;
use crate::sliding_sum::SlidingSum;
use crate::timer_queue::TimerQueue;

/// Ticks in a second.
pub(crate) const TICKS_PER_SECOND: f64 = 10_000.0;

/// The scheduler of one host: queues, budgets, and what is known of nodes and volumes.
///
/// Call its `on_*` methods as events happen, each with the present time and the
/// [`Host`](crate::interface::Host) that carries the actions out.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) plans: Vec<PlanRates>,
    pub(crate) classes: Vec<ClassPolicy>,
    /// Mean units of a block I/O.
    pub(crate) mean_io_units: f64,
    /// Units of the largest block I/O.
    pub(crate) max_io_units: f64,
    /// The shortest latency objective of all classes, in ticks: the measure of every latency.
    pub(crate) shortest_objective: f64,
    /// What a block I/O of mean class and plan earns in full.
    pub(crate) typical_priority: f64,
    /// Hosts that share the nodes, this one included; `u32::MAX` where not configured.
    pub(crate) hosts: u32,
    /// Fraction of a node's load that is assumed to come from the other hosts.
    pub(crate) load_by_other_hosts: f64,
    /// Concurrency window of a node not yet known, in attempts.
    pub(crate) initial_window: f64,
    /// The longest pause after failures in a row, in ticks.
    pub(crate) max_backoff: Tick,
    pub(crate) slow_start: SlowStart,
    pub(crate) retry_budget: RetryBudget,
    /// The Retry-After of shed block I/Os; 0 names none.
    pub(crate) retry_after: Tick,
    pub(crate) rng: Pcg,
    /// When this scheduler started.
    pub(crate) started_at: Tick,
    pub(crate) nodes: Slab<Node>,
    pub(crate) volumes: Slab<Volume>,
    /// Quotas by volume, in units a tick.
    pub(crate) quotas: Slab<f64>,
    pub(crate) keys: Slab<OrderingKey>,
    /// Keys with a cooldown that may have ended.
    pub(crate) cooling_keys: Vec<KeyId>,
    pub(crate) requests: Slab<Request>,
    /// Block I/Os shed here, kept until their deadlines are past.
    pub(crate) recently_shed: Vec<ShedRecord>,
    /// When to look at a block I/O again: it may have to be shed, or a node be free.
    pub(crate) timers: TimerQueue,
    /// When the next allocation interval starts.
    pub(crate) next_allocation: Tick,
    pub(crate) polling: PollSchedule,
    /// The earliest time for which the host's timer is set.
    pub(crate) armed_for: Tick,
    /// Until then answers count as being lost: an attempt timed out that a later answer had overtaken.
    pub(crate) losing_answers_until: Tick,
    /// Latencies over all nodes, as this host has seen them.
    pub(crate) fleet_latency: FleetLatency,
    /// Number of the dispatch that runs.
    pub(crate) dispatch_pass: u64,
    /// What was sent to warm nodes, of what was there for them.
    pub(crate) warm_demand: WarmDemand,
}

/// A plan with its rates in units a tick.
pub(crate) struct PlanRates {
    /// What is reserved, for a volume on one host.
    pub(crate) reserved: f64,
    /// The limit over all hosts; infinite where there is none.
    pub(crate) limit: f64,
    /// Units by which the limit may be exceeded at a time, over all hosts.
    pub(crate) burst_units: f64,
    pub(crate) weight: f64,
    pub(crate) priority_factor: f64,
}

impl From<&Plan> for PlanRates {
    fn from(plan: &Plan) -> Self {
        PlanRates {
            reserved: plan.reserved_rate / TICKS_PER_SECOND,
            limit: if plan.rate_limit > 0.0 {
                plan.rate_limit / TICKS_PER_SECOND
            } else {
                f64::INFINITY
            },
            burst_units: plan.burst_units,
            weight: if plan.weight > 0.0 { plan.weight } else { 1.0 },
            priority_factor: plan.priority_factor,
        }
    }
}

/// An I/O class, as far as decisions go.
pub(crate) struct ClassPolicy {
    pub(crate) idempotency: Idempotency,
    pub(crate) latency_objective: Tick,
    pub(crate) priority_weight: f64,
    /// 1 - its weight / the highest weight: 0 for the class of the highest weight.
    pub(crate) weight_deficit: f64,
    pub(crate) ordered: bool,
    pub(crate) max_attempts: u32,
}

/// A volume with block I/Os here, or recently.
#[derive(Default)]
pub(crate) struct Volume {
    /// Index of its plan.
    pub(crate) plan: usize,
    /// The most hosts that any of its block I/Os named.
    pub(crate) hosts: f64,
    /// Units in the token bucket of its limit.
    pub(crate) tokens: f64,
    /// Units of its reservation that are not used yet.
    pub(crate) reserve_tokens: f64,
    /// When the two were last refilled.
    pub(crate) refilled_at: Tick,
    /// Its last arrival.
    pub(crate) last_arrival: Tick,
    /// Block I/Os not yet released.
    pub(crate) in_progress: u32,
    /// Until then its tokens are for the class of the highest weight.
    pub(crate) kept_for_top_class_until: Tick,
    /// Units served through other hosts, as reported in this allocation interval.
    pub(crate) reported_by_others: f64,
    /// Mean rate of the same, in units a tick; none before the first report.
    pub(crate) other_hosts_rate: Option<f64>,
    /// This host's quota of the limit, in units a tick; none: an even share.
    pub(crate) quota: Option<f64>,
}

/// The allocation of one volume at one node: a share of the budget of this allocation interval.
#[derive(Default)]
pub(crate) struct Allocation {
    pub(crate) volume: VolumeId,
    /// The entitlement as of the start of this allocation interval.
    pub(crate) entitlement: Entitlement,
    /// Cost still to be spent in this interval; a debt below 0.
    pub(crate) balance: f64,
    /// Cost spent in this interval.
    pub(crate) used: f64,
    /// Units queued as the interval began.
    pub(crate) queued: f64,
    /// Decaying maximum of the cost spent per interval.
    pub(crate) history: f64,
    /// Was granted more than its base for this interval.
    pub(crate) bursting: bool,
    /// The dispatch pass in which it was last refused; 0: in none, since passes count from 1.
    pub(crate) refused_in_pass: u64,
}

/// An attempt in flight at a node.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) sent_at: Tick,
    pub(crate) bio: BioId,
}

/// A storage node, as this host knows it.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) shard: u32,
    pub(crate) zone: u32,
    /// Takes new block I/Os.
    pub(crate) active: bool,
    /// Since when it does not; none while it is active.
    pub(crate) inactive_since: Option<Tick>,
    /// Start of its process; 0: long ago, so that no slow start applies.
    pub(crate) started_at: Tick,
    /// Nothing is sent before this time.
    pub(crate) paused_until: Tick,
    /// Units sent since its start.
    pub(crate) slow_start_units: SlidingSum,
    /// Units sent in this allocation interval.
    pub(crate) interval_units: f64,
    /// Mean rate at which this host sends to it while it is well, in units a tick.
    pub(crate) usual_rate: f64,
    /// A random number above 0 and up to 1, and until when it stands.
    pub(crate) slow_start_draw: f64,
    pub(crate) slow_start_draw_until: Tick,
    /// Attempts in flight, oldest first.
    pub(crate) in_flight: Vec<Attempt>,
    /// The latest sending time of an attempt that completed.
    pub(crate) latest_completed_sent_at: Tick,
    /// Decaying count of the answers: about the last second's.
    pub(crate) recent_answers: f64,
    /// Failed attempts since the last that completed.
    pub(crate) consecutive_failures: u32,
    /// The most attempts that may be in flight; below 1, attempts are spaced by pauses.
    pub(crate) concurrency_window: f64,
    /// Multiplier on the cost of block I/Os.
    pub(crate) cost_multiplier: f64,
    /// Median latency in ticks a unit.
    pub(crate) unit_latency: RecentMedian<RECENT_ANSWERS>,
    /// Mean latency in ticks.
    pub(crate) mean_latency: f64,
    /// Budget of an allocation interval beyond the bases of all volumes.
    pub(crate) extra_budget: f64,
    /// What is left of the interval's pool for volumes without a balance.
    pub(crate) pool: f64,
    /// Block I/Os that wait here to be sent to it.
    pub(crate) queue: Vec<BioId>,
    /// One for each volume that has or had a block I/O here.
    pub(crate) allocations: Vec<Allocation>,
}

impl Scheduler {
    /// The I/O class of a block I/O in progress.
    pub(crate) fn class(&self, request: &Request) -> &ClassPolicy {
        &self.classes[request.bio.class as usize]
    }
}

impl Node {
    /// Index of a volume's allocation; each volume with a block I/O queued here has one.
    pub(crate) fn allocation_index(&self, volume: VolumeId) -> usize {
        self.allocations
            .iter()
            .position(|a| a.volume == volume)
            .expect("made when queued")
    }
}

/// The first attempt of a block I/O that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) sent_at: Tick,
    pub(crate) node: NodeId,
}

/// A block I/O in progress.
#[derive(Clone, Copy, Default)]
pub(crate) struct Request {
    pub(crate) bio: Bio,
    /// The node that it is queued for or was last sent to.
    pub(crate) node: Option<NodeId>,
    /// When its latency objective ends.
    pub(crate) objective_end: Tick,
    /// When it is shed if it was never sent.
    pub(crate) unsent_until: Tick,
    pub(crate) attempts: u32,
    /// An attempt is in flight.
    pub(crate) in_flight: bool,
    /// It needs no further attempt: it is answered, or its client disconnected.
    pub(crate) finished: bool,
    /// Its units are taken from the volume's tokens.
    pub(crate) charged: bool,
    pub(crate) possible_run: Option<PossibleRun>,
}

/// An ordering key in use.
#[derive(Default)]
pub(crate) struct OrderingKey {
    /// Its ordered block I/Os; only the first may be sent.
    pub(crate) queue: KeyQueue,
    /// Block I/Os that name it.
    pub(crate) users: u32,
    /// Until then no other block I/O of the key starts; 0: no attempt was cut off, the key does not cool down.
    pub(crate) cooldown_until: Tick,
}

/// A block I/O that was shed, by which its client's retry is known.
pub(crate) struct ShedRecord {
    pub(crate) volume: VolumeId,
    pub(crate) deadline: Tick,
    pub(crate) objective_end: Tick,
}

/// Latencies over all nodes.
#[derive(Default)]
pub(crate) struct FleetLatency {
    /// Mean latency in ticks.
    pub(crate) mean: f64,
    /// The least that the mean was of late.
    pub(crate) best: f64,
    /// Admission threshold that late answers raise, as a fraction of the typical priority.
    pub(crate) threshold: f64,
}

/// Decaying counts of the block I/Os for warm nodes, and of those that were sent to them.
#[derive(Default)]
pub(crate) struct WarmDemand {
    pub(crate) sent: f64,
    pub(crate) total: f64,
}

/// The schedule on which the endpoint list is polled.
#[derive(Default)]
pub(crate) struct PollSchedule {
    /// `Tick::MAX` while none is due.
    pub(crate) next_poll: Tick,
    /// When the last poll was made, if nothing has been received since.
    pub(crate) pending_since: Option<Tick>,
    /// Span over which the hosts' polls are spread.
    pub(crate) spread: Tick,
    /// The most ticks from a failed poll to the next.
    pub(crate) max_interval: Tick,
    /// Wait after the next failure; 0 after a success, when it is drawn anew.
    pub(crate) backoff: Tick,
    /// The watch went silent, and nothing has been received since.
    pub(crate) silent: bool,
}

/// The limits of slow start.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Units in an overload window that are an even share of what a node bears just after its start.
    pub(crate) even_share: f64,
    /// Units in an overload window for a usual rate of one unit a tick, just after the start.
    pub(crate) per_usual_rate: f64,
    /// Fraction of its full rate at which a node starts.
    pub(crate) initial_rate: f64,
    /// Ticks until it reaches its full rate.
    pub(crate) duration: Tick,
    pub(crate) overload_window: Tick,
}

/// Units that this host may send to a node in its slow start.
pub(crate) struct SlowStartCapacity {
    /// Still to be sent in the present overload window.
    pub(crate) left: f64,
    /// Its whole share of that window; 0 where there is no bound.
    pub(crate) share: f64,
}

/// The retry budget: limits, and what was counted against them.
#[derive(Default)]
pub(crate) struct RetryBudget {
    pub(crate) min: f64,
    pub(crate) ratio: f64,
    /// 0: no budget.
    pub(crate) window: Tick,
    pub(crate) arrivals: SlidingSum,
    pub(crate) retries: SlidingSum,
}

impl From<&SchedulerConfig> for RetryBudget {
    fn from(config: &SchedulerConfig) -> Self {
        RetryBudget {
            min: config.retry_budget_min,
            ratio: config.retry_budget_ratio,
            window: config.retry_budget_window,
            ..RetryBudget::default()
        }
    }
}

/// What a volume is entitled to at one node in one allocation interval.
#[derive(Clone, Copy, Default)]
pub(crate) struct Entitlement {
    /// Cost that its reservation stands for.
    pub(crate) base: f64,
    /// The most cost that its limit allows.
    pub(crate) ceiling: f64,
    pub(crate) weight: f64,
}

/// A queued block I/O that may be sent.
pub(crate) struct Candidate {
    pub(crate) priority: f64,
    pub(crate) objective_end: Tick,
    /// Its index in the node's queue.
    pub(crate) position: usize,
}
