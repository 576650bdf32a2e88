//! Tests of the limit, the answers and the timeouts of pings on behalf of other members.
use super::*;

fn requester() -> SocketAddr {
    ([127, 0, 0, 1], 7_000).into()
}

#[test]
fn a_ping_is_removed_once_by_its_answer_or_after_half_a_period() {
    let mut pings = IndirectPings::new(1_000);
    pings.add(1, requester(), 11, 0);
    pings.add(2, requester(), 12, 100);
    let answered = pings.take_answered(1).expect("the ping is in flight");
    assert_eq!(answered.request_sequence, 11);
    assert_eq!(pings.take_answered(1), None);
    assert_eq!(pings.take_expired(599), None);
    let expired = pings
        .take_expired(600)
        .expect("the deadline of the ping has passed");
    assert_eq!(expired.request_sequence, 12);
    assert_eq!(pings.take_expired(600), None);
}

#[test]
fn up_to_sixty_four_pings_are_in_flight_and_all_can_be_cleared() {
    let mut pings = IndirectPings::new(1_000);
    for sequence in 0..64 {
        assert!(!pings.is_full());
        pings.add(sequence, requester(), sequence, 0);
    }
    assert!(pings.is_full());
    pings.clear();
    assert_eq!(pings.take_expired(10_000), None);
}
