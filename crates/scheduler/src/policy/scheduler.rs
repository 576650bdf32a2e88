//! The scheduler of one host: what happens at each event.
//!
//! Each concern has a type of its own, which decides and owns its state. This file calls them in the order of each
//! event. Steps that need several of them are in the submodules: `node_selection` and `dispatch` on the way to a node,
//! `outcomes` and `final_answers` on the way back, `endpoints` for the endpoint list, `intervals` for what is due by
//! time.
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

/// The scheduler of one host: queues, budgets, and what is known of nodes and volumes.
///
/// Call its `on_*` methods as events happen, each with the present time and the [`Host`] that carries the actions out.
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
    /// Times at which block I/Os may have to be shed, or nodes be free for others.
    request_timers: TimerQueue,
    host_timer: HostTimer,
}

/// How block I/Os are ended, by the configuration.
struct AnswerRules {
    /// The Retry-After of shed block I/Os, if they name one.
    retry_after: Option<Tick>,
    /// Block I/Os that were never sent are shed before half of their time to the deadline is over.
    shed_at_half_deadline: bool,
    /// Attempts may be cancelled.
    allow_cancel: bool,
}

impl AnswerRules {
    fn new(config: &SchedulerConfig) -> Self {
        // The configuration has 0 where it names no longest time.
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
    /// A scheduler that starts at `now`, with no node known. The seed decides all that it draws at random.
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

    /// A block I/O has arrived.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Tick, bio: Bio) {
        self.retry_budget.record_arrival(now);
        self.rate_limiter.begin_block_io(now, &bio);
        let objective_end = self.admit(now, bio);
        if objective_end <= now {
            self.give_up(host, now, bio.id);
        } else if let Some(node) = self.place(host, now, bio.id) {
            self.dispatch(host, now, node);
        }
        self.arm_timer(host, now);
    }

    /// An attempt is over. Ignored if its block I/O has no attempt in flight, also where the index is reused.
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
        self.cool_key_down(now, &bio, outcome.result);
        self.watch_for_lost_responses(host, now, outcome);
        if was_finished || outcome.client_answered || completed {
            self.finish(host, now, id);
        } else {
            self.retry_or_give_up(host, now, id);
        }
        self.dispatch(host, now, outcome.node);
        self.arm_timer(host, now);
    }

    /// The client has disconnected, or the host has answered it.
    pub fn on_disconnect(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| !request.is_finished()) {
            self.finish(host, now, id);
        }
        self.arm_timer(host, now);
    }

    /// The timer that [`Host::set_timer`] set has fired.
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

    /// The endpoint list was received, or could not be.
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

    /// Another discovery service serves the endpoint list from now on; all hosts learn it at about one time.
    pub fn on_discovery_moved(&mut self, host: &mut dyn Host, now: Tick) {
        self.endpoint_poller.on_moved(now, &self.rng);
        self.arm_timer(host, now);
    }

    /// This host's quota of a volume's limit from now on, in units a second; none: an even share.
    pub fn on_quota_changed(&mut self, now: Tick, id: VolumeId, quota: Option<f64>) {
        self.rate_limiter.set_quota(now, id, quota);
    }

    /// The plans from now on, and the volumes that change to another one. Bases and ceilings of allocations follow with
    /// the next interval.
    pub fn on_plans_changed(&mut self, now: Tick, plans: &[Plan], moved: &[(VolumeId, u16)]) {
        self.rate_limiter.set_plans(now, plans, moved);
    }

    /// A node as this host sees it, for monitoring.
    #[must_use]
    pub fn node_status(&self, now: Tick, id: NodeId) -> Option<NodeStatus> {
        let node = self.nodes.get(id)?;
        Some(node.status(now, &self.slow_start))
    }

    /// The I/O class of a block I/O in progress.
    fn class(&self, request: &Request) -> &ClassPolicy {
        self.classes.of(request.bio())
    }

    /// Takes a block I/O in, and says when its latency objective ends. A client's retry keeps the objective of its
    /// first try.
    fn admit(&mut self, now: Tick, bio: Bio) -> Tick {
        let class = self.classes.of(&bio);
        let first_try = self.shed_history.objective_end_of_first_try(&bio);
        let objective_end = first_try.unwrap_or(now + class.latency_objective());
        let at_half_deadline = self.answer_rules.shed_at_half_deadline;
        let request = Request::new(now, bio, objective_end, at_half_deadline);
        self.requests.get_or_insert_with(bio.id, || request);
        if let Some(key) = bio.key {
            self.ordering_keys.join(key, bio.id, class.is_ordered());
        }
        request.objective_end()
    }

    /// Arms the host's timer for the next thing that is due.
    fn arm_timer(&mut self, host: &mut dyn Host, now: Tick) {
        let nodes = self.nodes.iter();
        let pause_end = nodes.filter_map(|(_, node)| node.awaited_pause_end(now));
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
