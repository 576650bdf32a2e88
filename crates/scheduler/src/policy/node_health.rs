//! What outcomes tell of nodes: latency, concurrency window, cost, backoff and lost answers.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{AttemptOutcome, AttemptResult, Bio, Host, Idempotency, NodeId, Tick};
use crate::state::{Node, Scheduler};

const COST_MULTIPLIER_UP: f64 = 1.15; // factor for a unit latency over two medians: by chance one in four
const COST_MULTIPLIER_DOWN: f64 = 0.955; // factor for any other answer: on a steady node the two cancel out
const COST_MULTIPLIER_RANGE: (f64, f64) = (0.25, 4.0); // lower and upper bound (paper)
pub(crate) const RECENT_ANSWERS: usize = 32; // answers in the median of unit latency: about one second's

// Concurrency window, in attempts in flight from this host to a node.
pub(super) const MAX_WINDOW: f64 = 32.0; // attempts in flight at a node, at most
const MIN_WINDOW: f64 = 0.1; // attempts, at a node crowded by many hosts: one in flight a tenth of the time
pub(super) const INITIAL_WINDOW: f64 = 4.0; // attempts of all hosts at an unknown node, beyond one of each
pub(super) const WIDEN_BELOW: f64 = 0.24; // fraction of shortest_objective: below it, capacity is left
pub(super) const NARROW_ABOVE: f64 = 0.32; // fraction of shortest_objective: the rest is for the queue here
const WIDEN_STEP: f64 = 0.05; // attempts: additive increase of a full window by a round of quick answers
const NARROW_STEP: f64 = 0.1; // fraction: multiplicative decrease by a round of slow answers, or by a failure

const MIN_BACKOFF: Tick = 100; // ticks after the second failure in a row; each further one doubles it
pub(super) const MAX_BACKOFF: f64 = 3_000.0; // ticks, times the root of the host count, as all hosts try

const LATENCY_ALPHA: f64 = 0.15; // weight of one answer in a node's mean latency
const ANSWER_COUNT_DECAY: f64 = 0.9; // fraction of the count kept per interval: about the last second's
const IDLE_LATENCY_DECAY: f64 = 0.90; // fraction kept per interval without attempts: half after 0.7 s
const FAILURE_ALPHA: f64 = 0.4; // weight of an attempt without an answer: it may be lost as well
const TIMEOUT_MEANS: f64 = 3.0; // fleet means that a time-out counts as, at most: a loss closes no quick node

const FLEET_ALPHA: f64 = 0.05; // weight of one answer in the fleet's mean latency
const BEST_RISE: f64 = 1.0005; // factor on the fleet's best mean latency per answer: a tenth in a minute
const MAX_FLEET_LATENCY: f64 = 0.9; // fraction of shortest_objective: the most that one answer counts as
const THRESHOLD_UP: f64 = 0.1; // fraction of typical_priority: rise of the fleet's threshold by a late answer
const THRESHOLD_DOWN: f64 = 0.008; // the same: fall by one in time; steady where one in thirteen is late
pub(super) const MAX_THRESHOLD: f64 = 0.9; // fraction of typical_priority: what earns that much may always go

const LOSS_WATCH: Tick = 50_000; // ticks after a lost answer in which the scheduler looks for others
const LOST_AFTER_MEANS: f64 = 4.0; // mean latencies after which an attempt counts as lost: few take that long
const LOST_AFTER_OBJECTIVE: f64 = 0.5; // fraction of shortest_objective, at least: a pause is no loss

impl Node {
    /// How long an attempt may take here before it counts as lost.
    pub(super) fn lost_after(&self, shortest_objective: f64) -> Tick {
        (self.mean_latency * LOST_AFTER_MEANS).max(shortest_objective * LOST_AFTER_OBJECTIVE)
            as Tick
    }

    /// Attempts that may still be answered: all, or while answers get lost, those that do not count as lost.
    pub(super) fn live_attempts(
        &self,
        now: Tick,
        shortest_objective: f64,
        losing_answers: bool,
    ) -> u32 {
        let lost_after = self.lost_after(shortest_objective);
        self.in_flight
            .iter()
            .filter(|a| !losing_answers || now - a.sent_at <= lost_after)
            .count() as u32
    }

    fn record_unit_latency(&mut self, unit_latency: f64) {
        let slow = unit_latency > 2.0 * self.unit_latency.get();
        let factor = if slow {
            COST_MULTIPLIER_UP
        } else {
            COST_MULTIPLIER_DOWN
        };
        self.cost_multiplier =
            (self.cost_multiplier * factor).clamp(COST_MULTIPLIER_RANGE.0, COST_MULTIPLIER_RANGE.1);
        self.unit_latency.add(unit_latency);
    }

    fn adjust_window(&mut self, latency: f64, was_full: bool, shortest_objective: f64) {
        let window = self.concurrency_window;
        if self.mean_latency.max(latency) < WIDEN_BELOW * shortest_objective {
            if was_full {
                self.concurrency_window =
                    (window + WIDEN_STEP * (1.0 / window).min(1.0)).min(MAX_WINDOW);
            }
        } else if self.mean_latency > NARROW_ABOVE * shortest_objective {
            self.concurrency_window =
                (window * (1.0 - NARROW_STEP / window.max(1.0))).max(MIN_WINDOW);
        }
    }

    /// A window below one is kept by a pause after each answer, so that the node works for other hosts
    /// meanwhile. A node that fails again and again is tried ever more seldom, until it answers.
    fn pause(&mut self, now: Tick, shortest_objective: f64, max_backoff: Tick) {
        let (window, failures) = (self.concurrency_window, self.consecutive_failures);
        let idle_times = if window < 1.0 {
            1.0 / window - 1.0
        } else {
            0.0
        };
        let spacing = (self.mean_latency.min(shortest_objective) * idle_times) as Tick;
        let doublings = failures.saturating_sub(2).min(16);
        let backoff = if failures > 1 {
            (MIN_BACKOFF << doublings).min(max_backoff)
        } else {
            0
        };
        self.paused_until = self.paused_until.max(now + backoff.max(spacing));
    }
}

impl Scheduler {
    /// Records an attempt's outcome in the state of its node.
    pub(super) fn record_outcome(&mut self, now: Tick, bio: &Bio, outcome: &AttemptOutcome) {
        let node = &mut self.nodes[outcome.node.0];
        let was_full = node.in_flight.len() as f64 + 1.0 > node.concurrency_window;
        node.in_flight.retain(|a| a.bio != bio.id);
        match outcome.result {
            AttemptResult::Completed => self.record_completion(now, bio.units, was_full, outcome),
            AttemptResult::NotSent | AttemptResult::Cancelled => {}
            _ => self.record_failure(outcome),
        }
        self.nodes[outcome.node.0].pause(now, self.shortest_objective, self.max_backoff);
    }

    fn record_completion(
        &mut self,
        now: Tick,
        units: f64,
        was_full: bool,
        outcome: &AttemptOutcome,
    ) {
        let (latency, fleet) = (outcome.latency as f64, &mut self.fleet_latency);
        fleet.mean +=
            (latency.min(MAX_FLEET_LATENCY * self.shortest_objective) - fleet.mean) * FLEET_ALPHA;
        fleet.best = (fleet.best * BEST_RISE).min(fleet.mean);
        let step = if latency > self.shortest_objective {
            THRESHOLD_UP
        } else {
            -THRESHOLD_DOWN
        };
        fleet.threshold = (fleet.threshold + step).clamp(0.0, MAX_THRESHOLD);
        let node = &mut self.nodes[outcome.node.0];
        // Many hosts leave each of them few answers: then the last one says more than the mean.
        node.recent_answers += 1.0;
        let step = (1.0 / node.recent_answers).max(LATENCY_ALPHA);
        node.mean_latency += (latency - node.mean_latency) * step;
        node.record_unit_latency(latency / units.max(1.0));
        node.consecutive_failures = 0;
        node.latest_completed_sent_at = node.latest_completed_sent_at.max(now - outcome.latency);
        node.adjust_window(latency, was_full, self.shortest_objective);
    }

    /// A quick failure is no quick answer: it narrows the window. A full queue or no answer says that the
    /// latency is high: else a node that is jammed would look as quick as it was.
    fn record_failure(&mut self, outcome: &AttemptOutcome) {
        let (node, fleet) = (&mut self.nodes[outcome.node.0], &mut self.fleet_latency);
        let implied = match outcome.result {
            AttemptResult::Rejected => self.shortest_objective,
            AttemptResult::TimedOut => (outcome.latency as f64).min(TIMEOUT_MEANS * fleet.mean),
            _ => 0.0,
        };
        node.mean_latency += (implied - node.mean_latency).max(0.0) * FAILURE_ALPHA;
        fleet.mean += (implied * MAX_FLEET_LATENCY - fleet.mean).max(0.0) * FLEET_ALPHA;
        node.concurrency_window = (node.concurrency_window * (1.0 - NARROW_STEP)).max(MIN_WINDOW);
        node.consecutive_failures += 1;
    }

    /// Ages what is known of a node by one allocation interval.
    pub(super) fn age_node(&mut self, now: Tick, id: NodeId) {
        let (warm, node) = (self.is_warm(now, id), &mut self.nodes[id.0]);
        node.recent_answers *= ANSWER_COUNT_DECAY;
        // Without attempts the mean grows old: else a node once slow would stay closed to what is urgent.
        if node.in_flight.is_empty() {
            let fleet = &self.fleet_latency;
            let expected = fleet.best + (fleet.mean - fleet.best) * self.load_by_other_hosts;
            node.mean_latency =
                node.mean_latency * IDLE_LATENCY_DECAY + expected * (1.0 - IDLE_LATENCY_DECAY);
            let window = node.concurrency_window;
            node.concurrency_window = window.max((window * (2.0 - IDLE_LATENCY_DECAY)).min(1.0));
        }
        let quick = node.mean_latency < NARROW_ABOVE * self.shortest_objective;
        let rate = std::mem::take(&mut node.interval_units) / ALLOCATION_INTERVAL as f64;
        if quick && node.consecutive_failures == 0 && warm {
            node.record_usual_rate(rate, now - self.started_at);
        }
    }

    /// A time-out after a later attempt was answered shows loss: further answers then prompt a search for it.
    pub(super) fn watch_for_loss(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        outcome: &AttemptOutcome,
    ) {
        let (node, sent_at) = (&self.nodes[outcome.node.0], now - outcome.latency);
        if outcome.result == AttemptResult::Completed && now < self.losing_answers_until {
            self.cancel_lost(host, now, node);
        } else if outcome.result == AttemptResult::TimedOut
            && node.latest_completed_sent_at > sent_at
        {
            self.losing_answers_until = now + LOSS_WATCH;
        }
    }

    /// Cancels attempts far older than the node's latency that an answer to a later one has overtaken, since
    /// another may still be in time. Drawback: costly where a node serves far out of turn.
    fn cancel_lost(&self, host: &mut dyn Host, now: Tick, node: &Node) {
        let sent_before =
            (now - node.lost_after(self.shortest_objective)).min(node.latest_completed_sent_at);
        for attempt in &node.in_flight {
            let request = &self.requests[attempt.bio.0];
            let idempotent = self.class(request).idempotency == Idempotency::Idempotent;
            if attempt.sent_at < sent_before
                && idempotent
                && !request.finished
                && self.config.allow_cancel
            {
                host.cancel(attempt.bio, request.attempts - 1);
            }
        }
    }
}
