use super::super::lost_responses::{AttemptsInFlight, LostResponseDetector};
use crate::interface::BioId;

#[test]
fn an_attempt_is_overtaken_once_a_later_one_completed() {
    let mut in_flight = AttemptsInFlight::default();
    in_flight.add(100, BioId(1));
    in_flight.add(200, BioId(2));
    assert!(!in_flight.is_overtaken(100));
    in_flight.remove(BioId(2));
    in_flight.record_completion(200);
    assert!(in_flight.is_overtaken(100));
    assert!(!in_flight.is_overtaken(200));
}

#[test]
fn only_old_overtaken_attempts_count_as_lost() {
    let mut in_flight = AttemptsInFlight::default();
    in_flight.add(100, BioId(1));
    in_flight.add(180, BioId(2));
    in_flight.record_completion(200);
    let lost = |now, span| {
        let attempts = in_flight.overtaken(now, span);
        attempts.map(|attempt| attempt.bio.0).collect::<Vec<_>>()
    };
    assert_eq!(lost(250, 100), [1]);
    assert_eq!(lost(300, 100), [1, 2]);
    assert_eq!(lost(200, 100), [0; 0]);
    assert_eq!(in_flight.count_younger_than(250, 100), 1);
}

#[test]
fn loss_detection_lasts_five_seconds_after_a_lost_response() {
    let mut detector = LostResponseDetector::default();
    assert!(!detector.is_losing(0));
    detector.record_loss(1_000);
    assert!(detector.is_losing(50_999));
    assert!(!detector.is_losing(51_000));
}
