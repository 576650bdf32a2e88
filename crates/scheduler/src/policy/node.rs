//! A storage node, as this host knows it.
use super::backoff::Backoff;
use super::concurrency_window::{ConcurrencyWindow, NARROW_ABOVE, WIDEN_BELOW};
use super::cost_multiplier::CostMultiplier;
use super::fleet_latency::FleetLatency;
use super::idempotency::Location;
use super::latency_estimate::LatencyEstimate;
use super::lost_responses::AttemptsInFlight;
use super::node_budget::{Entitlement, NodeBudget};
use super::node_queue::NodeQueue;
use super::slow_start::{SlowStart, SlowStartCapacity, SlowStartState};
use super::usual_rate::UsualRate;
use crate::interface::{AttemptOutcome, Bio, BioId, NodeStatus, Tick, VolumeId};
use crate::pcg::Pcg;

/// Ticks of inactivity after which a node is forgotten: longer than any outage.
const FORGET_AFTER: Tick = 600_000;
/// Fraction of the shortest objective: a node that is paused for longer is chosen last.
const LONG_PAUSE: f64 = 0.25;

/// What all nodes have in common, by the configuration.
pub(super) struct NodeLimits {
    /// The shortest latency objective of all classes, in ticks.
    pub(super) shortest_objective: f64,
    /// Mean units of a block I/O.
    pub(super) mean_io_units: f64,
    /// The window of a node not yet known.
    pub(super) initial_window: ConcurrencyWindow,
    /// The longest pause after failures in a row, in ticks.
    pub(super) max_backoff: Tick,
    /// Fraction of a node's load that is assumed to come from the other hosts.
    pub(super) load_by_other_hosts: f64,
}

/// Whether a node takes new block I/Os.
#[derive(Default)]
pub(super) struct Availability {
    active: bool,
    /// The allocation interval in which it was first seen inactive; none if it was active in the last one.
    inactive_since: Option<Tick>,
}

impl Availability {
    /// Ends an allocation interval. Returns whether the node has been inactive for so long that it may be forgotten.
    fn end_interval(&mut self, now: Tick) -> bool {
        if self.active {
            self.inactive_since = None;
            return false;
        }
        let since = *self.inactive_since.get_or_insert(now);
        now - since > FORGET_AFTER
    }
}

/// A storage node, as this host knows it.
pub(super) struct Node {
    location: Location,
    availability: Availability,
    slow_start: SlowStartState,
    usual_rate: UsualRate,
    in_flight: AttemptsInFlight,
    backoff: Backoff,
    window: ConcurrencyWindow,
    latency: LatencyEstimate,
    cost_multiplier: CostMultiplier,
    budget: NodeBudget,
    queue: NodeQueue,
}

/// How long a block I/O is expected to wait at a node. The variants are in the order in which nodes are preferred.
#[derive(PartialEq, PartialOrd)]
pub(super) enum ExpectedWait {
    /// In ticks, as far as this host's counts tell.
    Ticks(f64),
    /// The node is chosen only if there is no other.
    LastResort,
}

impl Node {
    /// A node not yet known.
    pub(super) fn new(limits: &NodeLimits) -> Self {
        Node {
            location: Location::default(),
            availability: Availability::default(),
            slow_start: SlowStartState::default(),
            usual_rate: UsualRate::default(),
            in_flight: AttemptsInFlight::default(),
            backoff: Backoff::default(),
            window: limits.initial_window,
            latency: LatencyEstimate::default(),
            cost_multiplier: CostMultiplier::default(),
            budget: NodeBudget::default(),
            queue: NodeQueue::default(),
        }
    }

    /// Its shard and zone.
    pub(super) fn location(&self) -> Location {
        self.location
    }

    /// Whether it takes new block I/Os.
    pub(super) fn is_active(&self) -> bool {
        self.availability.active
    }

    /// Whether it is active and holds a shard; none: a new object, which any node may take.
    pub(super) fn serves(&self, shard: Option<u32>) -> bool {
        self.is_active() && shard.is_none_or(|shard| self.location.shard == shard)
    }

    /// The attempts in flight.
    pub(super) fn in_flight(&self) -> &AttemptsInFlight {
        &self.in_flight
    }

    /// The block I/Os that wait here to be sent to it.
    pub(super) fn queue(&self) -> &NodeQueue {
        &self.queue
    }

    /// The block I/Os that wait here to be sent to it.
    pub(super) fn queue_mut(&mut self) -> &mut NodeQueue {
        &mut self.queue
    }

    /// The budget, and its allocations to volumes.
    pub(super) fn budget(&self) -> &NodeBudget {
        &self.budget
    }

    /// The budget, and its allocations to volumes.
    pub(super) fn budget_mut(&mut self) -> &mut NodeBudget {
        &mut self.budget
    }

    /// Mean latency in ticks.
    pub(super) fn mean_latency(&self) -> f64 {
        self.latency.mean()
    }

    /// The rate at which this host usually sends to it.
    pub(super) fn usual_rate(&self) -> f64 {
        self.usual_rate.get()
    }

    /// It is listed at this place, and takes new block I/Os or not.
    pub(super) fn set_endpoint(&mut self, location: Location, active: bool) {
        self.location = location;
        self.availability.active = active;
    }

    /// It takes no new block I/Os.
    pub(super) fn deactivate(&mut self) {
        self.availability.active = false;
    }

    /// This host sent to another node of its shard at this rate.
    pub(super) fn raise_usual_rate(&mut self, rate: f64) {
        self.usual_rate.raise_to(rate);
    }

    /// Whether its process was started again since what is known of it; `started_at` none: long ago.
    pub(super) fn is_restarted(&self, started_at: Option<Tick>) -> bool {
        self.slow_start.is_before(started_at)
    }

    /// Its process was started anew: what was learned of the former one is dropped.
    pub(super) fn restart(&mut self, started_at: Option<Tick>, limits: &NodeLimits) {
        self.slow_start.restart(started_at);
        self.window = limits.initial_window;
        self.cost_multiplier.reset();
        self.budget.raise_to_minimum(limits.mean_io_units);
    }

    /// Nothing is sent to it before this time.
    pub(super) fn pause_until(&mut self, end: Tick) {
        self.backoff.pause_until(end);
    }

    /// Counts this host's even share of its slow start as spent.
    pub(super) fn count_share_as_spent(&mut self, now: Tick, slow_start: &SlowStart) {
        slow_start.count_share_as_spent(now, &mut self.slow_start);
    }

    /// Whether it has long been up, or has reached its full rate.
    pub(super) fn is_warm(&self, now: Tick, slow_start: &SlowStart) -> bool {
        slow_start.is_warm(now, &self.slow_start)
    }

    /// What this host may still send to it in its slow start; none if there is no bound.
    pub(super) fn slow_start_capacity(
        &mut self,
        now: Tick,
        slow_start: &SlowStart,
        rng: &Pcg,
    ) -> Option<SlowStartCapacity> {
        slow_start.capacity(now, &mut self.slow_start, self.usual_rate.get(), rng)
    }

    /// The end of its pause, if block I/Os wait for it.
    pub(super) fn pause_end_if_queued(&self, now: Tick) -> Option<Tick> {
        if self.queue.is_empty() {
            return None;
        }
        self.backoff.pause_end(now)
    }

    /// Whether an attempt may be sent to it now, by its pause and its concurrency window. While responses are lost,
    /// attempts that count as lost leave room for others.
    pub(super) fn has_room(&self, now: Tick, limits: &NodeLimits, losing_responses: bool) -> bool {
        if self.backoff.pause_end(now).is_some() {
            return false;
        }
        let live = if losing_responses {
            let lost_after = self.lost_after(limits);
            self.in_flight.count_younger_than(now, lost_after)
        } else {
            self.in_flight.count()
        };
        !self.window.is_full(live)
    }

    /// Whether it has nothing to do, or answers so quickly that more may be sent.
    pub(super) fn is_idle_or_quick(&self, limits: &NodeLimits) -> bool {
        let quick = self.latency.mean() < WIDEN_BELOW * limits.shortest_objective;
        self.in_flight.is_empty() || quick
    }

    /// How long an attempt may take here before it counts as lost.
    pub(super) fn lost_after(&self, limits: &NodeLimits) -> Tick {
        self.latency.lost_after(limits.shortest_objective)
    }

    /// The cost of a block I/O here.
    pub(super) fn cost(&self, units: f64) -> f64 {
        units * self.cost_multiplier.get()
    }

    /// By how much its mean latency exceeds the best of late over all nodes, as a fraction of the shortest objective.
    pub(super) fn latency_excess(&self, limits: &NodeLimits, fleet: &FleetLatency) -> f64 {
        (self.latency.mean() - fleet.lowest_recent_mean()) / limits.shortest_objective
    }

    /// How little a high latency here says about load from other hosts: a wide window and many recent answers mean that
    /// the load is this host's own.
    pub(super) fn own_load_weight(&self) -> f64 {
        self.window.size().powi(2) * self.latency.recent_answers().max(1.0)
    }

    /// How long a block I/O may wait here, by this host's counts. An unanswered attempt makes the node count as slow
    /// as the attempt is old. A node without capacity for these units, and one that is paused for long, is avoided.
    pub(super) fn expected_wait(
        &self,
        now: Tick,
        capacity: Option<&SlowStartCapacity>,
        units: f64,
        limits: &NodeLimits,
    ) -> ExpectedWait {
        let long_pause = (limits.shortest_objective * LONG_PAUSE) as Tick;
        let paused_for_long = self.backoff.pause_end(now + long_pause).is_some();
        if paused_for_long || capacity.is_some_and(|capacity| !capacity.fits(units)) {
            return ExpectedWait::LastResort;
        }
        let oldest_age = self.in_flight.age_of_oldest(now) as f64;
        let backlog = (self.in_flight.count() as usize + self.queue.len() + 1) as f64;
        let attempts = f64::from(self.backoff.consecutive_failures() + 1);
        let work = backlog * attempts * (self.latency.mean().max(oldest_age) + 1.0);
        ExpectedWait::Ticks(work / self.window.size())
    }

    /// An attempt is sent.
    pub(super) fn record_sent(&mut self, now: Tick, bio: &Bio) {
        self.in_flight.add(now, bio.id);
        self.usual_rate.record_sent(bio.units);
        self.slow_start.record_sent(now, bio.units);
    }

    /// Removes the attempt of a block I/O that is over. Returns whether the window was used up with it.
    pub(super) fn remove_attempt(&mut self, bio: BioId) -> bool {
        let window_was_full = self.window.was_used_up(self.in_flight.count());
        self.in_flight.remove(bio);
        window_was_full
    }

    /// An attempt completed.
    pub(super) fn record_completion(
        &mut self,
        now: Tick,
        units: f64,
        outcome: &AttemptOutcome,
        window_was_full: bool,
        limits: &NodeLimits,
    ) {
        let latency = outcome.latency as f64;
        self.latency.record_answer(latency);
        self.cost_multiplier.record(latency / units.max(1.0));
        self.backoff.record_success();
        self.in_flight.record_completion(now - outcome.latency);
        self.window.on_completion(
            latency,
            self.latency.mean(),
            window_was_full,
            limits.shortest_objective,
        );
    }

    /// An attempt failed, which implies this latency.
    pub(super) fn record_failure(&mut self, implied_latency: f64) {
        self.latency.record_failure(implied_latency);
        self.window.on_failure();
        self.backoff.record_failure();
    }

    /// Pauses after an attempt. A window below one is kept by a pause after each answer, so that the node works for
    /// other hosts meanwhile.
    pub(super) fn pause_after_attempt(&mut self, now: Tick, limits: &NodeLimits) {
        let time_of_attempt = self.latency.mean().min(limits.shortest_objective);
        let spacing = (time_of_attempt * self.window.spacing_factor()) as Tick;
        self.backoff
            .pause_after_attempt(now, spacing, limits.max_backoff);
    }

    /// Ages by one allocation interval what is known of its latency and its usual rate.
    pub(super) fn end_interval(
        &mut self,
        now: Tick,
        limits: &NodeLimits,
        fleet: &FleetLatency,
        slow_start: &SlowStart,
        host_age: Tick,
    ) {
        self.latency.end_interval();
        if self.in_flight.is_empty() {
            let expected = fleet.expected_when_idle(limits.load_by_other_hosts);
            self.latency.decay_toward(expected);
            self.window.on_idle_interval();
        }
        let quick = self.latency.mean() < NARROW_ABOVE * limits.shortest_objective;
        let no_failures = self.backoff.consecutive_failures() == 0;
        let healthy = quick && no_failures && self.is_warm(now, slow_start);
        self.usual_rate.end_interval(healthy, host_age);
    }

    /// Starts an allocation interval with what is queued, as volumes and units, and with each volume's entitlement.
    /// The budget grows while the node answers in time and the budget is what keeps block I/Os queued.
    pub(super) fn start_interval(
        &mut self,
        limits: &NodeLimits,
        units_of: impl Fn(BioId) -> (VolumeId, f64),
        entitlement: impl Fn(VolumeId) -> Entitlement,
    ) {
        if self.latency.mean() > NARROW_ABOVE * limits.shortest_objective {
            self.budget.decrease(limits.mean_io_units);
        } else if !self.queue.is_empty() {
            self.budget.increase(limits.mean_io_units);
        }
        let queued = self.queue.iter().map(units_of);
        self.budget.start_interval(queued, entitlement);
    }

    /// Ends an allocation interval for its place in the list. Returns whether it may be forgotten: it has long been
    /// inactive, and nothing refers to it.
    pub(super) fn is_forgettable(&mut self, now: Tick) -> bool {
        let long_inactive = self.availability.end_interval(now);
        long_inactive && self.in_flight.is_empty() && self.queue.is_empty()
    }

    /// What is shown to operators; no decision depends on it.
    pub(super) fn status(&self, now: Tick, slow_start: &SlowStart) -> NodeStatus {
        NodeStatus {
            active: self.is_active(),
            in_flight: self.in_flight.count(),
            queued: self.queue.len() as u32,
            concurrency_window: self.window.size(),
            mean_latency: self.latency.mean(),
            cost_multiplier: self.cost_multiplier.get(),
            consecutive_failures: self.backoff.consecutive_failures(),
            warming_up: slow_start.is_warming_up(now, &self.slow_start),
        }
    }
}
