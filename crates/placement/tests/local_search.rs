//! Local search on large problems: every placement is feasible, its gain is at most the upper bound, and it is
//! reproducible.
mod common;

use common::random_problem;
use mallowseam_placement::Placement;
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::limit_split::split_limit;
use mallowseam_placement::local_search::LocalSearch;
use mallowseam_placement::migration::plan_migration;
use mallowseam_placement::problem::{Node, Problem, Volume};
use mallowseam_placement::tuning::tune;
use mallowseam_placement::upper_bound::gain_upper_bound;
use std::time::Instant;

/// Returns a problem with the current placement of all volumes after one of 20 nodes was removed.
fn problem_after_node_loss() -> Problem {
    const LOST: &str = "n005";
    let problem = random_problem(200, 20, 3);
    let mut search = LocalSearch::new(&problem, 3);
    assert!(search.place_all());
    search.improve(20_000);
    let placement = search.objective().expect("complete").placement.0;
    let nodes: Vec<Node> = problem
        .nodes
        .iter()
        .filter(|node| node.name != LOST)
        .cloned()
        .collect();
    let volumes = problem
        .volumes
        .iter()
        .zip(&placement)
        .map(|(volume, node_set)| {
            let names = node_set
                .iter()
                .map(|node| problem.nodes[*node].name.clone());
            Volume {
                current_nodes: names.filter(|name| name != LOST).collect(),
                ..volume.clone()
            }
        });
    Problem::new(nodes, volumes.collect()).expect("valid")
}

#[test]
fn every_improvement_is_feasible_and_at_most_the_upper_bound() {
    for seed in 0..5 {
        let problem = random_problem(100, 12, seed);
        let mut search = LocalSearch::new(&problem, seed);
        assert!(search.place_all(), "seed {seed}");
        let mut previous = search.objective().expect("complete");
        for _ in 0..5 {
            search.improve(2_000);
            assert!(search.is_feasible(), "seed {seed}");
            let current = search.objective().expect("complete");
            assert!(
                current.gain >= previous.gain && current.gain <= gain_upper_bound(&problem),
                "seed {seed}"
            );
            previous = current;
        }
    }
}

#[test]
fn the_same_seed_and_number_of_steps_give_the_same_placement() {
    let problem = random_problem(60, 8, 1);
    let run = || {
        let mut search = LocalSearch::new(&problem, 7);
        search.place_all();
        search.improve(5_000);
        search.objective()
    };
    assert_eq!(run(), run());
}

#[test]
fn local_search_gains_at_least_97_percent_of_the_optimum_of_small_problems() {
    let mut compared = 0;
    for seed in 0..30 {
        let problem = random_problem(5, 4, seed);
        let SolveOutcome::Optimal(optimum) = solve(&problem, 50_000_000) else {
            continue;
        };
        assert!(optimum.gain <= gain_upper_bound(&problem), "seed {seed}");
        let mut search = LocalSearch::new(&problem, seed);
        if search.place_all() {
            search.improve(2_000);
            let found = search.objective().expect("complete");
            let is_near = found.gain * 100 >= optimum.gain * 97;
            assert!(found.gain <= optimum.gain && is_near, "seed {seed}");
            compared += 1;
        }
    }
    assert!(compared > 10, "only {compared} problems were compared");
}

#[test]
fn only_volumes_on_a_lost_node_move() {
    let problem = problem_after_node_loss();
    let affected = problem
        .volumes
        .iter()
        .filter(|v| v.current_nodes.len() < v.spread)
        .count();
    let mut repaired = LocalSearch::new(&problem, 3);
    repaired.start_from_current();
    assert!(repaired.place_missing() && repaired.is_feasible());
    let placement = repaired.objective().expect("complete").placement.0;
    let has_moved = |(volume, node_set): &(&Volume, &Vec<usize>)| {
        node_set
            .iter()
            .any(|node| !volume.current_nodes.contains(&problem.nodes[*node].name))
    };
    let moved = problem
        .volumes
        .iter()
        .zip(&placement)
        .filter(has_moved)
        .count();
    assert!(
        moved <= affected,
        "{moved} volumes moved, but only {affected} were on the lost node"
    );
}

#[test]
fn every_volume_leaves_a_lost_node_even_without_a_reserve() {
    const LOST: usize = 7;
    let mut problem = problem_after_node_loss();
    problem.nodes[LOST].capacity = 0;
    let volume = &mut problem.volumes[0];
    (
        volume.reserved_rate,
        volume.survives_node_loss,
        volume.spread,
    ) = (0, false, 1);
    volume.current_nodes = [problem.nodes[LOST].name.clone()].into();
    let mut search = LocalSearch::new(&problem, 3);
    search.start_from_current();
    assert!(search.place_missing());
    let placement = search.objective().expect("complete").placement.0;
    assert!(placement.iter().all(|node_set| !node_set.contains(&LOST)));
}

/// Returns the peak resident memory of this process, in MiB; 0 if it is unknown.
fn peak_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        / 1024
}

/// Measures a problem of one size: initial placement, improvement, tuning, and repair after the loss of a node.
fn measure(volumes: usize, nodes: usize, attempts: u64) {
    let problem = random_problem(volumes, nodes, 1);
    let bound = gain_upper_bound(&problem);
    let gap = |search: &LocalSearch| {
        search
            .objective()
            .map_or(f64::NAN, |o| 100.0 * (bound - o.gain) as f64 / bound as f64)
    };
    let start = Instant::now();
    let mut search = LocalSearch::new(&problem, 1);
    let is_complete = search.place_all();
    let (initial_gap, initial_time) = (gap(&search), start.elapsed());
    search.improve(attempts);
    println!(
        "{volumes} volumes, {nodes} nodes: complete {is_complete} after {initial_time:.2?}, gap {initial_gap:.2} %; \
         after {:.2?}, gap {:.2} %, feasible {}, {} MiB",
        start.elapsed(),
        gap(&search),
        search.is_feasible(),
        peak_memory()
    );
    let placement = search.objective().expect("complete").placement.0;
    let start = Instant::now();
    let tuning = tune(&problem, &placement);
    let factor = tuning.gain as f64 / tuning.gain_before as f64;
    println!("  tuned in {:.2?}: gain times {factor:.4}", start.elapsed());
    measure_repair(&problem, &placement);
}

/// Measures the repair after the loss of a node: placement of its volumes on other nodes, and migration planning.
fn measure_repair(problem: &Problem, placement: &Placement) {
    const LOST: usize = 1;
    let mut nodes = problem.nodes.clone();
    nodes[LOST].capacity = 0;
    let volumes = problem
        .volumes
        .iter()
        .zip(placement)
        .map(|(volume, node_set)| {
            let current_nodes = node_set
                .iter()
                .map(|node| problem.nodes[*node].name.clone())
                .collect();
            Volume {
                current_nodes,
                ..volume.clone()
            }
        });
    let problem = Problem::new(nodes, volumes.collect()).expect("valid");
    let start = Instant::now();
    let mut repaired = LocalSearch::new(&problem, 1);
    repaired.start_from_current();
    let is_complete = repaired.place_missing();
    let repair_time = start.elapsed();
    let plan = repaired
        .objective()
        .map(|o| plan_migration(&problem, placement, &o.placement.0, None));
    println!(
        "  after the loss of a node: complete {is_complete} in {repair_time:.2?}; with {} steps planned after {:.2?}, blocked {}",
        plan.as_ref().map_or(0, |plan| plan.steps.len()),
        start.elapsed(),
        plan.as_ref().map_or(0, |plan| plan.blocked.len())
    );
}

/// Prints the table of problem sizes in `docs/placement.md`. Ignored by default; run with `cargo test --release -p
/// mallowseam-placement --test local_search -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn sizes() {
    for (volumes, nodes, attempts) in [(10, 8, 20_000), (100, 40, 200_000), (1_000, 60, 600_000)] {
        measure(volumes, nodes, attempts);
    }
    let sent: Vec<u64> = (0..180).map(|host| host * host).collect();
    let start = Instant::now();
    let quotas = (0..1_000u64)
        .map(|volume| split_limit(1_000_000 + volume, &sent, 250).len())
        .sum::<usize>();
    println!(
        "limits of 1,000 volumes divided among 180 hosts: {quotas} quotas in {:.2?}",
        start.elapsed()
    );
}
