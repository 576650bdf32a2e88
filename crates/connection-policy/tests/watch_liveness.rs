//! Failure detection of watches of the endpoint list.
use mallowseam_connection_policy::watch_liveness::{
    FIRST_EVENT_TIMEOUT, HEARTBEAT_TIMEOUT, RESPONSE_TIMEOUT, WatchLiveness,
};

#[test]
fn unanswered_request_and_silent_watch_fail_after_their_timeouts() {
    let mut watch = WatchLiveness::new(100);
    assert_eq!(watch.fails_at(), 100 + RESPONSE_TIMEOUT);
    watch.event_received(900);
    assert_eq!(watch.fails_at(), 900 + HEARTBEAT_TIMEOUT);
    watch.event_received(2_900);
    assert_eq!(watch.fails_at(), 2_900 + HEARTBEAT_TIMEOUT);
}

#[test]
fn timeout_of_a_slow_first_event_counts_from_the_request() {
    let mut watch = WatchLiveness::new(0);
    // The head of the response arrives, and then an incomplete line, which is not an event.
    watch.response_started();
    assert_eq!(watch.fails_at(), FIRST_EVENT_TIMEOUT);
    assert!(watch.event_received(3_900) && !watch.event_received(5_900));
    assert_eq!(watch.fails_at(), 5_900 + HEARTBEAT_TIMEOUT);
}

#[test]
fn failure_of_a_silent_watch_is_reported_once() {
    let mut watch = WatchLiveness::new(0);
    watch.response_started();
    assert!(
        !watch.is_established(),
        "the head of the response alone is not an event"
    );
    watch.event_received(10);
    assert!(watch.is_established());
    assert!(!watch.check_failure(10 + HEARTBEAT_TIMEOUT - 1));
    assert!(watch.check_failure(10 + HEARTBEAT_TIMEOUT) && !watch.check_failure(90_000));
}
