//! Weights and reserves chosen for a settled placement.
use mallowseam_placement::problem::{Node, Problem, Volume};
use mallowseam_placement::tuning::tune;

fn problem(volumes: Vec<Volume>) -> Problem {
    let node = |name: &str| Node {
        name: name.into(),
        zone: name.into(),
        capacity: 10_000,
        cost: 0,
    };
    Problem::new(vec![node("a"), node("b")], volumes).expect("valid")
}

fn volume(name: &str, surge_rate: u64, priority_factor: u64) -> Volume {
    Volume {
        name: name.into(),
        surge_rate,
        priority_factor,
        weight: 1,
        spread: 1,
        ..Volume::default()
    }
}

#[test]
fn shares_go_to_the_highest_priority_and_no_volume_is_left_without() {
    let problem = problem(vec![volume("u", 9_000, 1800), volume("v", 9_000, 1000)]);
    let tuning = tune(&problem, &vec![vec![0], vec![0]]);
    assert!(tuning.gain > tuning.gain_before);
    assert!(
        tuning.weights[0] > 100 * tuning.weights[1] && tuning.weights[1] > 0,
        "{tuning:?}"
    );
}

#[test]
fn weights_that_are_best_already_stay_as_they_are() {
    let problem = problem(vec![volume("u", 4_000, 1000), volume("v", 4_000, 1000)]);
    let tuning = tune(&problem, &vec![vec![0], vec![0]]);
    assert_eq!(
        (tuning.weights, tuning.gain),
        (vec![1, 1], tuning.gain_before)
    );
}

#[test]
fn reserves_rise_to_what_fits_with_any_node_lost_and_no_further() {
    let open = |name: &str, priority_factor, max_reserved_rate| Volume {
        reserved_rate: 1_000,
        max_reserved_rate,
        survives_node_loss: true,
        spread: 2,
        ..volume(name, 9_000, priority_factor)
    };
    let problem = problem(vec![
        open("u", 1000, 9_000),
        open("v", 1800, 6_500),
        open("w", 500, 0),
    ]);
    let tuning = tune(&problem, &vec![vec![0, 1]; 3]);
    // The highest priority factor first, up to its most; with a node lost the other one serves all three.
    assert_eq!(tuning.reserved_rates, [2_500, 6_500, 1_000]);
    assert!(tuning.gain > tuning.gain_before);
}
