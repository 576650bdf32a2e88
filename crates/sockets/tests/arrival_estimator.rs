//! Estimates of when the events of a poll arrived.
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;

#[test]
fn events_of_a_poll_that_slept_arrive_at_its_return_and_others_between_polls() {
    let mut estimator = ArrivalEstimator::new(1_000);
    assert_eq!(
        estimator.estimate(1_010, 1_500),
        1_500,
        "the poll slept until the events arrived"
    );
    assert_eq!(
        estimator.estimate(2_500, 2_500),
        2_000,
        "the event loop was busy or not scheduled for 100 ms"
    );
    assert_eq!(estimator.estimate(2_502, 2_502), 2_501);
}
