//! Tests of the start and end of an isolation.
use super::*;

#[test]
fn a_host_is_isolated_after_four_periods_without_messages_until_the_next_message() {
    let mut isolation = Isolation::new(1_000);
    assert_eq!(
        isolation.begin_if_silent(true, 9_999),
        None,
        "a host that never received a message is not isolated"
    );
    assert!(!isolation.on_message(500));
    assert_eq!(isolation.begin_if_silent(true, 4_499), None);
    assert_eq!(isolation.begin_if_silent(false, 4_500), None);
    assert_eq!(isolation.begin_if_silent(true, 4_500), Some(500));
    assert!(isolation.is_isolated());
    assert_eq!(
        isolation.begin_if_silent(true, 4_600),
        None,
        "the isolation has begun already"
    );
    assert!(isolation.on_message(4_700));
    assert!(!isolation.is_isolated());
}

#[test]
fn a_pause_does_not_count_as_time_without_messages() {
    let mut isolation = Isolation::new(1_000);
    isolation.on_message(0);
    isolation.on_pause(5_000);
    assert_eq!(isolation.begin_if_silent(true, 8_999), None);
    assert_eq!(isolation.begin_if_silent(true, 9_000), Some(5_000));
}
