//! Tests of when comparisons are started, and of how many are answered.
use super::*;

const PERIOD: Millis = 1_000;

#[test]
fn a_joining_host_compares_five_times_a_period_and_a_joined_one_every_ten_periods() {
    let mut rng = SeededRng::new(1);
    for (is_joining, interval) in [(true, PERIOD / 5), (false, 10 * PERIOD)] {
        let mut anti_entropy = AntiEntropy::new(PERIOD, 0);
        assert!(anti_entropy.take_due(is_joining, &mut rng, 0));
        assert!(!anti_entropy.take_due(is_joining, &mut rng, interval - 1));
        let latest = interval + interval / 4;
        assert!(anti_entropy.take_due(is_joining, &mut rng, latest));
    }
}

#[test]
fn a_comparison_can_be_made_due_at_once() {
    let mut rng = SeededRng::new(1);
    let mut anti_entropy = AntiEntropy::new(PERIOD, 0);
    assert!(anti_entropy.take_due(false, &mut rng, 0));
    anti_entropy.start_now(1);
    assert!(anti_entropy.take_due(false, &mut rng, 1));
}

#[test]
fn sixteen_comparisons_are_answered_in_a_period_and_none_from_unknown_senders() {
    let mut anti_entropy = AntiEntropy::new(PERIOD, 0);
    assert!(!anti_entropy.admit_reply(false, 0));
    let admitted = (0..100).filter(|_| anti_entropy.admit_reply(true, PERIOD - 1));
    assert_eq!(admitted.count(), 16);
    assert!(anti_entropy.admit_reply(true, PERIOD));
}
