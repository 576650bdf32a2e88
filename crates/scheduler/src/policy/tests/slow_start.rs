use super::super::slow_start::{SlowStart, SlowStartState};
use crate::interface::SchedulerConfig;
use crate::pcg::Pcg;

/// Returns the slow start limits for nodes that sustain 400 units in a window of 1,000 ticks just after their start,
/// and reach their full rate, five times the initial one, after 10,000 ticks.
fn slow_start(overload_window: i64) -> SlowStart {
    let config = SchedulerConfig {
        slow_start_capacity: 400.0,
        slow_start_initial_rate: 0.2,
        slow_start_duration: 10_000,
        overload_window,
        overload_multiple: 2.0,
        ..SchedulerConfig::default()
    };
    SlowStart::new(&config, 4.0, 8.0)
}

/// Start of the node's process on the host's clock.
const START: i64 = 100_000;

fn started(time: i64) -> SlowStartState {
    let mut state = SlowStartState::default();
    state.restart(Some(time));
    state
}

#[test]
fn a_host_may_send_its_even_share_in_each_overload_window() {
    let slow_start = slow_start(1_000);
    let rng = Pcg::new(1);
    let mut state = started(START);
    let fits = |now, state: &mut SlowStartState, units| {
        let capacity = slow_start.capacity(now, state, 0.0, &rng);
        capacity.expect("slow start limits the node").fits(units)
    };
    assert!(fits(START + 10, &mut state, 100.0));
    assert!(!fits(START + 10, &mut state, 100.1));
    state.record_sent(START + 10, 60.0);
    assert!(!fits(START + 20, &mut state, 40.1));
    assert!(
        fits(START + 1_011, &mut state, 40.1),
        "the overload window has elapsed"
    );
}

#[test]
fn the_last_part_of_a_share_is_kept_for_the_highest_priority() {
    let mut state = started(START);
    let capacity = slow_start(1_000).capacity(START + 10, &mut state, 0.0, &Pcg::new(1));
    let capacity = capacity.expect("slow start limits the node");
    assert!(capacity.admits(100.0, 0.0));
    assert!(capacity.admits(60.0, 0.4));
    assert!(!capacity.admits(60.1, 0.4));
}

#[test]
fn there_is_no_limit_after_slow_start_or_without_an_overload_window() {
    let rng = Pcg::new(1);
    let mut long_up = SlowStartState::default();
    assert!(
        slow_start(1_000)
            .capacity(10, &mut long_up, 0.0, &rng)
            .is_none()
    );
    assert!(
        slow_start(0)
            .capacity(START + 10, &mut started(START), 0.0, &rng)
            .is_none()
    );
    assert!(
        slow_start(1_000)
            .capacity(START + 10_499, &mut started(START), 0.0, &rng)
            .is_some()
    );
    assert!(
        slow_start(1_000)
            .capacity(START + 10_500, &mut started(START), 0.0, &rng)
            .is_none()
    );
}

#[test]
fn a_node_is_warm_once_it_has_reached_its_full_rate() {
    let slow_start = slow_start(1_000);
    assert!(slow_start.is_warm(0, &SlowStartState::default()));
    assert!(!slow_start.is_warm(START + 10_000, &started(START)));
    assert!(slow_start.is_warm(START + 10_001, &started(START)));
}

#[test]
fn a_start_before_the_zero_of_the_clock_also_begins_a_slow_start() {
    let slow_start = slow_start(1_000);
    let mut state = started(-500);
    assert!(!slow_start.is_warm(9_500, &state));
    assert!(slow_start.is_warm(9_501, &state));
    let capacity = slow_start.capacity(10, &mut state, 0.0, &Pcg::new(1));
    assert!(capacity.is_some());
    assert!(!state.is_before(Some(-700)));
    assert!(state.is_before(Some(-300)));
    assert!(
        state.is_before(None),
        "an unknown start counts as the zero of the clock"
    );
}
