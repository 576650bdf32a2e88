//! Versions of the endpoint list from a discovery service that restarts, repeats an update or is replaced by another.
use super::*;

const FULL_SNAPSHOT: bool = true;
const INCREMENTAL: bool = false;

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
fn incremental_updates_are_applied_only_once() {
    let mut version = ListVersion::new(service(1));
    assert_eq!(version.since(service(1)), None);
    let classes =
        [3, 3, 2, 4].map(|v| version.on_update(&update(v, INCREMENTAL), service(1), None));
    let expected = [
        UpdateVersion::Newer,
        UpdateVersion::Outdated,
        UpdateVersion::Outdated,
        UpdateVersion::Newer,
    ];
    assert_eq!(classes, expected);
    assert_eq!(version.since(service(1)), Some(4));
}

#[test]
fn a_full_snapshot_is_applied_whatever_its_version() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let class = version.on_update(&update(7, FULL_SNAPSHOT), service(1), Some(50));
    assert_eq!(class, UpdateVersion::Newer);
    assert_eq!(version.since(service(1)), Some(7));
}

#[test]
fn a_service_that_restarts_with_lower_versions_is_asked_for_a_full_snapshot() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let class = version.on_update(&update(49, INCREMENTAL), service(1), Some(50));
    assert_eq!(class, UpdateVersion::Restarted);
    assert_eq!(version.since(service(1)), None);
}

#[test]
fn an_update_that_repeats_the_requested_version_is_outdated_and_no_restart() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    let class = version.on_update(&update(50, INCREMENTAL), service(1), Some(50));
    assert_eq!(class, UpdateVersion::Outdated);
    assert_eq!(version.since(service(1)), Some(50));
}

#[test]
fn versions_of_different_services_are_not_compared() {
    let mut version = ListVersion::new(service(1));
    version.use_cached(50);
    assert_eq!(version.since(service(2)), None);
    let late = version.on_update(&update(51, FULL_SNAPSHOT), service(1), Some(50));
    assert_eq!(late, UpdateVersion::PreviousService);
    assert_eq!(version.since(service(2)), None);
    let first = version.on_update(&update(3, INCREMENTAL), service(2), None);
    assert_eq!(first, UpdateVersion::Newer);
}
