//! Tests of the order of timeouts and of the removal of timeouts whose attempt has ended.
use super::{AttemptTimeouts, REMOVAL_THRESHOLD};

#[test]
fn timeouts_are_taken_in_order_of_time_once_they_are_due() {
    let mut timeouts = AttemptTimeouts::default();
    timeouts.add(30, 3);
    timeouts.add(10, 1);
    timeouts.add(20, 2);
    assert_eq!(timeouts.next_due(), Some(10));
    assert_eq!(timeouts.take_due(9), None);
    assert_eq!(timeouts.take_due(20), Some(1));
    assert_eq!(timeouts.take_due(20), Some(2));
    assert_eq!(timeouts.take_due(20), None);
    assert_eq!(timeouts.next_due(), Some(30));
}

#[test]
fn timeouts_of_ended_attempts_are_removed_only_once_there_are_many() {
    let mut timeouts = AttemptTimeouts::default();
    let many = REMOVAL_THRESHOLD as u32;
    for tag in 0..many {
        timeouts.add(i64::from(tag), tag);
    }
    let is_in_flight = |tag: u32| tag == many;
    timeouts.remove_ended(0, is_in_flight);
    assert_eq!(timeouts.next_due(), Some(0));
    timeouts.add(i64::from(many), many);
    timeouts.remove_ended(1, is_in_flight);
    assert_eq!(
        timeouts.next_due(),
        Some(0),
        "a block I/O in flight raises the removal threshold"
    );
    timeouts.remove_ended(0, is_in_flight);
    assert_eq!(timeouts.next_due(), Some(i64::from(many)));
}
