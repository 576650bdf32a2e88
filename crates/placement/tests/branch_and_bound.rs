//! Guards against an exact search whose number of steps grows with the permutations of identical volumes: it must not
//! search placements that differ only in which of these volumes is on which node.
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::problem::{Node, Problem, Volume};

#[test]
fn placements_that_differ_only_in_volume_names_are_pruned() {
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
    // 3^20 placements, of which 231 differ in more than the names of volumes.
    let SolveOutcome::Optimal(best) = solve(&problem, 100_000) else {
        panic!("optimality was not proven within 100,000 steps")
    };
    assert!(
        best.placement.0.is_sorted(),
        "the optimum must be the first of equal placements in order of names"
    );
    // With slightly larger reserves the volumes do not fit, which must be proven within the same number of steps.
    let larger = |volume: &Volume| Volume {
        reserved_rate: 3_601,
        ..volume.clone()
    };
    let volumes = problem.volumes.iter().map(larger).collect();
    let infeasible = Problem::new(problem.nodes, volumes).expect("valid");
    assert_eq!(solve(&infeasible, 100_000), SolveOutcome::Infeasible);
}
