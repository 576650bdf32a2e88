//! Tests of protocol periods, the pending ping, and the local health multiplier.
use super::*;
use crate::record::Name;

const PERIOD: Millis = 1_000;
const TARGET: PingTarget = PingTarget { id: 7, sequence: 3 };

fn detector() -> FailureDetector {
    let name = Name::try_from("own").expect("name within the length limit");
    let address = ([127, 0, 0, 1], 7_000).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    assert_eq!(config.protocol_period, PERIOD);
    FailureDetector::new(&config, 0)
}

/// Returns a detector whose pending ping was sent at time 0.
fn waiting_detector() -> FailureDetector {
    let mut detector = detector();
    assert_eq!(detector.begin_period(0), None);
    detector.await_ack(TARGET, 0);
    detector
}

/// Begins a period at `now`, and returns its length.
fn period_from(detector: &mut FailureDetector, now: Millis) -> Millis {
    detector.begin_period(now);
    let end = (now..now + 20 * PERIOD).find(|time| detector.is_period_over(*time));
    end.expect("the period ends within 20 protocol periods") - now
}

#[test]
fn each_round_visits_each_eligible_member_once() {
    let mut detector = detector();
    let mut rng = SeededRng::new(1);
    for _ in 0..3 {
        let mut round: Vec<u64> = (0..9)
            .filter_map(|_| detector.next_target(&mut rng, |id| id != 4, 0..10))
            .collect();
        round.sort_unstable();
        assert_eq!(round, [0, 1, 2, 3, 5, 6, 7, 8, 9]);
    }
    assert_eq!(detector.next_target(&mut rng, |_| false, 0..10), None);
}

#[test]
fn other_members_are_asked_to_ping_once_between_the_timeout_and_the_end_of_the_period() {
    let mut detector = waiting_detector();
    assert_eq!(detector.unanswered_target(399), None);
    assert_eq!(detector.unanswered_target(400), Some(TARGET));
    assert_eq!(detector.unanswered_target(PERIOD), None);
    detector.indirect_pings_requested(0);
    assert_eq!(detector.unanswered_target(400), None);
}

#[test]
fn a_member_that_does_not_answer_is_suspected_at_the_end_of_the_period() {
    let mut detector = waiting_detector();
    detector.on_ack(TARGET.id + 1, TARGET.sequence);
    detector.on_ack(TARGET.id, TARGET.sequence + 1);
    detector.on_indirect_result(TARGET.sequence + 1, true);
    detector.on_indirect_result(TARGET.sequence, false);
    assert_eq!(detector.begin_period(PERIOD), Some(TARGET.id));
    assert_eq!(detector.begin_period(2 * PERIOD), None);
}

#[test]
fn an_ack_to_this_host_or_to_another_one_ends_the_pending_ping() {
    let mut directly = waiting_detector();
    directly.on_ack(TARGET.id, TARGET.sequence);
    assert_eq!(directly.begin_period(PERIOD), None);
    let mut indirectly = waiting_detector();
    indirectly.on_indirect_result(TARGET.sequence, true);
    assert_eq!(indirectly.begin_period(PERIOD), None);
}

#[test]
fn ping_requests_without_any_result_lengthen_the_next_period() {
    let mut unreported = waiting_detector();
    unreported.indirect_pings_requested(3);
    assert_eq!(period_from(&mut unreported, PERIOD), 2 * PERIOD);
    let mut reported = waiting_detector();
    reported.indirect_pings_requested(3);
    reported.on_indirect_result(TARGET.sequence, false);
    assert_eq!(period_from(&mut reported, PERIOD), PERIOD);
}

#[test]
fn periods_lengthen_up_to_nine_times_and_shorten_with_each_ack() {
    let mut detector = waiting_detector();
    (0..20).for_each(|_| detector.on_refutation());
    assert_eq!(period_from(&mut detector, 0), 9 * PERIOD);
    detector.await_ack(TARGET, 0);
    detector.on_ack(TARGET.id, TARGET.sequence);
    assert_eq!(period_from(&mut detector, 0), 8 * PERIOD);
}

#[test]
fn a_pause_drops_the_pending_ping_and_lengthens_the_period() {
    let mut detector = waiting_detector();
    detector.on_pause();
    assert_eq!(detector.unanswered_target(500), None);
    assert_eq!(period_from(&mut detector, 5 * PERIOD), 2 * PERIOD);
}
