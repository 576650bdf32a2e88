//! Slots of the latest watch and the one before it.
use mallowseam_connection_policy::watch_slots::WatchSlots;

#[test]
fn watch_beside_an_open_one_takes_the_other_slot_and_one_after_a_failure_its_own() {
    let mut slots = WatchSlots::default();
    let first = slots.next_slot(false);
    let second = slots.next_slot(true);
    assert!(first != second && slots.is_latest(second) && !slots.is_latest(first));
    assert_eq!(slots.superseded_by(second), Some(first));
    assert_eq!(
        slots.superseded_by(first),
        None,
        "the old one supersedes nothing"
    );
    assert_eq!(
        slots.next_slot(false),
        second,
        "the second failed, and the first is still read"
    );
    assert_eq!(
        slots.next_slot(true),
        first,
        "a third takes the slot of the oldest"
    );
}
