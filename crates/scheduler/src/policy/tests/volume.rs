use super::super::plan_rates::PlanRates;
use super::super::volume::Volume;
use super::assert_close;
use crate::interface::Plan;

const MAX_IO_UNITS: f64 = 8.0;

/// Returns a plan with this rate limit over all hosts, a burst of 40 units and a reservation of 1,000 units per second.
fn plan(rate_limit: f64) -> PlanRates {
    PlanRates::from(&Plan {
        reserved_rate: 1_000.0,
        rate_limit,
        burst_units: 40.0,
        weight: 0.0,
        priority_factor: 1.0,
        ..Plan::default()
    })
}

fn volume(quota: Option<f64>) -> Volume {
    Volume::new(0, 2.0, quota, 0)
}

#[test]
fn the_bucket_starts_empty_and_fills_to_this_hosts_share_of_the_burst() {
    let plan = plan(10_000.0);
    let mut volume = volume(None);
    assert!(volume.lacks_tokens(0, 0.1, true));
    volume.refill(10, &plan, MAX_IO_UNITS);
    assert!(!volume.lacks_tokens(10, 5.0, true));
    assert!(volume.lacks_tokens(10, 5.1, true));
    volume.refill(10_000, &plan, MAX_IO_UNITS);
    assert!(volume.lacks_tokens(10_000, 20.1, true));
}

#[test]
fn a_quota_replaces_the_even_share() {
    let plan = plan(10_000.0);
    let mut volume = volume(Some(0.9));
    volume.refill(10, &plan, MAX_IO_UNITS);
    assert!(!volume.lacks_tokens(10, 9.0, true));
    assert!(volume.lacks_tokens(10, 9.1, true));
}

#[test]
fn tokens_too_few_for_the_highest_weight_class_are_held_for_it() {
    let plan = plan(10_000.0);
    let mut volume = volume(None);
    volume.hold_tokens_for_top_class(0, 4.0);
    volume.refill(20_000, &plan, MAX_IO_UNITS);
    assert!(volume.lacks_tokens(29_999, 1.0, false));
    assert!(!volume.lacks_tokens(29_999, 1.0, true));
    assert!(!volume.lacks_tokens(30_000, 1.0, false));
}

#[test]
fn the_ceiling_is_the_limit_less_usage_by_other_hosts_but_at_least_this_hosts_share() {
    let plan = plan(10_000.0);
    let mut volume = volume(None);
    let ceiling = |volume: &Volume| {
        volume
            .entitlement(&plan)
            .ceiling
            .expect("the plan has a rate limit")
    };
    assert_close(ceiling(&volume), 520.0);
    volume.record_other_hosts_usage(1e9, &plan);
    volume.end_interval();
    // A report counts as at most one burst, and enters a mean over about one second.
    assert_close(ceiling(&volume), 1_020.0 - 4.0);
    assert!(volume.entitlement(&self::plan(0.0)).ceiling.is_none());
}

#[test]
fn a_volume_is_forgotten_when_it_is_idle_and_its_tokens_are_full() {
    let plan = plan(1.0);
    let mut volume = volume(None);
    volume.begin_block_io(0, 2.0);
    volume.refill(200_000, &plan, MAX_IO_UNITS);
    assert!(
        !volume.is_forgettable(200_000, &plan),
        "the volume has a block I/O in progress"
    );
    volume.end_block_io();
    assert!(
        !volume.is_forgettable(200_000, &plan),
        "the tokens are not full"
    );
    volume.refill(500_000, &plan, MAX_IO_UNITS);
    assert!(volume.is_forgettable(500_000, &plan));
    assert!(
        !volume.is_forgettable(100_000, &plan),
        "the volume was used recently"
    );
}
