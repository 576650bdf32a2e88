//! Which queued block I/O is sent to a node next, and when.
use super::super::constants::DEADLINE_MARGIN;
use super::super::fleet_latency::MAX_THRESHOLD;
use super::super::node::Node;
use super::super::request::Request;
use super::super::slow_start::SlowStartCapacity;
use super::Scheduler;
use crate::interface::{BioId, Host, NodeId, Tick};

/// Excess over the lowest recent mean latency at which the admission threshold starts to rise, as a fraction of the
/// shortest objective.
const THRESHOLD_START: f64 = 0.08;
/// Further excess at which the admission threshold reaches 1 for a weight of the host's own load of 1, as a fraction of
/// the shortest objective.
const THRESHOLD_SPAN: f64 = 0.4;
/// Ticks before the deadline at which an attempt times out (2 ms).
const TIMEOUT_MARGIN: Tick = DEADLINE_MARGIN / 3;

/// A queued block I/O that may be sent.
struct Candidate {
    priority: f64,
    objective_end: Tick,
    /// Position in the node's queue.
    position: usize,
}

impl Candidate {
    /// Returns whether this candidate is sent before the other: the one with the higher priority first, or of equal
    /// priority the one whose objective ends earlier.
    fn precedes(&self, other: &Candidate) -> bool {
        let earlier = self.objective_end < other.objective_end;
        self.priority > other.priority || self.priority == other.priority && earlier
    }
}

/// The current admission limits of a node.
struct NodeAdmission {
    /// Units that the node may still receive in its slow start; `None` if there is no limit.
    slow_start: Option<SlowStartCapacity>,
    /// Whether the retry budget allows another retry.
    retry_allowed: bool,
    /// Fraction of the typical priority below which block I/Os wait.
    threshold: f64,
}

impl NodeAdmission {
    /// Returns whether a block I/O is admitted whose priority is below the typical one by this fraction.
    fn admits(&self, units: f64, priority_deficit: f64) -> bool {
        if 1.0 - priority_deficit < self.threshold {
            return false;
        }
        let slow_start = self.slow_start.as_ref();
        slow_start.is_none_or(|capacity| capacity.admits(units, priority_deficit))
    }
}

impl Scheduler {
    /// Sends to each node all block I/Os that it has capacity for.
    pub(super) fn dispatch_all(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.nodes.indices() {
            self.dispatch(host, now, id);
        }
    }

    /// Sends to a node all block I/Os that it has capacity for. A volume that is refused waits for the next dispatch
    /// pass.
    pub(super) fn dispatch(&mut self, host: &mut dyn Host, now: Tick, id: NodeId) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.budget_mut().begin_pass();
        while let Some(position) = self.next_to_send(now, id) {
            let node = &mut self.nodes[id];
            let bio = self.requests[node.queue().at(position)].bio();
            let cost = node.cost(bio.units);
            let has_capacity = node.is_idle_or_fast(&self.node_limits);
            let budget = node.budget_mut();
            if budget.charge(bio.volume, cost, has_capacity, &self.rng) {
                let bio = node.queue_mut().take(position);
                self.send(host, now, bio, id);
            } else {
                budget.refuse(bio.volume);
            }
        }
    }

    /// Returns the queue position of the block I/O to send to the node next, or `None` if none may be sent now.
    fn next_to_send(&mut self, now: Tick, id: NodeId) -> Option<usize> {
        let node = &mut self.nodes[id];
        let slow_start = node.slow_start_capacity(now, &self.slow_start, &self.rng);
        let retry_allowed = self.retry_budget.allows_retry(now);
        let losing_responses = self.lost_responses.is_losing(now);
        let has_room = node.has_room(now, &self.node_limits, losing_responses);
        if node.queue().is_empty() || !has_room {
            return None;
        }
        let admission = NodeAdmission {
            slow_start,
            retry_allowed,
            threshold: self.admission_threshold(&self.nodes[id]),
        };
        self.best_candidate(now, id, &admission)
    }

    /// Returns the queue position of the first block I/O in sending order among those that may be sent.
    fn best_candidate(&self, now: Tick, id: NodeId, admission: &NodeAdmission) -> Option<usize> {
        let node = &self.nodes[id];
        let mut best: Option<Candidate> = None;
        for (position, queued) in node.queue().iter().enumerate() {
            let request = &self.requests[queued];
            let Some(priority) = self.priority_if_sendable(now, node, request, admission) else {
                continue;
            };
            let candidate = Candidate {
                priority,
                objective_end: request.objective_end(),
                position,
            };
            if best.as_ref().is_none_or(|best| candidate.precedes(best)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| candidate.position)
    }

    /// Returns the priority of a queued block I/O, or `None` if it may not be sent now. A block I/O that is expected to
    /// finish after its objective is not sent: a node shared by many hosts may be slow even without attempts from this
    /// host, and late block I/Os would only add to its load.
    fn priority_if_sendable(
        &self,
        now: Tick,
        node: &Node,
        request: &Request,
        admission: &NodeAdmission,
    ) -> Option<f64> {
        let bio = request.bio();
        let status = node.budget().allocation_status(bio.volume);
        let late = now + node.mean_latency() as Tick > request.objective_end();
        let budget_spent = request.was_sent() && !admission.retry_allowed;
        if status.refused || late || budget_spent || !self.may_send(now, request, node) {
            return None;
        }
        let class = self.class(request);
        let limiter = &self.rate_limiter;
        let rules = &self.priority_rules;
        let priority = rules.priority(bio, class, limiter, status.has_balance);
        let admitted = admission.admits(bio.units, rules.deficit(priority));
        admitted.then_some(priority)
    }

    /// Returns the fraction of the typical priority below which an overloaded node is left to block I/Os of other
    /// hosts.
    fn admission_threshold(&self, node: &Node) -> f64 {
        let latency_excess = node.latency_excess(&self.node_limits, &self.fleet_latency);
        let excess = (latency_excess - THRESHOLD_START) / THRESHOLD_SPAN;
        let own = (excess / node.own_load_weight()).max(0.0);
        let threshold = own + self.fleet_latency.threshold();
        (threshold * self.node_limits.load_by_other_hosts).min(MAX_THRESHOLD)
    }

    /// Returns whether order, rate limit and idempotency allow an attempt. Slow start and the retry budget are checked
    /// by [`NodeAdmission`] and [`Self::priority_if_sendable`].
    pub(super) fn may_send(&self, now: Tick, request: &Request, node: &Node) -> bool {
        let class = self.class(request);
        self.is_first_in_order(now, request)
            && !self.rate_limiter.is_over_limit(now, request, class)
            && self.may_run_at(now, request, node)
    }

    /// Returns whether the order of its key allows a block I/O to be sent.
    fn is_first_in_order(&self, now: Tick, request: &Request) -> bool {
        let bio = request.bio();
        let ordered = self.class(request).is_ordered();
        match bio.key {
            Some(key) if ordered => {
                self.ordering_keys
                    .is_first_in_order(now, key, bio.id, request.was_sent())
            }
            _ => true,
        }
    }

    /// Returns whether idempotency allows a block I/O to be sent to this node after an earlier attempt that may have
    /// run.
    pub(super) fn may_run_at(&self, now: Tick, request: &Request, node: &Node) -> bool {
        let Some(first) = request.possible_run() else {
            return true;
        };
        let first_location = self.nodes.get(first.node).map(Node::location);
        let idempotency = self.class(request).idempotency();
        idempotency.allows_repeat_at(now, node.location(), first.sent_at, first_location)
    }

    /// Sends an attempt of a block I/O that has been removed from the queue.
    fn send(&mut self, host: &mut dyn Host, now: Tick, id: BioId, node_id: NodeId) {
        let node = &mut self.nodes[node_id];
        let request = &mut self.requests[id];
        if request.was_sent() {
            self.retry_budget.record_retry(now);
        } else if node.is_warm(now, &self.slow_start) {
            self.slow_start.warm_demand_mut().record_sent();
        }
        let bio = *request.bio();
        if !request.has_tokens() {
            self.rate_limiter.take_tokens(now, &bio);
        }
        request.begin_attempt();
        node.record_sent(now, &bio);
        let lost_at = now + node.lost_after(&self.node_limits) + 1;
        self.request_timers.push(lost_at, id);
        host.forward(id, node_id, bio.deadline - now - TIMEOUT_MARGIN);
    }
}
