//! Exact placement search compared with an enumeration of all placements, and its explanations of infeasible problems.
use mallowseam_models::exhaustive_placement::{draw, enumerate};
use mallowseam_placement::branch_and_bound::{SolveOutcome, is_feasible, solve};
use mallowseam_placement::constraint::Constraint;
use mallowseam_placement::infeasibility::explain;
use mallowseam_placement::problem::{Node, Problem, Volume};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// Maximum number of steps of a search that must come to an end.
const STEPS: u64 = 50_000_000;

fn placement(outcome: SolveOutcome) -> Option<Vec<Vec<usize>>> {
    match outcome {
        SolveOutcome::Optimal(best) => Some(best.placement.0),
        SolveOutcome::Infeasible => None,
        SolveOutcome::StepsExhausted { .. } => panic!("the search used up its steps"),
    }
}

#[test]
fn small_problems_have_the_enumerated_placement_even_in_ties() {
    let (mut fits, mut ties) = (0, 0);
    for seed in 0..2_000 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes.clone(), volumes.clone()).expect("valid");
        let expected = enumerate(&nodes, &volumes);
        fits += usize::from(expected.is_some());
        ties += usize::from(expected.as_ref().is_some_and(|w| w.len() > 1));
        assert_eq!(placement(solve(&problem, STEPS)), expected, "seed {seed}");
    }
    assert!(
        fits > 500 && fits < 1_900 && ties > 300,
        "{fits} problems are feasible, {ties} of them with more than one volume"
    );
}

#[test]
fn input_order_does_not_change_the_placement() {
    for seed in 0..200 {
        let (mut nodes, mut volumes) = draw(seed);
        let solution = solve(
            &Problem::new(nodes.clone(), volumes.clone()).expect("valid"),
            STEPS,
        );
        let rng = &mut Pcg64Mcg::seed_from_u64(seed);
        nodes.shuffle(rng);
        volumes.shuffle(rng);
        assert_eq!(
            solve(&Problem::new(nodes, volumes).expect("valid"), STEPS),
            solution,
            "seed {seed}"
        );
    }
}

#[test]
fn reported_conflicts_are_irreducible_and_capacity_factors_least() {
    let mut explained = 0;
    for seed in 0..400 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes, volumes).expect("valid");
        let Some(conflict) = explain(&problem, STEPS) else {
            continue;
        };
        explained += 1;
        let is_feasible_with = |kept: &[Constraint]| {
            is_feasible(&problem, &|w| kept.contains(&w), 1000, STEPS).expect("enough steps")
        };
        assert!(!is_feasible_with(&conflict.constraints), "seed {seed}");
        for i in 0..conflict.constraints.len() {
            let mut others = conflict.constraints.clone();
            others.remove(i);
            assert!(
                is_feasible_with(&others),
                "seed {seed}: constraint `{}` is not needed for the conflict",
                problem.describe(conflict.constraints[i])
            );
        }
        if let Some(factor) = conflict.least_capacity_per_mille {
            let fits = |s| is_feasible(&problem, &|_| true, s, STEPS).expect("enough steps");
            assert!(fits(factor) && !fits(factor - 1), "seed {seed}");
        }
    }
    assert!(explained > 50, "only {explained} problems were infeasible");
}

fn node(name: &str, zone: &str, capacity: u64) -> Node {
    Node {
        name: name.into(),
        zone: zone.into(),
        capacity,
        cost: 0,
    }
}

fn volume(name: &str, reserve: u64) -> Volume {
    Volume {
        name: name.into(),
        reserved_rate: reserve,
        surge_rate: reserve,
        weight: 1,
        priority_factor: 1000,
        spread: 1,
        ..Volume::default()
    }
}

#[test]
fn capacity_is_exact_to_a_thousandth_of_a_unit() {
    let nodes = vec![node("a", "z", 5_000), node("b", "z", 5_000)];
    let fits = |r| {
        let volumes = vec![volume("x", 5_000), volume("y", r)];
        solve(&Problem::new(nodes.clone(), volumes).expect("valid"), STEPS)
            != SolveOutcome::Infeasible
    };
    assert!(fits(5_000) && !fits(5_001));
}

#[test]
fn a_conflict_reports_the_least_capacity_factor_or_none() {
    let problem = |v: Volume| {
        Problem::new(
            vec![
                node("a", "y", 4_000),
                node("b", "y", 4_000),
                node("c", "z", 4_000),
            ],
            vec![v],
        )
    };
    let conflict = explain(&problem(volume("x", 5_000)).expect("valid"), STEPS)
        .expect("the volume does not fit");
    assert_eq!(conflict.least_capacity_per_mille, Some(1_250));
    let in_distinct_zones = Volume {
        spread: 2,
        distinct_zones: true,
        zone: Some("y".into()),
        ..volume("x", 1_000)
    };
    let conflict = explain(&problem(in_distinct_zones).expect("valid"), STEPS)
        .expect("the zone constraints contradict each other");
    assert_eq!(
        (conflict.constraints, conflict.least_capacity_per_mille),
        (
            vec![Constraint::Zone(0), Constraint::DistinctZones(0)],
            None
        )
    );
}

#[test]
fn maximum_numbers_do_not_overflow_and_larger_ones_are_rejected() {
    let max = mallowseam_placement::problem::MAX_NUMBER;
    let volumes: Vec<Volume> = (0..8)
        .map(|i| Volume {
            weight: max,
            priority_factor: max,
            size: max,
            ..volume(&format!("v{i}"), max)
        })
        .collect();
    let nodes: Vec<Node> = (0..8).map(|i| node(&format!("n{i}"), "z", max)).collect();
    let problem = Problem::new(nodes, volumes.clone()).expect("valid");
    assert!(matches!(solve(&problem, STEPS), SolveOutcome::Optimal(_)));
    let too_large = Volume {
        reserved_rate: max + 1,
        surge_rate: max + 1,
        ..volume("v", 0)
    };
    let result = Problem::new(
        vec![node("n", "z", 1)],
        vec![too_large, volume("w", 0), volume("w", 0)],
    );
    assert_eq!(result.expect_err("two errors").len(), 2);
}

#[test]
fn a_search_that_runs_out_of_steps_reports_an_upper_bound() {
    let nodes: Vec<Node> = (0..8).map(|i| node(&format!("n{i}"), "z", 9_000)).collect();
    let volumes = (0..30)
        .map(|i| Volume {
            surge_rate: 9_000,
            ..volume(&format!("v{i:02}"), 1_000 + i)
        })
        .collect();
    let SolveOutcome::StepsExhausted {
        best: found,
        gain_upper_bound: bound,
    } = solve(&Problem::new(nodes, volumes).expect("valid"), 5_000)
    else {
        panic!("30 volumes on 8 nodes must not be solvable in 5,000 steps")
    };
    assert!(found.expect("a feasible placement").gain <= bound);
}
