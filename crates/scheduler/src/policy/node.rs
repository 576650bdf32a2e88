//! A storage node, as seen by this host.
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

/// Ticks of inactivity after which a node is forgotten (60 s): longer than any outage.
const FORGET_AFTER: Tick = 600_000;
/// Pause above which a node is selected only as a last resort, as a fraction of the shortest objective.
const LONG_PAUSE: f64 = 0.25;

/// Configured limits that are the same for all nodes.
pub(super) struct NodeLimits {
    /// The shortest latency objective of all classes, in ticks.
    pub(super) shortest_objective: f64,
    /// Mean size of a block I/O, in units.
    pub(super) mean_io_units: f64,
    /// Initial concurrency window of a node.
    pub(super) initial_window: ConcurrencyWindow,
    /// Maximum pause after consecutive failures, in ticks.
    pub(super) max_backoff: Tick,
    /// Fraction of a node's load that is assumed to come from other hosts.
    pub(super) load_by_other_hosts: f64,
}

/// Whether a node accepts new block I/Os, and since when it has not.
#[derive(Default)]
pub(super) struct Availability {
    active: bool,
    /// Time of the allocation interval in which the node was first found inactive; `None` if it was active in the last
    /// one.
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

/// A storage node, as seen by this host.
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

/// Expected wait of a block I/O at a node. The variants are in order of preference.
#[derive(PartialEq, PartialOrd)]
pub(super) enum ExpectedWait {
    /// Expected wait in ticks, estimated from this host's own attempts.
    Ticks(f64),
    /// The node is selected only if there is no other.
    LastResort,
}

impl Node {
    /// Creates the state of a node that is not yet known.
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

    /// Returns the shard and the zone of the node.
    pub(super) fn location(&self) -> Location {
        self.location
    }

    /// Returns whether the node accepts new block I/Os.
    pub(super) fn is_active(&self) -> bool {
        self.availability.active
    }

    /// Returns whether the node is active and holds the shard. Any node may store a new object, whose shard is `None`.
    pub(super) fn serves(&self, shard: Option<u32>) -> bool {
        self.is_active() && shard.is_none_or(|shard| self.location.shard == shard)
    }

    /// Returns the attempts in flight.
    pub(super) fn in_flight(&self) -> &AttemptsInFlight {
        &self.in_flight
    }

    /// Returns the block I/Os queued for the node.
    pub(super) fn queue(&self) -> &NodeQueue {
        &self.queue
    }

    /// Returns the block I/Os queued for the node, for modification.
    pub(super) fn queue_mut(&mut self) -> &mut NodeQueue {
        &mut self.queue
    }

    /// Returns the budget and its allocations to volumes.
    pub(super) fn budget(&self) -> &NodeBudget {
        &self.budget
    }

    /// Returns the budget and its allocations to volumes, for modification.
    pub(super) fn budget_mut(&mut self) -> &mut NodeBudget {
        &mut self.budget
    }

    /// Returns the mean latency in ticks.
    pub(super) fn mean_latency(&self) -> f64 {
        self.latency.mean()
    }

    /// Returns the rate at which this host usually sends to the node.
    pub(super) fn usual_rate(&self) -> f64 {
        self.usual_rate.get()
    }

    /// Records the location of the node and whether it is active, as stated in the endpoint list.
    pub(super) fn set_endpoint(&mut self, location: Location, active: bool) {
        self.location = location;
        self.availability.active = active;
    }

    /// Marks the node as not accepting new block I/Os.
    pub(super) fn deactivate(&mut self) {
        self.availability.active = false;
    }

    /// Raises the usual rate to the rate at which this host sends to another node of the same shard.
    pub(super) fn raise_usual_rate(&mut self, rate: f64) {
        self.usual_rate.raise_to(rate);
    }

    /// Returns whether the node's process has restarted since its recorded start. `None` means that it started long
    /// ago.
    pub(super) fn is_restarted(&self, started_at: Option<Tick>) -> bool {
        self.slow_start.is_before(started_at)
    }

    /// Handles a restart of the node's process: discards what was learned of the previous process.
    pub(super) fn restart(&mut self, started_at: Option<Tick>, limits: &NodeLimits) {
        self.slow_start.restart(started_at);
        self.window = limits.initial_window;
        self.cost_multiplier.reset();
        self.budget.raise_to_minimum(limits.mean_io_units);
    }

    /// Pauses the node, so that nothing is sent to it before `end`.
    pub(super) fn pause_until(&mut self, end: Tick) {
        self.backoff.pause_until(end);
    }

    /// Counts this host's even share of the node's slow start as used.
    pub(super) fn count_share_as_spent(&mut self, now: Tick, slow_start: &SlowStart) {
        slow_start.count_share_as_spent(now, &mut self.slow_start);
    }

    /// Returns whether the node has been up for a long time or has reached its full rate.
    pub(super) fn is_warm(&self, now: Tick, slow_start: &SlowStart) -> bool {
        slow_start.is_warm(now, &self.slow_start)
    }

    /// Returns what this host may still send to the node in its slow start, or `None` if there is no limit.
    pub(super) fn slow_start_capacity(
        &mut self,
        now: Tick,
        slow_start: &SlowStart,
        rng: &Pcg,
    ) -> Option<SlowStartCapacity> {
        slow_start.capacity(now, &mut self.slow_start, self.usual_rate.get(), rng)
    }

    /// Returns the end of the node's pause, if block I/Os are queued for the node.
    pub(super) fn pause_end_if_queued(&self, now: Tick) -> Option<Tick> {
        if self.queue.is_empty() {
            return None;
        }
        self.backoff.pause_end(now)
    }

    /// Returns whether the pause and the concurrency window allow an attempt now. While responses are being lost,
    /// attempts that count as lost do not use up the window.
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

    /// Returns whether the node has nothing in flight, or answers so fast that more may be sent.
    pub(super) fn is_idle_or_fast(&self, limits: &NodeLimits) -> bool {
        let fast = self.latency.mean() < WIDEN_BELOW * limits.shortest_objective;
        self.in_flight.is_empty() || fast
    }

    /// Returns how long an attempt may take at the node before it counts as lost.
    pub(super) fn lost_after(&self, limits: &NodeLimits) -> Tick {
        self.latency.lost_after(limits.shortest_objective)
    }

    /// Returns the cost of a block I/O at the node.
    pub(super) fn cost(&self, units: f64) -> f64 {
        units * self.cost_multiplier.get()
    }

    /// Returns the excess of the mean latency over the lowest recent mean of all nodes, as a fraction of the shortest
    /// objective.
    pub(super) fn latency_excess(&self, limits: &NodeLimits, fleet: &FleetLatency) -> f64 {
        (self.latency.mean() - fleet.lowest_recent_mean()) / limits.shortest_objective
    }

    /// Returns the weight of this host's own load in a high latency. A wide window and many recent answers mean that
    /// this host causes the latency, rather than other hosts.
    pub(super) fn own_load_weight(&self) -> f64 {
        self.window.size().powi(2) * self.latency.recent_answers().max(1.0)
    }

    /// Returns the expected wait of a block I/O, estimated from this host's own attempts. The latency is at least the
    /// age of the oldest attempt in flight. A node is a last resort if it lacks the slow start capacity for these units
    /// or is paused for a long time.
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

    /// Records that an attempt is sent.
    pub(super) fn record_sent(&mut self, now: Tick, bio: &Bio) {
        self.in_flight.add(now, bio.id);
        self.usual_rate.record_sent(bio.units);
        self.slow_start.record_sent(now, bio.units);
    }

    /// Removes the finished attempt of a block I/O. Returns whether the attempts in flight, including it, used the
    /// whole window.
    pub(super) fn remove_attempt(&mut self, bio: BioId) -> bool {
        let window_was_full = self.window.was_used_up(self.in_flight.count());
        self.in_flight.remove(bio);
        window_was_full
    }

    /// Records a completed attempt.
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

    /// Records a failed attempt, and the latency that the failure implies.
    pub(super) fn record_failure(&mut self, implied_latency: f64) {
        self.latency.record_failure(implied_latency);
        self.window.on_failure();
        self.backoff.record_failure();
    }

    /// Pauses the node after an attempt. A window below one is implemented as a pause after each answer, during which
    /// the node serves other hosts.
    pub(super) fn pause_after_attempt(&mut self, now: Tick, limits: &NodeLimits) {
        let time_of_attempt = self.latency.mean().min(limits.shortest_objective);
        let spacing = (time_of_attempt * self.window.spacing_factor()) as Tick;
        self.backoff
            .pause_after_attempt(now, spacing, limits.max_backoff);
    }

    /// Ends an allocation interval: updates the latency estimate, the window of an idle node and the usual rate.
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
        let fast = self.latency.mean() < NARROW_ABOVE * limits.shortest_objective;
        let no_failures = self.backoff.consecutive_failures() == 0;
        let healthy = fast && no_failures && self.is_warm(now, slow_start);
        self.usual_rate.end_interval(healthy, host_age);
    }

    /// Starts an allocation interval, given the volume and the units of each queued block I/O and the entitlement of
    /// each volume. The budget increases if block I/Os are queued although the node answers in time, which means that
    /// the budget limits them.
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

    /// Ends an allocation interval for the node's availability. Returns whether the node may be forgotten: it has been
    /// inactive for a long time, and no block I/O is queued or in flight.
    pub(super) fn is_forgettable(&mut self, now: Tick) -> bool {
        let long_inactive = self.availability.end_interval(now);
        long_inactive && self.in_flight.is_empty() && self.queue.is_empty()
    }

    /// Returns the status for operators. No decision depends on it.
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
