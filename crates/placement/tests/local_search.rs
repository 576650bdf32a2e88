//! Large problems: a placement always fits, is never above the upper bound, and is reproducible.
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

/// A problem in which all volumes were placed and one of twenty nodes has been lost since.
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
    let volumes = problem.volumes.iter().zip(&placement).map(|(volume, set)| {
        let names = set.iter().map(|node| problem.nodes[*node].name.clone());
        Volume {
            current_nodes: names.filter(|name| name != LOST).collect(),
            ..volume.clone()
        }
    });
    Problem::new(nodes, volumes.collect()).expect("valid")
}

#[test]
fn a_placement_fits_and_stays_below_the_bound_as_it_improves() {
    for seed in 0..5 {
        let problem = random_problem(100, 12, seed);
        let mut search = LocalSearch::new(&problem, seed);
        assert!(search.place_all(), "seed {seed}");
        let mut last = search.objective().expect("complete");
        for _ in 0..5 {
            search.improve(2_000);
            assert!(search.is_feasible(), "seed {seed}");
            let now = search.objective().expect("complete");
            assert!(
                now.gain >= last.gain && now.gain <= gain_upper_bound(&problem),
                "seed {seed}"
            );
            last = now;
        }
    }
}

#[test]
fn the_same_seed_and_steps_lead_to_the_same_placement() {
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
fn small_problems_are_bounded_and_local_search_comes_near_the_optimum() {
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
    assert!(compared > 10, "{compared}");
}

#[test]
fn the_loss_of_a_node_moves_only_what_was_on_it() {
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
    let has_moved = |(volume, set): &(&Volume, &Vec<usize>)| {
        set.iter()
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
        "{moved} moved, {affected} were on the node"
    );
}

#[test]
fn all_volumes_leave_a_lost_node_also_one_without_a_reserve() {
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
    assert!(placement.iter().all(|set| !set.contains(&LOST)));
}

/// Highest memory of this process so far, in MiB.
fn peak_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        / 1024
}

/// Measures one size: the first placement, improvement, tuning, and the repair after the loss of a node.
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
    let (first_gap, first_time) = (gap(&search), start.elapsed());
    search.improve(attempts);
    println!(
        "{volumes} volumes, {nodes} nodes: complete {is_complete} after {first_time:.2?}, gap {first_gap:.2} %; \
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

/// One node is lost: its volumes are placed anew, and the steps are planned.
fn measure_repair(problem: &Problem, placement: &Placement) {
    const LOST: usize = 1;
    let mut nodes = problem.nodes.clone();
    nodes[LOST].capacity = 0;
    let volumes = problem.volumes.iter().zip(placement).map(|(volume, set)| {
        let current_nodes = set
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
        "  a node lost: complete {is_complete} in {repair_time:.2?}; with {} steps planned after {:.2?}, blocked {}",
        plan.as_ref().map_or(0, |plan| plan.steps.len()),
        start.elapsed(),
        plan.as_ref().map_or(0, |plan| plan.blocked.len())
    );
}

/// The table of sizes in `docs/placement.md`; not part of the usual run: `cargo test --release -p
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
        "limits of 1,000 volumes divided over 180 hosts: {quotas} quotas in {:.2?}",
        start.elapsed()
    );
}
