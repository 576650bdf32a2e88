//! Slots of the latest watch and its predecessor.
use mallowseam_connection_policy::watch_slots::WatchSlots;

#[test]
fn watch_beside_an_open_one_takes_the_other_slot_and_watch_after_a_failure_takes_the_same_slot() {
    let mut slots = WatchSlots::default();
    let first = slots.next_slot(false);
    let second = slots.next_slot(true);
    assert!(first != second && slots.is_latest(second) && !slots.is_latest(first));
    assert_eq!(slots.superseded_by(second), Some(first));
    assert_eq!(
        slots.superseded_by(first),
        None,
        "the older watch supersedes nothing"
    );
    assert_eq!(
        slots.next_slot(false),
        second,
        "the second watch failed, and the first is still read"
    );
    assert_eq!(
        slots.next_slot(true),
        first,
        "a third watch takes the slot of the oldest"
    );
}
