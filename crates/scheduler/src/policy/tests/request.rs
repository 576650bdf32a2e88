use super::super::request::{PossibleRun, Request};
use super::bio;
use crate::interface::NodeId;

#[test]
fn the_objective_ends_a_margin_before_the_deadline() {
    let request = Request::new(0, bio(0, 1_000), 5_000, false);
    assert_eq!(request.objective_end(), 940);
    assert_eq!(request.queued_until(), 940);
}

#[test]
fn an_unsent_request_is_queued_for_at_most_half_of_the_time_to_its_deadline() {
    let mut request = Request::new(0, bio(0, 1_000), 5_000, true);
    assert_eq!(request.queued_until(), 440);
    request.begin_attempt();
    assert_eq!(request.queued_until(), 940);
}

#[test]
fn a_request_is_overdue_only_while_it_is_queued() {
    let mut request = Request::new(0, bio(0, 1_000), 500, false);
    assert!(!request.is_overdue(499));
    assert!(request.is_overdue(500));
    request.begin_attempt();
    assert_eq!(request.attempt_in_flight(), Some(0));
    assert!(!request.is_overdue(500));
    request.end_attempt();
    assert!(request.is_overdue(500));
    request.finish();
    assert!(!request.is_overdue(500));
}

#[test]
fn the_window_of_an_idempotency_key_counts_from_the_first_attempt_that_may_have_run() {
    let mut request = Request::new(0, bio(0, 10_000), 9_000, false);
    for sent_at in [100, 700] {
        let node = NodeId(0);
        request.record_possible_run(PossibleRun { sent_at, node }, Some(2_000));
    }
    assert_eq!(request.objective_end(), 2_040);
}
