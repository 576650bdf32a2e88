//! Failure detection of watches of the endpoint list.
use mallowseam_connection_policy::watch_liveness::{
    FIRST_EVENT_TIMEOUT, HEARTBEAT_TIMEOUT, RESPONSE_TIMEOUT, WatchLiveness,
};

#[test]
fn unanswered_request_and_silent_watch_have_failed() {
    let mut watch = WatchLiveness::new(100);
    assert_eq!(watch.fails_at(), 100 + RESPONSE_TIMEOUT);
    watch.event_received(900);
    assert_eq!(watch.fails_at(), 900 + HEARTBEAT_TIMEOUT);
    watch.event_received(2_900);
    assert_eq!(watch.fails_at(), 2_900 + HEARTBEAT_TIMEOUT);
}

#[test]
fn list_that_arrives_slowly_has_its_time_from_the_request_on() {
    let mut watch = WatchLiveness::new(0);
    // The head, and then an incomplete line, which is no event.
    watch.response_started();
    assert_eq!(watch.fails_at(), FIRST_EVENT_TIMEOUT);
    assert!(watch.event_received(3_900) && !watch.event_received(5_900));
    assert_eq!(watch.fails_at(), 5_900 + HEARTBEAT_TIMEOUT);
}

#[test]
fn silence_is_reported_once() {
    let mut watch = WatchLiveness::new(0);
    watch.response_started();
    assert!(!watch.is_established(), "a head alone is no event");
    watch.event_received(10);
    assert!(watch.is_established());
    assert!(!watch.check_failure(10 + HEARTBEAT_TIMEOUT - 1));
    assert!(watch.check_failure(10 + HEARTBEAT_TIMEOUT) && !watch.check_failure(90_000));
}
