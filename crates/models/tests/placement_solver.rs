//! The search of shares against a plain enumeration of every placement.
use mallowseam_models::exhaustive_placement::{draw, enumerate};
use mallowseam_placement::branch_and_bound::{SolveOutcome, is_feasible, solve};
use mallowseam_placement::constraint::Constraint;
use mallowseam_placement::infeasibility::explain;
use mallowseam_placement::problem::{Node, Problem, Volume};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

const STEPS: u64 = 50_000_000;

fn placement(answer: SolveOutcome) -> Option<Vec<Vec<usize>>> {
    match answer {
        SolveOutcome::Optimal(best) => Some(best.placement.0),
        SolveOutcome::Infeasible => None,
        SolveOutcome::StepsExhausted { .. } => panic!("the steps ran out"),
    }
}

#[test]
fn small_problems_have_the_enumerated_placement_also_among_ties() {
    let (mut fits, mut ties) = (0, 0);
    for seed in 0..2_000 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes.clone(), volumes.clone()).expect("sound");
        let wanted = enumerate(&nodes, &volumes);
        fits += usize::from(wanted.is_some());
        ties += usize::from(wanted.as_ref().is_some_and(|w| w.len() > 1));
        assert_eq!(placement(solve(&problem, STEPS)), wanted, "seed {seed}");
    }
    assert!(
        fits > 500 && fits < 1_900 && ties > 300,
        "{fits} fit, {ties} of more than one volume"
    );
}

#[test]
fn input_order_does_not_change_the_placement() {
    for seed in 0..200 {
        let (mut nodes, mut volumes) = draw(seed);
        let one = solve(
            &Problem::new(nodes.clone(), volumes.clone()).expect("sound"),
            STEPS,
        );
        let rng = &mut Pcg64Mcg::seed_from_u64(seed);
        nodes.shuffle(rng);
        volumes.shuffle(rng);
        assert_eq!(
            solve(&Problem::new(nodes, volumes).expect("sound"), STEPS),
            one,
            "seed {seed}"
        );
    }
}

#[test]
fn reported_conflicts_are_minimal() {
    let mut named = 0;
    for seed in 0..400 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes, volumes).expect("sound");
        let Some(conflict) = explain(&problem, STEPS) else {
            continue;
        };
        named += 1;
        let possible = |kept: &[Constraint]| {
            is_feasible(&problem, &|w| kept.contains(&w), 1000, STEPS).expect("steps")
        };
        assert!(!possible(&conflict.constraints), "seed {seed}");
        for i in 0..conflict.constraints.len() {
            let mut rest = conflict.constraints.clone();
            rest.remove(i);
            assert!(
                possible(&rest),
                "seed {seed}: {} is not needed",
                problem.describe(conflict.constraints[i])
            );
        }
        if let Some(stretch) = conflict.least_capacity_per_mille {
            let fits = |s| is_feasible(&problem, &|_| true, s, STEPS).expect("steps");
            assert!(fits(stretch) && !fits(stretch - 1), "seed {seed}");
        }
    }
    assert!(named > 50, "{named} contradictions");
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
        solve(&Problem::new(nodes.clone(), volumes).expect("sound"), STEPS)
            != SolveOutcome::Infeasible
    };
    assert!(fits(5_000) && !fits(5_001));
}

#[test]
fn conflict_reports_the_smallest_capacity_factor_or_none() {
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
    let conflict = explain(&problem(volume("x", 5_000)).expect("sound"), STEPS).expect("too much");
    assert_eq!(conflict.least_capacity_per_mille, Some(1_250));
    let apart = Volume {
        spread: 2,
        distinct_zones: true,
        zone: Some("y".into()),
        ..volume("x", 1_000)
    };
    let conflict = explain(&problem(apart).expect("sound"), STEPS).expect("contradicts");
    assert_eq!(
        (conflict.constraints, conflict.least_capacity_per_mille),
        (
            vec![Constraint::Zone(0), Constraint::DistinctZones(0)],
            None
        )
    );
}

#[test]
fn largest_numbers_do_not_overflow_and_larger_ones_are_rejected() {
    let most = mallowseam_placement::problem::MAX_NUMBER;
    let volumes: Vec<Volume> = (0..8)
        .map(|i| Volume {
            weight: most,
            priority_factor: most,
            size: most,
            ..volume(&format!("v{i}"), most)
        })
        .collect();
    let nodes: Vec<Node> = (0..8).map(|i| node(&format!("n{i}"), "z", most)).collect();
    let problem = Problem::new(nodes, volumes.clone()).expect("sound");
    assert!(matches!(solve(&problem, STEPS), SolveOutcome::Optimal(_)));
    let past = Volume {
        reserved_rate: most + 1,
        surge_rate: most + 1,
        ..volume("v", 0)
    };
    let wrong = Problem::new(
        vec![node("n", "z", 1)],
        vec![past, volume("w", 0), volume("w", 0)],
    );
    assert_eq!(wrong.expect_err("two mistakes").len(), 2);
}

#[test]
fn search_out_of_steps_reports_an_upper_bound() {
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
    } = solve(&Problem::new(nodes, volumes).expect("sound"), 5_000)
    else {
        panic!("thirty volumes on eight nodes are not searched through in 5 000 steps")
    };
    assert!(found.expect("one that fits").gain <= bound);
}
