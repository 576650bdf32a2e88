//! Which changes lower a limit.
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

/// A volume whose plan has this limit; 0: none.
fn state(rate_limit: u64) -> State {
    let mut state = State::default();
    let assign = Change::AssignPlan {
        volume: "a".to_owned(),
        plan: "basic".to_owned(),
    };
    for change in [set_plan(rate_limit), assign] {
        state.apply(&change).expect("fits");
    }
    state
}

#[test]
fn a_lower_limit_or_the_first_one_lowers() {
    assert!(lowers_a_limit(&state(2_000), &set_plan(1_000)));
    assert!(lowers_a_limit(&state(0), &set_plan(1_000)));
}

#[test]
fn the_same_a_higher_or_no_limit_does_not_lower() {
    for limit in [2_000, 3_000, 0] {
        assert!(!lowers_a_limit(&state(2_000), &set_plan(limit)), "{limit}");
    }
    assert!(!lowers_a_limit(&state(0), &set_plan(0)));
}

#[test]
fn a_change_that_does_not_fit_lowers_nothing() {
    let change = Change::RemovePlan {
        name: "basic".to_owned(),
    };
    assert!(!lowers_a_limit(&state(2_000), &change));
}
