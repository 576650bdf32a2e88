//! Estimates of when events arrived.
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;

#[test]
fn events_that_wake_the_loop_arrived_then_and_others_arrived_before() {
    let mut estimator = ArrivalEstimator::new(1_000);
    assert_eq!(estimator.estimate(1_010, 1_500), 1_500, "the poll slept");
    assert_eq!(
        estimator.estimate(2_500, 2_500),
        2_000,
        "the loop was busy, or kept from running, for 100 ms"
    );
    assert_eq!(estimator.estimate(2_502, 2_502), 2_501);
}
