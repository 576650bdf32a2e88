//! Exhaustive search through the states of three members.
use mallowseam_fleet::config::Mutant;
use mallowseam_models::membership::exhaustive::{Budget, Violation, initial_states};
use mallowseam_models::search::search;

const BUDGET: Budget = Budget {
    ticks: 6,
    duplicates: 1,
    kills: 1,
    starts: 1,
    partitions: 1,
};
/// States checked in a test; `mallowseam-testbed search` checks as many as it is told.
const MAX_STATES: u64 = 4_000;
/// One state in so many is followed until the members converge.
const LIVENESS_INTERVAL: u64 = 20;

#[test]
fn in_every_order_of_actions_the_promises_of_the_protocol_hold() {
    for (name, initial) in initial_states(BUDGET, None) {
        let explored = search(&initial, MAX_STATES, LIVENESS_INTERVAL);
        assert!(
            explored.as_ref().is_ok_and(|e| e.states >= MAX_STATES),
            "from {name}: {explored:?}"
        );
    }
}

#[test]
fn each_mutant_is_found() {
    let violation = |mutant, initial: usize| {
        let (_, state) = &initial_states(BUDGET, Some(mutant))[initial];
        search(state, MAX_STATES, LIVENESS_INTERVAL)
            .expect_err("a counterexample")
            .violation
    };
    let no_refutation = violation(Mutant::NoRefutation, 2);
    assert!(
        matches!(no_refutation, Violation::NotConverged { .. }),
        "{no_refutation}"
    );
    let no_tombstones = violation(Mutant::NoTombstones, 3);
    assert!(
        matches!(no_tombstones, Violation::ReturnedAfterLeaving { .. }),
        "{no_tombstones}"
    );
    let stale_records = violation(Mutant::AcceptStaleRecords, 0);
    assert!(
        matches!(stale_records, Violation::RecordRegressed { .. }),
        "{stale_records}"
    );
}
