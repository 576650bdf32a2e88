//! The scheduler of one host: what happens on each event.
//!
//! Each concern has its own type, which makes the decisions and owns the state. This module calls these types in the
//! order that each event requires. Steps that involve several types are in submodules: `node_selection` and `dispatch`
//! send block I/Os to nodes, `outcomes` and `final_answers` process the results, `endpoints` applies the endpoint list,
//! and `intervals` runs the work of an allocation interval.
mod dispatch;
mod endpoints;
mod final_answers;
mod intervals;
mod node_selection;
mod outcomes;

use super::backoff;
use super::concurrency_window::ConcurrencyWindow;
use super::constants::ALLOCATION_INTERVAL;
use super::endpoint_poller::EndpointPoller;
use super::fleet_latency::FleetLatency;
use super::io_classes::{self, ClassPolicy, IoClasses};
use super::lost_responses::LostResponseDetector;
use super::node::{Node, NodeLimits};
use super::ordering_keys::OrderingKeys;
use super::priority::PriorityRules;
use super::rate_limiter::RateLimiter;
use super::request::Request;
use super::retry_budget::RetryBudget;
use super::shed_history::ShedHistory;
use super::slow_start::SlowStart;
use super::timers::{AllocationTimer, HostTimer};
use crate::interface::{
    AttemptOutcome, AttemptResult, Bio, BioId, EndpointEvent, Host, NodeEndpoint, NodeId,
    NodeStatus, Plan, SchedulerConfig, Tick, VolumeId,
};
use crate::pcg::Pcg;
use crate::slab::Slab;
use crate::timer_queue::TimerQueue;

/// The scheduler of one host: its queues and budgets, and the state of nodes and volumes.
///
/// Call its `on_*` methods as events occur, each with the current time and the [`Host`] that carries out the actions.
pub struct Scheduler {
    started_at: Tick,
    rng: Pcg,
    classes: IoClasses,
    requests: Slab<BioId, Request>,
    ordering_keys: OrderingKeys,
    rate_limiter: RateLimiter,
    priority_rules: PriorityRules,
    retry_budget: RetryBudget,
    shed_history: ShedHistory,
    answer_rules: AnswerRules,
    nodes: Slab<NodeId, Node>,
    node_limits: NodeLimits,
    fleet_latency: FleetLatency,
    slow_start: SlowStart,
    lost_responses: LostResponseDetector,
    endpoint_poller: EndpointPoller,
    allocation_timer: AllocationTimer,
    /// Times at which a block I/O may have to be shed, or at which other block I/Os may be sent because an attempt
    /// counts as lost or a key's cooldown ends.
    request_timers: TimerQueue,
    host_timer: HostTimer,
}

/// Rules from the configuration for ending block I/Os.
struct AnswerRules {
    /// Retry-After of shed block I/Os; `None` if they state none.
    retry_after: Option<Tick>,
    /// Whether block I/Os that were never sent are shed before half of the time to their deadline has elapsed.
    shed_at_half_deadline: bool,
    /// Whether attempts may be cancelled.
    allow_cancel: bool,
}

impl AnswerRules {
    fn new(config: &SchedulerConfig) -> Self {
        // In the configuration, 0 means that no maximum is set.
        let max_retry_after = Some(config.max_retry_after).filter(|time| *time > 0);
        let retry_after = max_retry_after.map(|longest| longest.min(ALLOCATION_INTERVAL));
        AnswerRules {
            retry_after: retry_after.filter(|_| config.allow_retry_after),
            shed_at_half_deadline: config.shed_at_half_deadline,
            allow_cancel: config.allow_cancel,
        }
    }
}

impl Scheduler {
    /// Creates a scheduler that starts at `now` and knows no nodes. `seed` determines all random numbers.
    #[must_use]
    pub fn new(config: &SchedulerConfig, seed: u64, now: Tick) -> Self {
        let hosts = f64::from(config.hosts.max(1));
        let shortest_objective = io_classes::shortest_objective(&config.classes);
        let mean_io_units = if config.mean_io_units > 0.0 {
            config.mean_io_units
        } else {
            1.0
        };
        let max_io_units = config.max_io_units.max(1.0);
        let rng = Pcg::new(seed);
        Scheduler {
            started_at: now,
            classes: IoClasses::new(config),
            requests: Slab::default(),
            ordering_keys: OrderingKeys::new(config),
            rate_limiter: RateLimiter::new(config, max_io_units, now),
            priority_rules: PriorityRules::new(config, mean_io_units),
            retry_budget: RetryBudget::new(config),
            shed_history: ShedHistory::default(),
            answer_rules: AnswerRules::new(config),
            nodes: Slab::default(),
            node_limits: NodeLimits {
                shortest_objective,
                mean_io_units,
                initial_window: ConcurrencyWindow::initial(hosts),
                max_backoff: backoff::max_backoff(hosts),
                load_by_other_hosts: 1.0 - 1.0 / hosts.sqrt(),
            },
            fleet_latency: FleetLatency::new(shortest_objective),
            slow_start: SlowStart::new(config, hosts, max_io_units),
            lost_responses: LostResponseDetector::default(),
            endpoint_poller: EndpointPoller::new(config, now, &rng),
            allocation_timer: AllocationTimer::new(now),
            request_timers: TimerQueue::default(),
            host_timer: HostTimer::default(),
            rng,
        }
    }

    /// Returns the Retry-After of shed block I/Os, in ticks, for requests that the host sheds before their arrival at the
    /// scheduler. `None` if the configuration allows none.
    #[must_use]
    pub fn shed_retry_after(&self) -> Option<Tick> {
        self.answer_rules.retry_after
    }

    /// Handles the arrival of a block I/O.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Tick, bio: Bio) {
        self.retry_budget.record_arrival(now);
        self.rate_limiter.begin_block_io(now, &bio);
        let objective_end = self.admit(now, bio);
        if objective_end <= now {
            self.give_up(host, now, bio.id);
        } else if let Some(node) = self.enqueue_or_give_up(host, now, bio.id) {
            self.dispatch(host, now, node);
        }
        self.arm_timer(host, now);
    }

    /// Handles the end of an attempt. Ignored if the block I/O has no attempt in flight, even if its index has been
    /// reused.
    pub fn on_attempt_finished(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        id: BioId,
        outcome: &AttemptOutcome,
    ) {
        let in_flight = |request: &&mut Request| request.attempt_in_flight().is_some();
        let Some(request) = self.requests.get_mut(id).filter(in_flight) else {
            return;
        };
        request.end_attempt();
        let was_finished = request.is_finished();
        let bio = *request.bio();
        let completed = outcome.result == AttemptResult::Completed;
        self.record_outcome(now, &bio, outcome);
        self.record_possible_run(now, id, outcome);
        if completed {
            self.rate_limiter
                .record_other_hosts_usage(bio.volume, outcome.units_by_other_hosts);
        }
        self.start_key_cooldown(now, &bio, outcome.result);
        self.detect_lost_responses(host, now, outcome);
        if was_finished || outcome.client_answered || completed {
            self.finish(host, now, id);
        } else {
            self.retry_or_give_up(host, now, id);
        }
        self.dispatch(host, now, outcome.node);
        self.arm_timer(host, now);
    }

    /// Handles a block I/O whose client has disconnected or has been answered by the host.
    pub fn on_disconnect(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| !request.is_finished()) {
            self.finish(host, now, id);
        }
        self.arm_timer(host, now);
    }

    /// Handles the expiry of the timer that was set with [`Host::set_timer`].
    pub fn on_timer(&mut self, host: &mut dyn Host, now: Tick) {
        self.host_timer.on_fired(now);
        if self.endpoint_poller.take_due(now) {
            host.poll_endpoints();
        }
        self.give_up_overdue(host, now);
        if self.allocation_timer.take_due(now) {
            self.start_allocation_interval(host, now);
        } else {
            self.dispatch_all(host, now);
        }
        self.arm_timer(host, now);
    }

    /// Handles an update of the endpoint list, or a failure to receive one.
    pub fn on_endpoints(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        event: EndpointEvent,
        endpoints: &[NodeEndpoint],
    ) {
        match event {
            EndpointEvent::PollFailed | EndpointEvent::WatchSilent => {
                self.endpoint_poller.on_failure(now, event, &self.rng);
            }
            EndpointEvent::Incremental | EndpointEvent::FullSnapshot | EndpointEvent::Cached => {
                if event != EndpointEvent::Cached {
                    self.endpoint_poller.on_success();
                }
                self.update_nodes(now, event, endpoints);
                self.requeue_from_inactive_nodes(host, now);
                self.dispatch_all(host, now);
            }
        }
        self.arm_timer(host, now);
    }

    /// Handles a move of the endpoint list to another discovery service, which all hosts learn of at about the same
    /// time.
    pub fn on_discovery_moved(&mut self, host: &mut dyn Host, now: Tick) {
        self.endpoint_poller.on_moved(now, &self.rng);
        self.arm_timer(host, now);
    }

    /// Sets this host's quota of a volume's rate limit, in units per second. With `None`, the quota is an even share.
    pub fn on_quota_changed(&mut self, now: Tick, id: VolumeId, quota: Option<f64>) {
        self.rate_limiter.set_quota(now, id, quota);
    }

    /// Replaces the plans, and moves the given volumes to other plans. Bases and ceilings of allocations change with
    /// the next allocation interval.
    pub fn on_plans_changed(&mut self, now: Tick, plans: &[Plan], moved: &[(VolumeId, u16)]) {
        self.rate_limiter.set_plans(now, plans, moved);
    }

    /// Returns the status of a node as seen by this host, for monitoring.
    #[must_use]
    pub fn node_status(&self, now: Tick, id: NodeId) -> Option<NodeStatus> {
        let node = self.nodes.get(id)?;
        Some(node.status(now, &self.slow_start))
    }

    /// Returns the I/O class of a block I/O in progress.
    fn class(&self, request: &Request) -> &ClassPolicy {
        self.classes.of(request.bio())
    }

    /// Registers a block I/O and returns the end of its latency objective. A client's retry of a shed block I/O keeps
    /// the objective of the original request.
    fn admit(&mut self, now: Tick, bio: Bio) -> Tick {
        let class = self.classes.of(&bio);
        let original_end = self.shed_history.objective_end_of_original(&bio);
        let objective_end = original_end.unwrap_or(now + class.latency_objective());
        let at_half_deadline = self.answer_rules.shed_at_half_deadline;
        let request = Request::new(now, bio, objective_end, at_half_deadline);
        self.requests.get_or_insert_with(bio.id, || request);
        if let Some(key) = bio.key {
            self.ordering_keys.join(key, bio.id, class.is_ordered());
        }
        request.objective_end()
    }

    /// Arms the host's timer for the earliest time at which something is due.
    fn arm_timer(&mut self, host: &mut dyn Host, now: Tick) {
        let nodes = self.nodes.iter();
        let pause_end = nodes.filter_map(|(_, node)| node.pause_end_if_queued(now));
        let others = [
            self.request_timers.next(),
            self.endpoint_poller.next_poll(),
            pause_end.min(),
        ];
        let first = self.allocation_timer.next();
        let due = others.into_iter().flatten().fold(first, Tick::min);
        self.host_timer.arm(host, now, due);
    }
}
