use super::super::node_budget::{Entitlement, NodeBudget};
use crate::interface::VolumeId;
use crate::pcg::Pcg;

const BUSY: VolumeId = VolumeId(1);
const IDLE: VolumeId = VolumeId(2);

fn entitlement(base: f64, ceiling: Option<f64>) -> Entitlement {
    Entitlement {
        base,
        ceiling,
        weight: 1.0,
    }
}

/// Returns a budget with two volumes after the start of an interval. One volume has units queued; the other is idle.
fn budget(ceiling: Option<f64>) -> NodeBudget {
    let mut budget = NodeBudget::default();
    budget.open_allocation(BUSY, 10.0);
    budget.open_allocation(IDLE, 10.0);
    budget.raise_to_minimum(5.0);
    budget.start_interval([(BUSY, 8.0)].into_iter(), |_| entitlement(10.0, ceiling));
    budget
}

/// Returns the units that a volume may spend, one at a time, at a node without free capacity to lend.
fn spendable(budget: &mut NodeBudget, volume: VolumeId) -> u32 {
    let rng = Pcg::new(1);
    let mut units = 0;
    while budget.charge(volume, 1.0, false, &rng) {
        units += 1;
    }
    units
}

#[test]
fn a_busy_volume_gets_its_base_and_the_unused_budget_of_idle_volumes() {
    // The budget is 20 for the bases and 20 extra: 2 go into the pool, and the idle volume keeps a quarter of its
    // history of 10.
    let mut budget = budget(None);
    let own = 40.0 - 2.0 - 2.5;
    assert_eq!(spendable(&mut budget, BUSY), own as u32 + 1 + 2);
}

#[test]
fn an_allocation_does_not_exceed_its_ceiling() {
    let mut budget = budget(Some(12.0));
    assert_eq!(spendable(&mut budget, BUSY), 12 + 2);
}

#[test]
fn a_volume_that_becomes_active_again_is_charged_to_a_bursting_one() {
    let mut budget = budget(None);
    let rng = Pcg::new(1);
    assert!(
        budget.charge(IDLE, 3.0, false, &rng),
        "the volume's own allocation is charged"
    );
    assert!(
        budget.charge(IDLE, 20.0, false, &rng),
        "the bursting volume's allocation is charged"
    );
    assert!(
        !budget.charge(IDLE, 20.0, false, &rng),
        "no allocation covers the cost"
    );
}

#[test]
fn a_node_with_free_capacity_lends_a_cost_that_no_allocation_covers() {
    let mut budget = NodeBudget::default();
    budget.open_allocation(BUSY, 0.0);
    let rng = Pcg::new(1);
    assert!(!budget.charge(BUSY, 1.0, false, &rng));
    assert!(budget.charge(BUSY, 1.0, true, &rng));
    assert!(!budget.allocation_status(BUSY).has_balance);
}

#[test]
fn a_volume_is_refused_for_one_dispatch_pass() {
    let mut budget = budget(None);
    budget.begin_pass();
    assert!(!budget.allocation_status(BUSY).refused);
    budget.refuse(BUSY);
    assert!(budget.allocation_status(BUSY).refused);
    assert!(!budget.allocation_status(IDLE).refused);
    budget.begin_pass();
    assert!(!budget.allocation_status(BUSY).refused);
}
