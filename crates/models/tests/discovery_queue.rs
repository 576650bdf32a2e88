//! Queue model of the discovery service: order of service, timeout of queued polls, and faulty behaviors.
use mallowseam_models::discovery_queue::{DiscoveryQueue, PollOutcome, ServiceBehavior};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn polls_are_served_in_order_and_rejected_after_the_timeout() {
    use PollOutcome::{Rejected, Served};
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut queue = DiscoveryQueue::new(400_000, 1_000_000);
    for poll in 0..6 {
        assert_eq!(queue.enqueue(0, poll, &mut rng), None);
    }
    queue.cancel(1);
    let (mut now, mut finished) = (0, Vec::new());
    while let Some(due) = queue.next_due() {
        now = due;
        finished.extend(
            queue
                .complete_next(now)
                .map(|(poll, outcome)| (poll, outcome, now)),
        );
    }
    let expected = [
        (0, Served, 400_000),
        (2, Served, 800_000),
        (3, Served, 1_200_000),
        (4, Rejected, 1_200_000),
        (5, Rejected, 1_200_000),
    ];
    assert_eq!(finished, expected);
    assert_eq!((queue.max_queued, queue.rejected, now), (5, 2, 1_200_000));
    queue.set_behavior(now, ServiceBehavior::Rejecting(1.0));
    assert_eq!(queue.enqueue(now, 9, &mut rng), Some(Rejected));
    queue.set_behavior(now, ServiceBehavior::Hung);
    assert_eq!(
        (queue.enqueue(now, 10, &mut rng), queue.next_due()),
        (None, None),
        "a hung service must not respond"
    );
    queue.set_behavior(now, ServiceBehavior::Down);
    queue.set_behavior(now, ServiceBehavior::Normal);
    assert_eq!(queue.next_due(), None, "an outage must drop all polls");
}
