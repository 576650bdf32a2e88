//! Tests of host leases as the catalog sees them: a version must not be effective while a host may act on an older one.
use mallowseam_cow::leases::{HostLeases, LEASE_DURATION, LEASE_MARGIN};

#[test]
fn version_is_effective_once_every_host_has_acknowledged_it() {
    let mut leases = HostLeases::new(0, true);
    assert!(leases.is_effective(9, 0));
    leases.renew("a", 4, 0);
    leases.renew("b", 5, 0);
    assert!(!leases.is_effective(5, 10));
    leases.acknowledge("a", 5);
    assert!(leases.is_effective(5, 10) && !leases.is_effective(6, 10));
}

#[test]
fn silent_host_blocks_a_version_until_its_lease_expires() {
    let mut leases = HostLeases::new(0, true);
    let duration = leases.renew("a", 4, 100);
    assert!(!leases.is_effective(5, 100 + duration + LEASE_MARGIN - 1));
    assert!(leases.is_effective(5, 100 + duration + LEASE_MARGIN));
    assert_eq!(
        leases.blocking_hosts(5, 200),
        [("a", 100 + duration + LEASE_MARGIN)]
    );
}

#[test]
fn restarted_catalog_waits_for_leases_it_does_not_know() {
    let leases = HostLeases::new(1_000, false);
    assert!(!leases.is_effective(1, 1_000 + LEASE_DURATION));
    assert!(leases.is_effective(1, 1_000 + LEASE_DURATION + LEASE_MARGIN));
}

#[test]
fn older_acknowledgement_does_not_replace_a_newer_one() {
    let mut leases = HostLeases::new(0, true);
    leases.renew("a", 5, 0);
    leases.acknowledge("a", 3);
    assert!(leases.is_effective(5, 1));
}

#[test]
fn lease_margin_covers_clock_drift() {
    // A host whose clock is slow by one per cent acts for longer than the duration of its lease.
    const { assert!(LEASE_DURATION * 101 / 100 < LEASE_DURATION + LEASE_MARGIN) };
}
