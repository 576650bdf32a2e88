//! The paper's Algorithm 1 for each node: a budget per interval, divided among volumes, and who pays.
use super::constants::ALLOCATION_INTERVAL;
use super::node_health::{MAX_WINDOW, NARROW_ABOVE, WIDEN_BELOW};
use crate::interface::{Bio, NodeId, VolumeId};
use crate::state::{Allocation, Entitlement, Node, Scheduler};

const HISTORY_DECAY: f64 = 0.5; // fraction of its history that an idle volume keeps per interval (paper)
const QUEUED_WEIGHT: f64 = 2.0; // weight of a queued unit against a used one: more will follow (paper)
const POOL_SHARE: f64 = 0.05; // fraction of a node's budget that is kept for volumes that return (paper)
pub(super) const MIN_EXTRA_IOS: f64 = 4.0; // mean block I/Os per interval: least extra budget (paper)
const BUDGET_STEP: f64 = 0.05; // fraction by which the budget changes per interval: it doubles in 1.5 s

impl Scheduler {
    /// Grants each volume at a node its allocation for the next interval.
    pub(super) fn reallocate(&mut self, id: NodeId) {
        let node = &mut self.nodes[id.0];
        // The budget grows while the node answers in time and the budget is what keeps block I/Os queued.
        if node.mean_latency > NARROW_ABOVE * self.shortest_objective {
            let least = MIN_EXTRA_IOS * self.mean_io_units;
            node.extra_budget = (node.extra_budget * (1.0 - BUDGET_STEP)).max(least);
        } else if !node.queue.is_empty() {
            let most = MAX_WINDOW * self.mean_io_units;
            node.extra_budget = (node.extra_budget * (1.0 + BUDGET_STEP)).min(most);
        }
        node.allocations.iter_mut().for_each(|a| a.queued = 0.0);
        for queued in &node.queue {
            let bio = &self.requests[queued.0].bio;
            let own = node.allocation_index(bio.volume);
            node.allocations[own].queued += bio.units;
        }
        for index in 0..self.nodes[id.0].allocations.len() {
            let entitlement = self.entitlement(self.nodes[id.0].allocations[index].volume);
            self.nodes[id.0].allocations[index].entitlement = entitlement;
        }
        redistribute(&mut self.nodes[id.0]);
    }

    /// The limit counts less what other hosts are reported to use, and at least as this host's quota.
    fn entitlement(&self, volume: VolumeId) -> Entitlement {
        let volume = &self.volumes[volume.0];
        let plan = &self.plans[volume.plan];
        let quota = volume.limit_rate(plan);
        let rate = volume
            .other_hosts_rate
            .map_or(quota, |others| (plan.limit - others).max(quota));
        let base = plan.reserved * ALLOCATION_INTERVAL as f64 / volume.hosts;
        let ceiling = rate * ALLOCATION_INTERVAL as f64 + plan.burst_units / volume.hosts;
        Entitlement {
            base,
            ceiling,
            weight: plan.weight,
        }
    }

    /// Takes the cost of a block I/O in the paper's order (lines 14 to 25): own allocation, the richer of two
    /// bursting volumes', the pool; else it waits. A balance above 0 may be overdrawn and is paid back later.
    pub(super) fn charge(&mut self, id: NodeId, bio: &Bio) -> bool {
        let node = &self.nodes[id.0];
        let (cost, own) = (
            bio.units * node.cost_multiplier,
            node.allocation_index(bio.volume),
        );
        let has_balance = node.allocations[own].balance > 0.0;
        let payer = if has_balance {
            Some(own)
        } else {
            self.bursting_payer(id, cost)
        };
        let node = &mut self.nodes[id.0];
        if let Some(payer) = payer {
            node.allocations[payer].balance -= cost;
        } else if node.pool >= cost {
            node.pool -= cost;
        } else if node.in_flight.is_empty()
            || node.mean_latency < WIDEN_BELOW * self.shortest_objective
        {
            // On credit: to wait for the next interval would only leave the node idle.
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
        let draw = || bursting().nth(self.rng.below(count) as usize);
        let (first, second) = (draw(), draw());
        let (first, second) = (first?, second?);
        let richer = if allocations[first].balance >= allocations[second].balance {
            first
        } else {
            second
        };
        Some(richer).filter(|index| allocations[*index].balance >= cost)
    }
}

/// Both passes of Algorithm 1 (lines 2 to 13).
fn redistribute(node: &mut Node) {
    let total = node
        .allocations
        .iter()
        .map(|a| a.entitlement.base)
        .sum::<f64>()
        + node.extra_budget;
    node.pool = total * POOL_SHARE;
    let (mut unused, mut total_demand) = (total - node.pool, 0.0);
    let idle = node
        .allocations
        .iter()
        .all(|a| a.used == 0.0 && a.queued == 0.0);
    let demand = |a: &Allocation| {
        if idle {
            a.entitlement.weight
        } else {
            (a.used + a.queued * QUEUED_WEIGHT) * a.entitlement.weight
        }
    };
    for a in &mut node.allocations {
        let debt = a.balance.min(0.0);
        a.history = a.used.max(a.history * HISTORY_DECAY);
        let busy = a.bursting || a.queued > 0.0;
        let granted = if busy {
            a.entitlement.base
        } else {
            a.history * HISTORY_DECAY
        };
        a.balance = granted + debt;
        unused -= granted;
        total_demand += demand(a);
    }
    let unused = unused.max(0.0);
    for a in &mut node.allocations {
        let share = if total_demand > 0.0 {
            unused * demand(a) / total_demand
        } else {
            0.0
        };
        a.balance = (a.balance + share).min(a.entitlement.ceiling);
        a.bursting = a.balance > a.entitlement.base;
        a.used = 0.0;
    }
}
