//! Bound, answers and timeouts of pings for other members.
use super::*;

fn requester() -> SocketAddr {
    ([127, 0, 0, 1], 7_000).into()
}

#[test]
fn a_ping_is_taken_out_once_by_its_answer_or_after_half_a_period() {
    let mut pings = IndirectPings::new(1_000);
    pings.add(1, requester(), 11, 0);
    pings.add(2, requester(), 12, 100);
    let answered = pings.take_answered(1).expect("it is under way");
    assert_eq!(answered.request_sequence, 11);
    assert_eq!(pings.take_answered(1), None);
    assert_eq!(pings.take_expired(599), None);
    let expired = pings.take_expired(600).expect("its time is over");
    assert_eq!(expired.request_sequence, 12);
    assert_eq!(pings.take_expired(600), None);
}

#[test]
fn there_is_room_for_sixty_four_and_a_stop_clears_them() {
    let mut pings = IndirectPings::new(1_000);
    for sequence in 0..64 {
        assert!(!pings.is_full());
        pings.add(sequence, requester(), sequence, 0);
    }
    assert!(pings.is_full());
    pings.clear();
    assert_eq!(pings.take_expired(10_000), None);
}
