//! Tests of the ids of hosts, and of the leases that answer reports.
use super::Quotas;
use mallowseam_plans::messages::{VolumeLease, VolumeReport};
use mallowseam_plans::state::{Change, Plan, State};

fn plans() -> State {
    let mut state = State::default();
    let set = Change::SetPlan {
        name: "basic".to_owned(),
        plan: Plan::default(),
    };
    let assign = Change::AssignPlan {
        volume: "a".to_owned(),
        plan: "basic".to_owned(),
    };
    for change in [set, assign] {
        state.apply(&change).expect("the change is valid");
    }
    state
}

fn report(volume: &str, lent: u64, requested: u64) -> Vec<VolumeReport> {
    vec![VolumeReport {
        volume: volume.to_owned(),
        lent,
        requested,
    }]
}

#[test]
fn a_host_keeps_its_id() {
    let mut quotas = Quotas::new(0, true);
    let first = quotas.host_id("gw0");
    let second = quotas.host_id("gw1");
    assert_ne!(first, second);
    assert_eq!(quotas.host_id("gw0"), first);
}

#[test]
fn quota_that_one_host_lends_is_leased_to_another() {
    let mut quotas = Quotas::new(0, true);
    let lender = quotas.host_id("gw0");
    let holder = quotas.host_id("gw1");
    let leases = quotas.on_report(lender, 0, report("a", 5_000, 0), &plans(), 0);
    assert!(leases.is_empty());
    let leases = quotas.on_report(holder, 0, report("a", 0, 3_000), &plans(), 0);
    let expected = VolumeLease {
        volume: "a".to_owned(),
        amount: 3_000,
    };
    assert_eq!(leases, [expected]);
}

#[test]
fn a_volume_that_does_not_exist_gets_no_pool() {
    let mut quotas = Quotas::new(0, true);
    let lender = quotas.host_id("gw0");
    let leases = quotas.on_report(lender, 0, report("none", 5_000, 3_000), &plans(), 0);
    assert!(leases.is_empty());
    assert!(quotas.pools.is_empty());
}
