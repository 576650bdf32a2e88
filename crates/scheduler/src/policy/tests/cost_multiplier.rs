use super::super::cost_multiplier::CostMultiplier;
use super::assert_close;

#[test]
fn only_answers_slower_than_twice_the_median_raise_the_multiplier() {
    let mut multiplier = CostMultiplier::default();
    for _ in 0..8 {
        multiplier.record(10.0);
    }
    let steady = multiplier.get();
    multiplier.record(20.0);
    assert_close(multiplier.get(), steady * 0.955);
    multiplier.record(20.1);
    assert_close(multiplier.get(), steady * 0.955 * 1.15);
}

#[test]
fn the_multiplier_stays_between_a_quarter_and_four() {
    let mut multiplier = CostMultiplier::default();
    for answer in 0..100 {
        multiplier.record(3.0_f64.powi(answer));
    }
    assert_close(multiplier.get(), 4.0);
    for _ in 0..100 {
        multiplier.record(1.0);
    }
    assert_close(multiplier.get(), 0.25);
}
