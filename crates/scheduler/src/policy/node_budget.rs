//! Algorithm 1 of the paper for one node: a budget for each allocation interval, its division among volumes, and the
//! choice of the volume that pays for a block I/O.
use super::concurrency_window;
use crate::interface::VolumeId;
use crate::pcg::Pcg;

/// Fraction of its history that an idle volume keeps in each interval (paper).
const HISTORY_DECAY: f64 = 0.5;
/// Weight of a queued unit relative to a used one: more units are likely to follow (paper).
const QUEUED_WEIGHT: f64 = 2.0;
/// Fraction of a node's budget that is reserved for volumes that become active again (paper).
const POOL_SHARE: f64 = 0.05;
/// Minimum extra budget of an interval, in block I/Os of mean size (paper).
const MIN_EXTRA_IOS: f64 = 4.0;
/// Maximum extra budget of an interval, in block I/Os of mean size.
const MAX_EXTRA_IOS: f64 = concurrency_window::MAX;
/// Fraction by which the extra budget changes in an interval: it can double in 1.5 s.
const BUDGET_STEP: f64 = 0.05;

/// What a volume is entitled to at one node in one allocation interval.
#[derive(Clone, Copy, Default)]
pub(super) struct Entitlement {
    /// Cost that the volume's reservation covers.
    pub(super) base: f64,
    /// Maximum cost that the volume's rate limit allows; `None` if there is no limit.
    pub(super) ceiling: Option<f64>,
    /// Weight by which spare budget is divided.
    pub(super) weight: f64,
}

/// The allocation of one volume at one node: its share of the budget of the current allocation interval.
#[derive(Default)]
struct Allocation {
    volume: VolumeId,
    /// Entitlement at the start of the interval.
    entitlement: Entitlement,
    /// Cost that may still be spent in the interval; below 0, a debt.
    balance: f64,
    /// Cost spent in the interval.
    used: f64,
    /// Units queued when the interval began.
    queued: f64,
    /// Decaying maximum of the cost spent in an interval.
    history: f64,
    /// Whether the volume was granted more than its base for the interval.
    bursting: bool,
    /// The last dispatch pass in which the volume was refused.
    refused_in: Option<DispatchPass>,
}

/// Sequence number of a dispatch pass of a node.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct DispatchPass(u64);

/// The budget of one node, and its allocations to volumes.
#[derive(Default)]
pub(super) struct NodeBudget {
    /// Budget of an interval in excess of the bases of all volumes.
    extra: f64,
    /// Remainder of the interval's pool for volumes without a balance.
    pool: f64,
    /// Allocations of the volumes that have or had a block I/O queued for the node.
    allocations: Vec<Allocation>,
    pass: DispatchPass,
}

impl Allocation {
    /// Returns the volume's demand, by which spare budget is divided.
    fn demand(&self, all_idle: bool) -> f64 {
        if all_idle {
            self.entitlement.weight
        } else {
            (self.used + self.queued * QUEUED_WEIGHT) * self.entitlement.weight
        }
    }

    /// First pass of Algorithm 1: grants a busy volume its base, and an idle one a part of its history. Returns the
    /// granted cost.
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

    /// Second pass of Algorithm 1: adds a share of the spare budget, up to the rate limit, and starts the interval.
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
    /// Raises the extra budget of a node in service to at least the minimum.
    pub(super) fn raise_to_minimum(&mut self, mean_io_units: f64) {
        self.extra = self.extra.max(MIN_EXTRA_IOS * mean_io_units);
    }

    /// Decreases the extra budget of a node that is too slow.
    pub(super) fn decrease(&mut self, mean_io_units: f64) {
        let minimum = MIN_EXTRA_IOS * mean_io_units;
        self.extra = (self.extra * (1.0 - BUDGET_STEP)).max(minimum);
    }

    /// Increases the extra budget of a node that answers in time while block I/Os are queued for it.
    pub(super) fn increase(&mut self, mean_io_units: f64) {
        let maximum = MAX_EXTRA_IOS * mean_io_units;
        self.extra = (self.extra * (1.0 + BUDGET_STEP)).min(maximum);
    }

    /// Creates an allocation for a volume that has none. Its balance starts at the volume's base.
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

    /// Starts an allocation interval, given the volume and the units of each queued block I/O and the entitlement of
    /// each volume.
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

    /// Runs both passes of Algorithm 1 (lines 2 to 13).
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

    /// Starts a dispatch pass, in which no volume has been refused yet.
    pub(super) fn begin_pass(&mut self) {
        self.pass.0 += 1;
    }

    /// Refuses a volume with a queued block I/O until the next dispatch pass.
    pub(super) fn refuse(&mut self, volume: VolumeId) {
        let pass = self.pass;
        self.allocation_mut(volume).refused_in = Some(pass);
    }

    /// Returns what a volume with a queued block I/O may do in the current dispatch pass.
    pub(super) fn allocation_status(&self, volume: VolumeId) -> AllocationStatus {
        let allocation = self.allocation(volume);
        AllocationStatus {
            refused: allocation.refused_in == Some(self.pass),
            has_balance: allocation.balance > 0.0,
        }
    }

    /// Charges the cost of a queued block I/O in the paper's order (lines 14 to 25): to the volume's own allocation, to
    /// the richer of two bursting volumes, or to the pool. Returns false if the block I/O has to wait. A balance above
    /// 0 may be overdrawn; the debt is deducted from the next grant. A node with free capacity lends the cost, because
    /// it would be idle until the next interval otherwise.
    pub(super) fn charge(
        &mut self,
        volume: VolumeId,
        cost: f64,
        node_has_capacity: bool,
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
        } else if node_has_capacity {
            self.allocations[own].balance -= cost;
        } else {
            return false;
        }
        self.allocations[own].used += cost;
        true
    }

    /// Selects the richer of two bursting volumes drawn at random, if its balance covers the cost.
    fn select_bursting_payer(&self, cost: f64, rng: &Pcg) -> Option<usize> {
        let count = self.bursting().count() as u64;
        // Both numbers are always drawn, so that the sequence of random numbers does not depend on the result.
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

    /// Returns the positions of the allocations that were granted more than their base.
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

    /// Returns the position of the allocation of a volume with a queued block I/O.
    fn allocation_position(&self, volume: VolumeId) -> usize {
        self.position(volume)
            .expect("a volume with a queued block I/O has an allocation")
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
    /// Whether the volume was refused in this pass and has to wait for the next one.
    pub(super) refused: bool,
    /// Whether the volume's own allocation has a positive balance.
    pub(super) has_balance: bool,
}
