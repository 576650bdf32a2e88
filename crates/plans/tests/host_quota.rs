//! Tests of a host's quota: what the host lends, leases and may use.
use mallowseam_plans::host_quota::{CLOCK_SKEW_MARGIN, HostQuota, LOAN_DURATION};

#[test]
fn a_loan_ends_when_it_expires_and_not_before() {
    let mut quota = HostQuota::new(900, 3);
    assert_eq!(quota.lend(200, 1_000), 200);
    assert_eq!(quota.available(1_000), 100);
    // A later, smaller loan does not end the first one: other hosts may still use the first one.
    quota.lend(50, 1_500);
    assert_eq!(
        quota.available(1_000 + LOAN_DURATION + CLOCK_SKEW_MARGIN - 1),
        100
    );
    assert_eq!(
        quota.available(1_000 + LOAN_DURATION + CLOCK_SKEW_MARGIN),
        250
    );
    assert_eq!(
        quota.available(1_500 + LOAN_DURATION + CLOCK_SKEW_MARGIN),
        300
    );
}

#[test]
fn the_duration_of_a_lease_counts_from_its_request() {
    let mut quota = HostQuota::new(900, 3);
    quota.add_lease(400, 1_000, 1_500, 2_000);
    assert_eq!((quota.available(2_499), quota.available(2_500)), (700, 300));
    quota.add_lease(400, 1_000, 1_500, 2_600);
    assert_eq!(
        quota.available(2_600),
        300,
        "a lease that has expired before its arrival must not count"
    );
}

#[test]
fn a_host_that_starts_uses_only_what_it_cannot_have_lent() {
    let mut quota = HostQuota::new(900, 3);
    quota.restrict_until(3_050, 0);
    assert_eq!(
        (
            quota.available(0),
            quota.available(3_049),
            quota.available(3_050)
        ),
        (75, 75, 300)
    );
    let mut other = HostQuota::new(900, 3);
    assert_eq!(
        other.lend(other.lendable(0), 0),
        225,
        "a host must not lend more than this without demand"
    );
}

#[test]
fn a_host_keeps_quota_for_its_demand_with_headroom_and_a_reserve() {
    let quota = HostQuota::new(900, 3);
    assert_eq!(quota.lendable(0), 225);
    assert_eq!(quota.lendable(200), 50);
    assert_eq!(quota.lendable(10_000), 0);
    assert_eq!(
        HostQuota::new(900, 3).lend(5_000, 0),
        300,
        "a host must not lend more than its nominal quota"
    );
}
