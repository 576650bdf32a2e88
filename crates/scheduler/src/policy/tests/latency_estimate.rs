use super::super::latency_estimate::LatencyEstimate;
use super::assert_close;

#[test]
fn the_first_answer_is_the_mean_and_later_ones_weigh_less() {
    let mut latency = LatencyEstimate::default();
    latency.record_answer(400.0);
    assert_close(latency.mean(), 400.0);
    latency.record_answer(200.0);
    assert_close(latency.mean(), 300.0);
    for _ in 0..20 {
        latency.record_answer(300.0);
    }
    latency.record_answer(400.0);
    assert_close(latency.mean(), 315.0);
}

#[test]
fn a_failure_never_lowers_the_mean() {
    let mut latency = LatencyEstimate::default();
    latency.record_answer(400.0);
    latency.record_failure(0.0);
    assert_close(latency.mean(), 400.0);
    latency.record_failure(900.0);
    assert_close(latency.mean(), 600.0);
}

#[test]
fn no_attempt_counts_as_lost_before_half_of_the_objective() {
    let mut latency = LatencyEstimate::default();
    latency.record_answer(10.0);
    assert_eq!(latency.lost_after(1_000.0), 500);
    latency.record_answer(590.0);
    assert_eq!(latency.lost_after(1_000.0), 1_200);
}
