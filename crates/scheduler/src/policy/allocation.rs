//! The paper's Algorithm 1 for each node: a budget a window, divided among volumes, and who pays.
use super::constants::WINDOW;
use super::node_health::{MAX_WINDOW, NARROW_ABOVE, WIDEN_BELOW};
use crate::interface::{Bio, NodeId};
use crate::state::{Allocation, Entitlement, Node, PlanRates, Scheduler, Volume};

const HISTORY_KEPT: f64 = 0.5; // part of its history that an idle volume keeps a window (paper)
const QUEUED_WEIGHT: f64 = 2.0; // a queued unit counts as two used: more will follow (paper)
const POOL_SHARE: f64 = 0.05; // part of a node's budget that is kept for volumes that return (paper)
pub(super) const MIN_EXTRA_IOS: f64 = 4.0; // mean block I/Os a window beyond all bases, at least (paper)
const BUDGET_STEP: f64 = 0.05; // growth of the budget a window: it doubles in 1.5 s

impl Volume {
    /// The limit counts less what other hosts are reported to use, and at least as this host's quota.
    fn entitlement(&self, plan: &PlanRates) -> Entitlement {
        let quota = self.limit_rate(plan);
        let rate = self.other_hosts_rate.map_or(quota, |others| (plan.limit - others).max(quota));
        let base = plan.reserved * WINDOW as f64 / self.hosts;
        let ceiling = rate * WINDOW as f64 + plan.burst_units / self.hosts;
        Entitlement { base, ceiling, weight: plan.weight }
    }
}

impl Scheduler {
    /// Grants each volume at a node its allocation for the next window.
    pub(super) fn reallocate(&mut self, id: NodeId) {
        let (node, mean_units) = (&mut self.nodes[id.0], self.mean_io_units);
        // The budget grows while the node answers in time and the budget is what keeps block I/Os queued.
        if node.mean_latency > NARROW_ABOVE * self.shortest_objective {
            node.extra_budget = (node.extra_budget * (1.0 - BUDGET_STEP)).max(MIN_EXTRA_IOS * mean_units);
        } else if !node.queue.is_empty() {
            node.extra_budget = (node.extra_budget * (1.0 + BUDGET_STEP)).min(MAX_WINDOW * mean_units);
        }
        for allocation in &mut node.allocations {
            let volume = &self.volumes[allocation.volume.0];
            allocation.due = volume.entitlement(&self.plans[volume.plan]);
            allocation.queued = 0.0;
        }
        for queued in &node.queue {
            let bio = &self.requests[queued.0].bio;
            let own = node.allocation_index(bio.volume);
            node.allocations[own].queued += bio.units;
        }
        redistribute(node);
    }

    /// Takes the cost of a block I/O in the paper's order (lines 14 to 25): own allocation, the richer of two
    /// bursting volumes', the pool; else it waits. A balance above 0 may be overdrawn and is paid back later.
    pub(super) fn charge(&mut self, id: NodeId, bio: &Bio) -> bool {
        let node = &self.nodes[id.0];
        let (cost, own) = (bio.units * node.cost_multiplier, node.allocation_index(bio.volume));
        let has_balance = node.allocations[own].balance > 0.0;
        let payer = if has_balance { Some(own) } else { self.bursting_payer(id, cost) };
        let node = &mut self.nodes[id.0];
        if let Some(payer) = payer {
            node.allocations[payer].balance -= cost;
        } else if node.pool >= cost {
            node.pool -= cost;
        } else if node.in_flight.is_empty() || node.mean_latency < WIDEN_BELOW * self.shortest_objective {
            // On credit: to wait for the next window would only leave the node idle.
            node.allocations[own].balance -= cost;
        } else {
            return false;
        }
        node.allocations[own].used += cost;
        true
    }

    /// The richer of two bursting volumes drawn at random, if it can pay.
    fn bursting_payer(&mut self, id: NodeId, cost: f64) -> Option<usize> {
        let allocations = &self.nodes[id.0].allocations;
        let bursting = || (0..allocations.len()).filter(|index| allocations[*index].bursting);
        let count = bursting().count() as u64;
        let mut draw = || bursting().nth(self.rng.below(count) as usize);
        let (first, second) = (draw(), draw());
        let (first, second) = (first?, second?);
        let richer = if allocations[first].balance >= allocations[second].balance { first } else { second };
        Some(richer).filter(|index| allocations[*index].balance >= cost)
    }
}

/// Both passes of Algorithm 1 (lines 2 to 13).
fn redistribute(node: &mut Node) {
    let bases: f64 = node.allocations.iter().map(|a| a.due.base).sum();
    let total = bases + node.extra_budget;
    node.pool = total * POOL_SHARE;
    let (mut unused, mut total_demand) = (total - node.pool, 0.0);
    let idle = node.allocations.iter().all(|a| a.used == 0.0 && a.queued == 0.0);
    let load = |a: &Allocation| if idle { 1.0 } else { a.used + a.queued * QUEUED_WEIGHT };
    for a in &mut node.allocations {
        let debt = a.balance.min(0.0);
        a.history = a.used.max(a.history * HISTORY_KEPT);
        let busy = a.bursting || a.queued > 0.0;
        let granted = if busy { a.due.base } else { a.history * HISTORY_KEPT };
        a.balance = granted + debt;
        unused -= granted;
        total_demand += load(a) * a.due.weight;
    }
    let unused = unused.max(0.0);
    for a in &mut node.allocations {
        let demand = load(a) * a.due.weight;
        let share = if total_demand > 0.0 { unused * demand / total_demand } else { 0.0 };
        a.balance = (a.balance + share).min(a.due.ceiling);
        a.bursting = a.balance > a.due.base;
        a.used = 0.0;
    }
}
