use super::super::fleet_latency::FleetLatency;
use super::assert_close;
use crate::interface::{AttemptOutcome, AttemptResult, LoadReport, NodeId};

fn failure(result: AttemptResult, latency: i64) -> AttemptOutcome {
    AttemptOutcome {
        result,
        node: NodeId(0),
        client_answered: false,
        latency,
        units_by_other_hosts: 0.0,
        volume_usage: 0.0,
        load_report: LoadReport::default(),
    }
}

#[test]
fn the_threshold_is_steady_where_one_answer_in_thirteen_is_late() {
    let mut fleet = FleetLatency::new(1_000.0);
    for _ in 0..5 {
        fleet.record_answer(1_001.0);
    }
    assert_close(fleet.threshold(), 0.5);
    for answer in 0..130 {
        fleet.record_answer(if answer % 13 == 0 { 1_001.0 } else { 1_000.0 });
    }
    assert!((fleet.threshold() - 0.5).abs() < 0.1);
}

#[test]
fn a_rejection_implies_the_objective_and_a_timeout_at_most_three_means() {
    let fleet = FleetLatency::new(1_000.0);
    let implied = |result, latency| fleet.implied_latency(&failure(result, latency));
    assert_close(implied(AttemptResult::Rejected, 5), 1_000.0);
    assert_close(implied(AttemptResult::TimedOut, 500), 500.0);
    assert_close(implied(AttemptResult::TimedOut, 9_000), 3.0 * 240.0);
    assert_close(implied(AttemptResult::ConnectFailed, 9_000), 0.0);
}

#[test]
fn one_answer_counts_as_at_most_a_fixed_fraction_of_the_objective() {
    let mut late = FleetLatency::new(1_000.0);
    let mut very_late = FleetLatency::new(1_000.0);
    late.record_answer(900.0);
    very_late.record_answer(90_000.0);
    assert_close(
        late.expected_when_idle(1.0),
        very_late.expected_when_idle(1.0),
    );
}
