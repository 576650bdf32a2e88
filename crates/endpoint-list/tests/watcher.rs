//! Events of a host's watcher for messages of the service.
use mallowseam_endpoint_list::{
    Endpoint, EndpointState, EndpointUpdate, EndpointWatcher, ListVersion, UpdateKind, WatchEvent,
    write_update,
};
use std::num::NonZeroU64;

const UPTIME_MS: u64 = 10;

fn endpoint(name: &str, state: EndpointState, generation: u64) -> Endpoint {
    Endpoint {
        name: name.into(),
        state,
        generation: NonZeroU64::new(generation),
        uptime_ms: UPTIME_MS,
    }
}

fn snapshot(epoch: u64, version: u64, endpoints: &[Endpoint]) -> String {
    let mut out = String::new();
    write_update(
        &mut out,
        ListVersion { epoch, version },
        UpdateKind::FullSnapshot,
        endpoints,
    );
    out
}

fn increment(epoch: u64, version: u64, endpoints: &[Endpoint]) -> String {
    let mut out = String::new();
    write_update(
        &mut out,
        ListVersion { epoch, version },
        UpdateKind::Incremental,
        endpoints,
    );
    out
}

fn receive(watcher: &mut EndpointWatcher, text: &str) -> Vec<WatchEvent> {
    let mut events = Vec::new();
    watcher
        .receive(text.as_bytes(), |event| events.push(event))
        .expect("message is valid");
    events
}

/// Returns a watcher that has received a message.
fn watcher_after(message: &str) -> EndpointWatcher {
    let mut watcher = EndpointWatcher::default();
    receive(&mut watcher, message);
    watcher
}

#[test]
fn an_update_is_notified_once_even_if_split_and_repeated() {
    let endpoints = [
        endpoint("a", EndpointState::Active, 5),
        endpoint("b", EndpointState::Draining, 0),
    ];
    let text = snapshot(9, 3, &endpoints);
    let mut watcher = EndpointWatcher::default();
    let mut events = Vec::new();
    for byte in text.repeat(2).bytes() {
        watcher
            .receive(&[byte], |event| events.push(event))
            .expect("message is valid");
    }
    let update = EndpointUpdate {
        kind: UpdateKind::FullSnapshot,
        endpoints: endpoints.to_vec(),
    };
    assert_eq!(events, [WatchEvent::Update(update)]);
}

#[test]
fn a_stale_version_is_dropped_and_a_gap_requires_a_snapshot() {
    let mut watcher = watcher_after(&snapshot(9, 3, &[endpoint("a", EndpointState::Active, 5)]));
    let removed = [endpoint("a", EndpointState::Removed, 5)];
    assert_eq!(receive(&mut watcher, &increment(9, 2, &removed)), []);
    assert_eq!(
        receive(&mut watcher, &increment(9, 5, &removed)),
        [WatchEvent::SnapshotRequired]
    );
    let next = receive(&mut watcher, &increment(9, 4, &removed));
    assert!(matches!(next[..], [WatchEvent::Update(_)]));
}

#[test]
fn an_older_generation_does_not_replace_a_newer_one() {
    let mut watcher = watcher_after(&snapshot(9, 1, &[endpoint("a", EndpointState::Active, 8)]));
    let events = receive(
        &mut watcher,
        &snapshot(9, 2, &[endpoint("a", EndpointState::Removed, 7)]),
    );
    let empty = EndpointUpdate {
        kind: UpdateKind::FullSnapshot,
        endpoints: vec![],
    };
    assert_eq!(events, [WatchEvent::Update(empty)]);
    assert!(watcher.write_cache().contains("node a active 8"));
}

#[test]
fn a_restarted_service_is_followed_from_its_first_snapshot() {
    let mut watcher = watcher_after(&snapshot(9, 30, &[endpoint("a", EndpointState::Active, 8)]));
    let events = receive(
        &mut watcher,
        &snapshot(10, 1, &[endpoint("a", EndpointState::Draining, 8)]),
    );
    assert!(matches!(events[..], [WatchEvent::Update(_)]));
    let events = receive(
        &mut watcher,
        &increment(11, 2, &[endpoint("a", EndpointState::Active, 8)]),
    );
    assert_eq!(events, [WatchEvent::SnapshotRequired]);
}

#[test]
fn a_cache_is_restored_and_a_truncated_one_is_rejected() {
    let endpoints = [
        endpoint("a", EndpointState::Active, 5),
        endpoint("b", EndpointState::Removed, 0),
    ];
    let watcher = watcher_after(&snapshot(9, 3, &endpoints));
    let cache = watcher.write_cache();
    let restored = EndpointWatcher::default()
        .restore_cache(&cache)
        .expect("cache is complete");
    assert_eq!(restored.endpoints, endpoints);
    for end in 0..cache.len() - 1 {
        assert!(
            EndpointWatcher::default()
                .restore_cache(&cache[..end])
                .is_err(),
            "truncated at {end}"
        );
    }
}

#[test]
fn an_error_contains_the_number_of_its_line() {
    let long = "x".repeat(300);
    for (text, line) in [
        ("hello\n", 1),
        ("list 1 1 whole 1\nlist 1 2 whole 0\n", 2),
        ("list 1 1 whole 1\nnode a up 1 2\n", 2),
        ("list 1 1 whole 99999\n", 1),
        (long.as_str(), 1),
    ] {
        let error = EndpointWatcher::default()
            .receive(text.as_bytes(), |_| {})
            .expect_err(text);
        assert_eq!(error.line, line, "{text}");
    }
}
