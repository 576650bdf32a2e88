//! Weights and reserves chosen for a fixed placement.
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
fn the_highest_priority_has_most_of_the_shares_and_every_volume_has_a_weight() {
    let problem = problem(vec![volume("u", 9_000, 1800), volume("v", 9_000, 1000)]);
    let tuning = tune(&problem, &vec![vec![0], vec![0]]);
    assert!(tuning.gain > tuning.gain_before);
    assert!(
        tuning.weights[0] > 100 * tuning.weights[1] && tuning.weights[1] > 0,
        "{tuning:?}"
    );
}

#[test]
fn optimal_weights_are_left_unchanged() {
    let problem = problem(vec![volume("u", 4_000, 1000), volume("v", 4_000, 1000)]);
    let tuning = tune(&problem, &vec![vec![0], vec![0]]);
    assert_eq!(
        (tuning.weights, tuning.gain),
        (vec![1, 1], tuning.gain_before)
    );
}

#[test]
fn reserves_are_raised_as_far_as_they_fit_after_the_loss_of_any_node() {
    let adjustable = |name: &str, priority_factor, max_reserved_rate| Volume {
        reserved_rate: 1_000,
        max_reserved_rate,
        survives_node_loss: true,
        spread: 2,
        ..volume(name, 9_000, priority_factor)
    };
    let problem = problem(vec![
        adjustable("u", 1000, 9_000),
        adjustable("v", 1800, 6_500),
        adjustable("w", 500, 0),
    ]);
    let tuning = tune(&problem, &vec![vec![0, 1]; 3]);
    // The reserve with the highest priority factor is raised first, up to its maximum. After the loss of a node, the other
    // one must serve all three reserves.
    assert_eq!(tuning.reserved_rates, [2_500, 6_500, 1_000]);
    assert!(tuning.gain > tuning.gain_before);
}
