//! Exhaustive search through the states of three members. Guards against an order of events in which the membership
//! protocol violates a safety property or never converges, and against a search that does not detect injected faults.
use mallowseam_fleet::config::Mutant;
use mallowseam_models::membership::exhaustive::{Budget, Violation, initial_states};
use mallowseam_models::search::search;

/// Maximum number of actions of each kind in a search.
const BUDGET: Budget = Budget {
    ticks: 6,
    duplicates: 1,
    kills: 1,
    starts: 1,
    partitions: 1,
};
/// Number of states that a test checks. `mallowseam-testbed search` takes the number as an argument.
const MAX_STATES: u64 = 4_000;
/// One state in this number is checked for liveness.
const LIVENESS_INTERVAL: u64 = 20;

#[test]
fn protocol_properties_hold_in_every_order_of_actions() {
    for (name, initial) in initial_states(BUDGET, None) {
        let explored = search(&initial, MAX_STATES, LIVENESS_INTERVAL);
        assert!(
            explored.as_ref().is_ok_and(|e| e.states >= MAX_STATES),
            "from {name}: {explored:?}"
        );
    }
}

#[test]
fn each_injected_fault_is_detected() {
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
