//! Tests of the order of transmissions, of their maximum number, and of the backlog.
use super::*;

#[test]
fn updates_with_the_fewest_transmissions_come_first_and_are_dropped_at_the_maximum() {
    let mut queue = GossipQueue::default();
    for id in [5, 6, 7] {
        queue.enqueue(id);
    }
    queue.count_transmission(5);
    queue.count_transmission(5);
    queue.count_transmission(6);
    assert_eq!(queue.least_sent_first(3), [7, 6, 5]);
    assert_eq!(queue.least_sent_first(2), [7, 6]);
    queue.enqueue(6);
    assert_eq!(queue.least_sent_first(1), [6, 7]);
    queue.withdraw(6);
    assert_eq!(queue.least_sent_first(1), [7]);
}

#[test]
fn seventeen_queued_updates_are_a_backlog() {
    let mut queue = GossipQueue::default();
    (0..16).for_each(|id| queue.enqueue(id));
    assert!(!queue.has_backlog());
    queue.enqueue(16);
    assert!(queue.has_backlog());
}
