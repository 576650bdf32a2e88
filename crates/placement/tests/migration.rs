//! Migration plans: no step may violate a constraint that was met before, and every volume that does not reach its target
//! must be reported as blocked or deferred.
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::feasibility::{FULL_CAPACITY, excess, fits};
use mallowseam_placement::migration::{MigrationPlan, current_placement, plan_migration};
use mallowseam_placement::problem::{Node, Problem, SCALE, Volume};
use mallowseam_placement::{Placement, assignments};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn node(name: &str, zone: &str, capacity: u64) -> Node {
    Node {
        name: name.into(),
        zone: zone.into(),
        capacity,
        cost: 0,
    }
}

fn volume(name: &str, reserved_rate: u64, current_nodes: &[&str]) -> Volume {
    Volume {
        name: name.into(),
        reserved_rate,
        surge_rate: reserved_rate,
        priority_factor: 1000,
        spread: 1,
        size: 100,
        current_nodes: current_nodes
            .iter()
            .map(|node| (*node).to_owned())
            .collect(),
        ..Volume::default()
    }
}

fn data(size: u64) -> u128 {
    u128::from(size) * SCALE as u128
}

/// Returns the excess of the reserves of all placed volumes over the capacities.
fn excess_of(problem: &Problem, placement: &Placement) -> i128 {
    let mut assignments = assignments(placement);
    assignments.retain(|assignment| !assignment.nodes.is_empty());
    excess(problem, &assignments)
}

/// Returns the number of violations of a volume's zone constraints by a node set.
fn violations(problem: &Problem, volume: usize, nodes: &[usize]) -> usize {
    let volume = &problem.volumes[volume];
    let zones: Vec<&str> = nodes
        .iter()
        .map(|node| problem.nodes[*node].zone.as_str())
        .collect();
    let distinct: BTreeSet<&str> = zones.iter().copied().collect();
    let outside = volume.zone.as_deref().map_or(0, |expected| {
        zones.iter().filter(|z| **z != expected).count()
    });
    outside
        + if volume.distinct_zones {
            nodes.len() - distinct.len()
        } else {
            0
        }
}

/// Applies the steps of a plan one by one and checks that none makes a violation of a constraint worse.
fn check(problem: &Problem, from: &Placement, plan: &MigrationPlan) {
    let mut placement = from.clone();
    let mut previous_excess = excess_of(problem, &placement);
    for step in &plan.steps {
        let before = placement[step.volume].clone();
        if let Some(from) = step.from {
            assert!(
                before.contains(&from),
                "{step:?} moves a part from a node that does not hold the volume"
            );
        }
        placement[step.volume].retain(|node| Some(*node) != step.from);
        placement[step.volume].extend(step.to);
        placement[step.volume].sort_unstable();
        let excess = excess_of(problem, &placement);
        assert!(
            excess <= previous_excess,
            "{step:?} increases the excess of the reserves"
        );
        assert!(
            violations(problem, step.volume, &placement[step.volume])
                <= violations(problem, step.volume, &before),
            "{step:?} violates a zone constraint"
        );
        previous_excess = excess;
    }
    assert_eq!(placement, plan.final_placement);
}

/// Returns a problem with two volumes on one node each and a third node, with a current placement and a target placement
/// that exchanges the two volumes.
fn exchange(third_capacity: u64) -> (Problem, Placement, Placement) {
    let nodes = vec![
        node("a", "x", 10),
        node("b", "x", 10),
        node("c", "x", third_capacity),
    ];
    let problem =
        Problem::new(nodes, vec![volume("u", 6, &["a"]), volume("v", 6, &["b"])]).expect("valid");
    let from = current_placement(&problem);
    (problem, from, vec![vec![1], vec![0]])
}

#[test]
fn volumes_that_block_each_other_take_a_detour_over_a_third_node() {
    let (problem, from, to) = exchange(6);
    let plan = plan_migration(&problem, &from, &to, None);
    check(&problem, &from, &plan);
    assert_eq!(
        (plan.final_placement.clone(), plan.steps.len()),
        (to.clone(), 3)
    );
    assert_eq!(plan.data(), data(300));
    // The data budget covers the two direct moves but no detour, so both volumes stay.
    let plan = plan_migration(&problem, &from, &to, Some(data(200)));
    assert_eq!((plan.steps.len(), plan.blocked), (0, vec![0, 1]));
}

#[test]
fn volumes_that_block_each_other_are_reported_if_no_detour_fits() {
    let (problem, from, to) = exchange(5);
    assert_eq!(plan_migration(&problem, &from, &to, None).blocked, [0, 1]);
}

#[test]
fn volumes_on_lost_nodes_move_first_and_those_beyond_the_data_budget_are_deferred() {
    let nodes = vec![node("a", "x", 20), node("b", "x", 0), node("c", "x", 20)];
    let volumes = vec![
        volume("u", 3, &["a"]),
        volume("v", 3, &["b"]),
        volume("w", 3, &["a"]),
    ];
    let problem = Problem::new(nodes, volumes).expect("valid");
    let from = current_placement(&problem);
    let plan = plan_migration(
        &problem,
        &from,
        &vec![vec![2], vec![2], vec![2]],
        Some(data(150)),
    );
    check(&problem, &from, &plan);
    assert_eq!(
        (plan.final_placement, plan.deferred),
        (vec![vec![0], vec![2], vec![0]], vec![0, 2])
    );
}

#[test]
fn a_volume_in_distinct_zones_is_never_in_one_zone_during_a_migration() {
    let nodes = vec![
        node("a", "x", 20),
        node("b", "y", 20),
        node("c", "x", 20),
        node("d", "y", 20),
    ];
    let volume = Volume {
        spread: 2,
        distinct_zones: true,
        ..volume("u", 4, &["a", "b"])
    };
    let problem = Problem::new(nodes, vec![volume]).expect("valid");
    let from = current_placement(&problem);
    let plan = plan_migration(&problem, &from, &vec![vec![2, 3]], None);
    check(&problem, &from, &plan);
    assert_eq!((plan.steps.len(), plan.blocked.len()), (2, 0));
}

/// Returns a random problem with four nodes in up to two zones and three to six volumes.
fn random_problem(seed: u64) -> Problem {
    let mut state = seed | 1;
    let mut below = |bound: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    };
    let names = ["a", "b", "c", "d"];
    let nodes: Vec<Node> = names
        .iter()
        .map(|name| node(name, ["x", "y"][below(2) as usize], 8 + below(8)))
        .collect();
    let volumes = (0..3 + below(4))
        .map(|index| {
            let spread = 1 + below(2) as usize;
            let first = below(4) as usize;
            let current: Vec<&str> = (0..spread)
                .map(|offset| names[(first + offset) % 4])
                .collect();
            let survives_node_loss = spread > 1 && below(2) == 0;
            Volume {
                spread,
                survives_node_loss,
                ..volume(&format!("v{index}"), below(5), &current)
            }
        })
        .collect();
    Problem::new(nodes, volumes).expect("valid")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any current placement, no step makes a violation worse, the data budget is kept, and each volume that does not
    /// reach its target is reported.
    #[test]
    fn no_step_violates_a_constraint_that_was_met(seed in any::<u64>(), max_size in prop::option::of(0u64..600)) {
        let problem = random_problem(seed);
        let from = current_placement(&problem);
        if let SolveOutcome::Optimal(best) = solve(&problem, 100_000) {
            let to = best.placement.0;
            let max_data = max_size.map(data);
            let plan = plan_migration(&problem, &from, &to, max_data);
            check(&problem, &from, &plan);
            prop_assert!(max_data.is_none_or(|max| plan.data() <= max));
            for (volume, expected) in to.iter().enumerate() {
                let is_reported = plan.blocked.contains(&volume) || plan.deferred.contains(&volume);
                prop_assert!(is_reported || plan.final_placement[volume] == *expected);
            }
            if plan.blocked.is_empty() && plan.deferred.is_empty() {
                prop_assert!(fits(&problem, &assignments(&plan.final_placement), &|_| true, FULL_CAPACITY));
            }
        }
    }
}
