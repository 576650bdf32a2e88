//! Which of the queued block I/Os goes to a node next, and when.
use super::constants::DEADLINE_MARGIN;
use super::node_health::MAX_THRESHOLD;
use crate::interface::{BioId, Host, NodeId, Tick};
use crate::state::{Allocation, Attempt, Candidate, Node, Request, Scheduler};

const THRESHOLD_FROM: f64 = 0.08; // fraction of shortest_objective: excess over the best mean at threshold 0
const THRESHOLD_SPAN: f64 = 0.4; // fraction of shortest_objective: further excess at threshold 1 (window 1)

impl Candidate {
    /// The highest priority goes first, and of equal priority the earliest end of objective.
    fn precedes(&self, other: &Candidate) -> bool {
        let earlier = self.objective_end < other.objective_end;
        self.priority > other.priority || self.priority == other.priority && earlier
    }
}

impl Scheduler {
    /// Sends to each node all that it has capacity for.
    pub(super) fn dispatch_all(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.nodes.indices().map(NodeId) {
            self.dispatch(host, now, id);
        }
    }

    /// Sends to a node all that it has capacity for. A volume that is refused waits for the next pass.
    pub(super) fn dispatch(&mut self, host: &mut dyn Host, now: Tick, id: NodeId) {
        self.dispatch_pass += 1;
        while let Some(position) = self.next_to_send(now, id) {
            let bio = self.requests[self.nodes[id.0].queue[position].0].bio;
            if self.charge(id, &bio) {
                self.nodes[id.0].queue.swap_remove(position);
                self.send(host, now, bio.id, id);
            } else {
                let own = self.nodes[id.0].allocation_index(bio.volume);
                self.nodes[id.0].allocations[own].refused_in_pass = self.dispatch_pass;
            }
        }
    }

    /// Position in a node's queue of the block I/O to be sent next; none if none may go now.
    fn next_to_send(&mut self, now: Tick, id: NodeId) -> Option<usize> {
        self.nodes.get(id.0)?;
        let capacity = self.slow_start_capacity(now, id);
        let retry_allowed = self.retry_budget.allows(now);
        let node = &self.nodes[id.0];
        let live = || {
            node.live_attempts(
                now,
                self.shortest_objective,
                now < self.losing_answers_until,
            )
        };
        let window_full = || f64::from(live()) + 1.0 > node.concurrency_window.max(1.0);
        if now < node.paused_until || node.queue.is_empty() || window_full() {
            return None;
        }
        let threshold = self.admission_threshold(node);
        let mut best: Option<Candidate> = None;
        for (position, queued) in node.queue.iter().enumerate() {
            let request = &self.requests[queued.0];
            let allocation = &node.allocations[node.allocation_index(request.bio.volume)];
            let refused = allocation.refused_in_pass == self.dispatch_pass;
            // A node that many share may be slow without attempts from here: what is late only fills it.
            let late = now + node.mean_latency as Tick > request.objective_end;
            let budget_spent = request.attempts > 0 && !retry_allowed;
            if refused || late || budget_spent || !self.may_send(request, now, id) {
                continue;
            }
            let priority = self.priority(request, allocation);
            let deficit = (1.0 - priority / self.typical_priority).max(0.0);
            // What is left of a slow start's share is kept for the highest priority.
            if 1.0 - deficit < threshold
                || request.bio.units + capacity.share * deficit > capacity.left
            {
                continue;
            }
            let candidate = Candidate {
                priority,
                objective_end: request.objective_end,
                position,
            };
            if best.as_ref().is_none_or(|best| candidate.precedes(best)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| candidate.position)
    }

    /// The fraction of the typical priority below which a crowded node is left to other hosts' block I/Os.
    fn admission_threshold(&self, node: &Node) -> f64 {
        let above_best = (node.mean_latency - self.fleet_latency.best) / self.shortest_objective;
        let excess = (above_best - THRESHOLD_FROM) / THRESHOLD_SPAN;
        let own = excess / (node.concurrency_window.powi(2) * node.recent_answers.max(1.0));
        ((own.max(0.0) + self.fleet_latency.threshold) * self.load_by_other_hosts)
            .min(MAX_THRESHOLD)
    }

    /// What a unit of a block I/O would earn if sent now: all of it inside the volume's reservation; beyond,
    /// the share's part while the own allocation lasts, then the spare part.
    fn priority(&self, request: &Request, allocation: &Allocation) -> f64 {
        let volume = &self.volumes[request.bio.volume.0];
        let (config, has_balance) = (&self.config, allocation.balance > 0.0);
        let beyond = if has_balance {
            config.share_weight_factor
        } else {
            config.spare_weight_factor
        };
        let inside =
            (volume.reserve_tokens / request.bio.units.max(self.mean_io_units / 8.0)).min(1.0);
        let factor = inside + (1.0 - inside) * beyond;
        factor * self.class(request).priority_weight * self.plans[volume.plan].priority_factor
    }

    /// The rules for one attempt: order, rate limit, idempotency. (Slow start, retry budget: `next_to_send`.)
    pub(super) fn may_send(&self, request: &Request, now: Tick, id: NodeId) -> bool {
        self.is_its_turn(request, now)
            && !self.over_limit(now, request)
            && self.may_run_at(request, now, &self.nodes[id.0])
    }

    fn send(&mut self, host: &mut dyn Host, now: Tick, id: BioId, node_id: NodeId) {
        let warm = self.is_warm(now, node_id);
        let request = &mut self.requests[id.0];
        if request.attempts > 0 {
            self.retry_budget.retries.add(now, 1.0);
        } else if warm {
            self.warm_demand.sent += 1.0;
            self.warm_demand.total += 1.0;
        }
        request.attempts += 1;
        request.in_flight = true;
        let (bio, charged) = (request.bio, std::mem::replace(&mut request.charged, true));
        if !charged {
            self.take_tokens(now, &bio);
        }
        let node = &mut self.nodes[node_id.0];
        node.in_flight.push(Attempt {
            sent_at: now,
            bio: id,
        });
        node.interval_units += bio.units;
        self.timers
            .push(now + node.lost_after(self.shortest_objective) + 1, id);
        if node.started_at > 0 {
            node.slow_start_units.add(now, bio.units);
        }
        host.forward(id, node_id, bio.deadline - now - DEADLINE_MARGIN / 3); // 2 ms before the deadline
    }
}
