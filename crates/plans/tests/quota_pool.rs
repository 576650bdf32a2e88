//! Tests of the control service's quota pool: leases of the quota that hosts lend.
use mallowseam_plans::MilliUnits;
use mallowseam_plans::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use mallowseam_plans::quota_pool::{LEASE_DURATION, POLL_INTERVAL, QuotaPool};

/// Milliseconds for which the pool counts a lease as in use.
const LEASE_DURATION_WITH_MARGIN: u64 = LEASE_DURATION + CLOCK_SKEW_MARGIN;

#[test]
fn a_restarted_service_leases_nothing_that_may_still_be_in_use() {
    let mut pool = QuotaPool::new(1_000, false);
    for (now, leased) in [
        (1_000, 0),
        (1_000 + LEASE_DURATION_WITH_MARGIN - 1, 0),
        (1_000 + LEASE_DURATION_WITH_MARGIN, 300),
    ] {
        pool.on_report(0, now, 300, 0, now);
        pool.on_report(1, now, 0, 400, now);
        assert_eq!(pool.grant(1, now), leased, "at {now}");
    }
}

#[test]
fn lent_quota_is_leased_in_proportion_to_requests() {
    let mut pool = QuotaPool::new(0, true);
    pool.on_report(0, 0, 300, 0, 10);
    pool.on_report(1, 0, 0, 400, 10);
    pool.on_report(2, 0, 0, 200, 10);
    assert_eq!(
        (pool.grant(1, 10), pool.grant(2, 10), pool.grant(0, 10)),
        (200, 100, 0)
    );
}

#[test]
fn no_lease_outlasts_the_loans_that_back_it() {
    let mut pool = QuotaPool::new(0, true);
    pool.on_report(0, 0, 300, 0, 10);
    pool.on_report(1, 0, 0, 400, LOAN_DURATION - LEASE_DURATION_WITH_MARGIN);
    assert_eq!(
        pool.grant(1, LOAN_DURATION - LEASE_DURATION_WITH_MARGIN),
        300
    );
    pool.on_report(1, 0, 0, 400, LOAN_DURATION - LEASE_DURATION_WITH_MARGIN + 1);
    assert_eq!(
        pool.grant(1, LOAN_DURATION - LEASE_DURATION_WITH_MARGIN + 1),
        0
    );
}

#[test]
fn quota_that_a_lease_holder_may_still_use_is_not_leased_to_another() {
    let mut pool = QuotaPool::new(0, true);
    pool.on_report(0, 0, 300, 0, 10);
    pool.on_report(1, 0, 0, 900, 10);
    assert_eq!(pool.grant(1, 10), 300);
    // The first holder no longer reports; the second one requests the whole lent quota.
    pool.on_report(0, 1_000, 300, 0, 1_010);
    pool.on_report(2, 1_000, 0, 900, 1_010);
    assert_eq!(pool.grant(2, 1_010), 0);
    pool.on_report(0, 1_500, 300, 0, 1_570);
    pool.on_report(2, 1_500, 0, 900, 1_570);
    assert_eq!(
        pool.grant(2, 1_570),
        300,
        "the lent quota must be leased again once the first lease has expired"
    );
}

#[test]
fn quota_follows_demand_without_oscillation() {
    let mut pool = QuotaPool::new(0, true);
    let (mut now, mut last): (u64, (MilliUnits, MilliUnits)) = (0, (0, 0));
    let mut rises = 0;
    for round in 0..20 {
        now += POLL_INTERVAL;
        pool.on_report(0, now, 300, 0, now);
        let (first_request, second_request) = if round < 10 { (300, 0) } else { (0, 300) };
        pool.on_report(1, now, 0, first_request, now);
        pool.on_report(2, now, 0, second_request, now);
        let leased = (pool.grant(1, now), pool.grant(2, now));
        rises += u32::from(leased.0 > last.0) + u32::from(leased.1 > last.1);
        last = leased;
    }
    assert_eq!(last, (0, 300));
    assert!(
        rises <= 4,
        "leased amounts rose {rises} times, expected one rise for each holder, in steps as leases expire"
    );
}
