//! The exact search prunes what differs by names only.
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::problem::{Node, Problem, Volume};

#[test]
fn identical_volumes_are_not_exchanged() {
    let node = |name: &str, capacity| Node {
        name: name.into(),
        zone: "z".into(),
        capacity,
        cost: 1,
    };
    let nodes = vec![node("a", 30_000), node("b", 30_000), node("c", 12_000)];
    let volume = |index: usize| Volume {
        name: format!("v{index:02}"),
        reserved_rate: 3_000,
        surge_rate: 5_000,
        weight: 1,
        priority_factor: 1000,
        spread: 1,
        size: 1,
        ..Volume::default()
    };
    let problem = Problem::new(nodes, (0..20).map(volume).collect()).expect("valid");
    // Three to the power of twenty placements, and 231 that differ by more than names.
    let SolveOutcome::Optimal(best) = solve(&problem, 100_000) else {
        panic!("not proven within 100,000 steps")
    };
    assert!(best.placement.0.is_sorted(), "the first in order of names");
    // One unit more than all nodes can serve, and the proof is as short.
    let larger = |volume: &Volume| Volume {
        reserved_rate: 3_601,
        ..volume.clone()
    };
    let volumes = problem.volumes.iter().map(larger).collect();
    let infeasible = Problem::new(problem.nodes, volumes).expect("valid");
    assert_eq!(solve(&infeasible, 100_000), SolveOutcome::Infeasible);
}
