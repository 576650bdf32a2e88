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

/// A budget with two volumes, of which one has units queued, after the start of an interval.
fn budget(ceiling: Option<f64>) -> NodeBudget {
    let mut budget = NodeBudget::default();
    budget.open_allocation(BUSY, 10.0);
    budget.open_allocation(IDLE, 10.0);
    budget.raise_to_minimum(5.0);
    budget.start_interval([(BUSY, 8.0)].into_iter(), |_| entitlement(10.0, ceiling));
    budget
}

/// Units that a volume may spend, one at a time, at a node without room to lend.
fn spendable(budget: &mut NodeBudget, volume: VolumeId) -> u32 {
    let rng = Pcg::new(1);
    let mut units = 0;
    while budget.charge(volume, 1.0, false, &rng) {
        units += 1;
    }
    units
}

#[test]
fn a_busy_volume_gets_its_base_and_what_idle_ones_leave() {
    // 20 of bases and 20 beyond: 2 go into the pool, an idle volume keeps a quarter of its history of 10.
    let mut budget = budget(None);
    let own = 40.0 - 2.0 - 2.5;
    assert_eq!(spendable(&mut budget, BUSY), own as u32 + 1 + 2);
}

#[test]
fn an_allocation_stops_at_the_ceiling_of_its_limit() {
    let mut budget = budget(Some(12.0));
    assert_eq!(spendable(&mut budget, BUSY), 12 + 2);
}

#[test]
fn an_idle_volume_that_returns_is_paid_for_by_a_bursting_one() {
    let mut budget = budget(None);
    let rng = Pcg::new(1);
    assert!(budget.charge(IDLE, 3.0, false, &rng), "from its own");
    assert!(budget.charge(IDLE, 20.0, false, &rng), "from the other's");
    assert!(!budget.charge(IDLE, 20.0, false, &rng), "none can pay");
}

#[test]
fn a_node_with_room_lends_what_nobody_can_pay() {
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
