//! Versions of the endpoint list, from a service that restarts, repeats itself or is replaced.
use super::*;

const FULL_SNAPSHOT: bool = true;
const CHANGES: bool = false;

fn update(version: u64, full_snapshot: bool) -> WatchEvent {
    WatchEvent {
        version,
        full_snapshot,
        endpoints: Vec::new(),
    }
}

fn service(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn changes_are_applied_once() {
    let mut version = ListVersion::new(service(1));
    assert_eq!(version.since(service(1)), None);
    let verdicts = [3, 3, 2, 4].map(|v| version.on_update(&update(v, CHANGES), service(1), None));
    let expected = [
        UpdateVersion::Newer,
        UpdateVersion::Outdated,
        UpdateVersion::Outdated,
        UpdateVersion::Newer,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(version.since(service(1)), Some(4));
}

#[test]
fn a_full_snapshot_is_applied_whatever_its_version() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let verdict = version.on_update(&update(7, FULL_SNAPSHOT), service(1), Some(50));
    assert_eq!(verdict, UpdateVersion::Newer);
    assert_eq!(version.since(service(1)), Some(7));
}

#[test]
fn a_service_that_restarts_with_lower_versions_is_asked_for_a_full_snapshot() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let verdict = version.on_update(&update(49, CHANGES), service(1), Some(50));
    assert_eq!(verdict, UpdateVersion::Restarted);
    assert_eq!(version.since(service(1)), None);
}

#[test]
fn a_service_that_repeats_the_version_it_was_asked_after_has_not_restarted() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let verdict = version.on_update(&update(50, CHANGES), service(1), Some(50));
    assert_eq!(verdict, UpdateVersion::Outdated);
    assert_eq!(version.since(service(1)), Some(50));
}

#[test]
fn versions_of_another_service_do_not_compare() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    assert_eq!(version.since(service(2)), None);
    let late = version.on_update(&update(51, FULL_SNAPSHOT), service(1), Some(50));
    assert_eq!(late, UpdateVersion::PreviousService);
    assert_eq!(version.since(service(2)), None);
    let first = version.on_update(&update(3, CHANGES), service(2), None);
    assert_eq!(first, UpdateVersion::Newer);
}
