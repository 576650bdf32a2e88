//! Tests of which changes lower a limit.
use super::lowers_a_limit;
use mallowseam_plans::state::{Change, Plan, State};

fn set_plan(rate_limit: u64) -> Change {
    Change::SetPlan {
        name: "basic".to_owned(),
        plan: Plan {
            rate_limit,
            burst_units: 1_000,
            ..Plan::default()
        },
    }
}

/// Returns a state with a volume whose plan has this limit; 0 means no limit.
fn state(rate_limit: u64) -> State {
    let mut state = State::default();
    let assign = Change::AssignPlan {
        volume: "a".to_owned(),
        plan: "basic".to_owned(),
    };
    for change in [set_plan(rate_limit), assign] {
        state.apply(&change).expect("the change is valid");
    }
    state
}

#[test]
fn a_lower_limit_or_a_first_limit_counts_as_lowered() {
    assert!(lowers_a_limit(&state(2_000), &set_plan(1_000)));
    assert!(lowers_a_limit(&state(0), &set_plan(1_000)));
}

#[test]
fn an_equal_higher_or_missing_limit_does_not_count_as_lowered() {
    for limit in [2_000, 3_000, 0] {
        assert!(
            !lowers_a_limit(&state(2_000), &set_plan(limit)),
            "new limit {limit}"
        );
    }
    assert!(!lowers_a_limit(&state(0), &set_plan(0)));
}

#[test]
fn an_invalid_change_lowers_no_limit() {
    let change = Change::RemovePlan {
        name: "basic".to_owned(),
    };
    assert!(!lowers_a_limit(&state(2_000), &change));
}
