//! The paper's Algorithm 1 for one node: a budget for each allocation interval, divided among volumes, and which volume
//! pays for a block I/O.
use super::concurrency_window;
use crate::interface::VolumeId;
use crate::pcg::Pcg;

/// Fraction of its history that an idle volume keeps in each interval (paper).
const HISTORY_DECAY: f64 = 0.5;
/// Weight of a queued unit against a used one: more will follow (paper).
const QUEUED_WEIGHT: f64 = 2.0;
/// Fraction of a node's budget that is kept for volumes that return (paper).
const POOL_SHARE: f64 = 0.05;
/// Mean block I/Os in an interval: the least extra budget (paper).
const MIN_EXTRA_IOS: f64 = 4.0;
/// Mean block I/Os in an interval: the most extra budget.
const MAX_EXTRA_IOS: f64 = concurrency_window::MAX;
/// Fraction by which the extra budget changes in an interval: it doubles in 1.5 s.
const BUDGET_STEP: f64 = 0.05;

/// What a volume is entitled to at one node in one allocation interval.
#[derive(Clone, Copy, Default)]
pub(super) struct Entitlement {
    /// Cost that its reservation stands for.
    pub(super) base: f64,
    /// The most cost that its limit allows.
    pub(super) ceiling: Option<f64>,
    /// Weight by which spare budget is divided.
    pub(super) weight: f64,
}

/// The allocation of one volume at one node: a share of the budget of this allocation interval.
#[derive(Default)]
struct Allocation {
    volume: VolumeId,
    /// As of the start of this interval.
    entitlement: Entitlement,
    /// Cost still to be spent in this interval; a debt below 0.
    balance: f64,
    /// Cost spent in this interval.
    used: f64,
    /// Units queued as the interval began.
    queued: f64,
    /// Decaying maximum of the cost spent in an interval.
    history: f64,
    /// Was granted more than its base for this interval.
    bursting: bool,
    /// The dispatch pass in which it was last refused.
    refused_in: Option<DispatchPass>,
}

/// Counts the dispatch passes of a node.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct DispatchPass(u64);

/// The budget of one node, and its allocations to volumes.
#[derive(Default)]
pub(super) struct NodeBudget {
    /// Budget of an interval beyond the bases of all volumes.
    extra: f64,
    /// What is left of the interval's pool for volumes without a balance.
    pool: f64,
    /// One for each volume that has or had a block I/O here.
    allocations: Vec<Allocation>,
    pass: DispatchPass,
}

impl Allocation {
    /// What the volume asks for, by which spare budget is divided.
    fn demand(&self, all_idle: bool) -> f64 {
        if all_idle {
            self.entitlement.weight
        } else {
            (self.used + self.queued * QUEUED_WEIGHT) * self.entitlement.weight
        }
    }

    /// First pass of Algorithm 1: grants the base to a busy volume, to an idle one a part of its history. Returns what
    /// was granted.
    fn grant_base(&mut self) -> f64 {
        let debt = self.balance.min(0.0);
        self.history = self.used.max(self.history * HISTORY_DECAY);
        let busy = self.bursting || self.queued > 0.0;
        let granted = if busy {
            self.entitlement.base
        } else {
            self.history * HISTORY_DECAY
        };
        self.balance = granted + debt;
        granted
    }

    /// Second pass of Algorithm 1: adds a share of the spare budget, up to the limit, and starts the interval.
    fn grant_spare(&mut self, share: f64) {
        self.balance += share;
        if let Some(ceiling) = self.entitlement.ceiling {
            self.balance = self.balance.min(ceiling);
        }
        self.bursting = self.balance > self.entitlement.base;
        self.used = 0.0;
    }
}

impl NodeBudget {
    /// Makes sure that a node in service has the least extra budget.
    pub(super) fn raise_to_minimum(&mut self, mean_io_units: f64) {
        self.extra = self.extra.max(MIN_EXTRA_IOS * mean_io_units);
    }

    /// Lowers the extra budget of a node that is too slow.
    pub(super) fn decrease(&mut self, mean_io_units: f64) {
        let minimum = MIN_EXTRA_IOS * mean_io_units;
        self.extra = (self.extra * (1.0 - BUDGET_STEP)).max(minimum);
    }

    /// Raises the extra budget of a node that answers in time while block I/Os are queued for it.
    pub(super) fn increase(&mut self, mean_io_units: f64) {
        let maximum = MAX_EXTRA_IOS * mean_io_units;
        self.extra = (self.extra * (1.0 + BUDGET_STEP)).min(maximum);
    }

    /// Makes an allocation for a volume, if it has none yet; it opens with the volume's base.
    pub(super) fn open_allocation(&mut self, volume: VolumeId, base: f64) {
        if self.position(volume).is_none() {
            self.allocations.push(Allocation {
                volume,
                balance: base,
                history: base,
                ..Allocation::default()
            });
        }
    }

    /// Removes the allocation of a volume.
    pub(super) fn close_allocation(&mut self, volume: VolumeId) {
        self.allocations
            .retain(|allocation| allocation.volume != volume);
    }

    /// Starts an allocation interval with what is queued, as volumes and units, and with each volume's entitlement.
    pub(super) fn start_interval(
        &mut self,
        queued: impl Iterator<Item = (VolumeId, f64)>,
        entitlement: impl Fn(VolumeId) -> Entitlement,
    ) {
        for allocation in &mut self.allocations {
            allocation.queued = 0.0;
        }
        for (volume, units) in queued {
            self.allocation_mut(volume).queued += units;
        }
        for allocation in &mut self.allocations {
            allocation.entitlement = entitlement(allocation.volume);
        }
        self.redistribute();
    }

    /// Both passes of Algorithm 1 (lines 2 to 13).
    fn redistribute(&mut self) {
        let allocations = &mut self.allocations;
        let bases = allocations
            .iter()
            .map(|allocation| allocation.entitlement.base);
        let total = bases.sum::<f64>() + self.extra;
        self.pool = total * POOL_SHARE;
        let all_idle = allocations
            .iter()
            .all(|allocation| allocation.used == 0.0 && allocation.queued == 0.0);
        let mut spare = total - self.pool;
        let mut total_demand = 0.0;
        for allocation in allocations.iter_mut() {
            spare -= allocation.grant_base();
            total_demand += allocation.demand(all_idle);
        }
        let spare = spare.max(0.0);
        for allocation in allocations.iter_mut() {
            let granted = if total_demand > 0.0 {
                spare * allocation.demand(all_idle) / total_demand
            } else {
                0.0
            };
            allocation.grant_spare(granted);
        }
    }

    /// Starts a dispatch pass: no volume has been refused in it.
    pub(super) fn begin_pass(&mut self) {
        self.pass.0 += 1;
    }

    /// A volume with a block I/O queued here may not send until the next dispatch pass.
    pub(super) fn refuse(&mut self, volume: VolumeId) {
        let pass = self.pass;
        self.allocation_mut(volume).refused_in = Some(pass);
    }

    /// What a volume with a block I/O queued here may do in this dispatch pass.
    pub(super) fn allocation_status(&self, volume: VolumeId) -> AllocationStatus {
        let allocation = self.allocation(volume);
        AllocationStatus {
            refused: allocation.refused_in == Some(self.pass),
            has_balance: allocation.balance > 0.0,
        }
    }

    /// Takes the cost of a block I/O that is queued here in the paper's order (lines 14 to 25): from the volume's own
    /// allocation, from the richer of two bursting volumes, from the pool. Returns false if it has to wait. A balance
    /// above 0 may be overdrawn and is paid back later. A node with room lends the cost, as to wait for the next
    /// interval would only leave it idle.
    pub(super) fn charge(
        &mut self,
        volume: VolumeId,
        cost: f64,
        node_has_room: bool,
        rng: &Pcg,
    ) -> bool {
        let own = self.allocation_position(volume);
        let payer = if self.allocations[own].balance > 0.0 {
            Some(own)
        } else {
            self.select_bursting_payer(cost, rng)
        };
        if let Some(payer) = payer {
            self.allocations[payer].balance -= cost;
        } else if self.pool >= cost {
            self.pool -= cost;
        } else if node_has_room {
            self.allocations[own].balance -= cost;
        } else {
            return false;
        }
        self.allocations[own].used += cost;
        true
    }

    /// The richer of two bursting volumes drawn at random, if it can pay.
    fn select_bursting_payer(&self, cost: f64, rng: &Pcg) -> Option<usize> {
        let count = self.bursting().count() as u64;
        // Both numbers are drawn in any case: the sequence of random numbers does not depend on what is found.
        let first = rng.below(count);
        let second = rng.below(count);
        let first = self.bursting().nth(first as usize)?;
        let second = self.bursting().nth(second as usize)?;
        let richer = if self.allocations[first].balance >= self.allocations[second].balance {
            first
        } else {
            second
        };
        (self.allocations[richer].balance >= cost).then_some(richer)
    }

    /// Positions of the allocations that were granted more than their base.
    fn bursting(&self) -> impl Iterator<Item = usize> {
        let allocations = self.allocations.iter().enumerate();
        allocations
            .filter(|(_, allocation)| allocation.bursting)
            .map(|(position, _)| position)
    }

    fn position(&self, volume: VolumeId) -> Option<usize> {
        self.allocations
            .iter()
            .position(|allocation| allocation.volume == volume)
    }

    /// Position of the allocation of a volume with a block I/O queued here.
    fn allocation_position(&self, volume: VolumeId) -> usize {
        self.position(volume)
            .expect("an allocation is opened when a block I/O is queued")
    }

    fn allocation(&self, volume: VolumeId) -> &Allocation {
        &self.allocations[self.allocation_position(volume)]
    }

    fn allocation_mut(&mut self, volume: VolumeId) -> &mut Allocation {
        let position = self.allocation_position(volume);
        &mut self.allocations[position]
    }
}

/// What a volume may do in a dispatch pass.
pub(super) struct AllocationStatus {
    /// It was refused in this pass, and waits for the next one.
    pub(super) refused: bool,
    /// Its own allocation is not used up.
    pub(super) has_balance: bool,
}
