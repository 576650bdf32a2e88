//! Guards against unintended changes of decisions: seeded problems are passed through every public function, and a digest
//! of all results is compared with the one recorded at commit 01f3988. A different digest means that a placement, a
//! migration step, a weight, a reserve or the arithmetic has changed. The recorded digests are never replaced by new ones.
use mallowseam_placement::branch_and_bound::{SolveOutcome, is_feasible, solve};
use mallowseam_placement::feasibility::{excess, fits};
use mallowseam_placement::infeasibility::explain;
use mallowseam_placement::limit_split::split_limit;
use mallowseam_placement::local_search::LocalSearch;
use mallowseam_placement::migration::{current_placement, plan_migration};
use mallowseam_placement::objective::{
    Objective, VolumeShare, cost, gain_at_demand, moved_data, objective,
};
use mallowseam_placement::problem::{Host, MAX_NUMBER, MAX_SPREAD, Node, Problem, SCALE, Volume};
use mallowseam_placement::tuning::{MAX_WEIGHT, tune};
use mallowseam_placement::upper_bound::gain_upper_bound;
use mallowseam_placement::{Placement, assignments};
use mallowseam_test_support::{Digest, SeededRng};
use std::fmt::Write;

/// Returns a random problem. Reserves are below `max_reserve_percent` of the mean
/// capacity per volume.
fn random_problem(
    rng: &mut SeededRng,
    volumes: u64,
    nodes: u64,
    max_reserve_percent: u64,
) -> Problem {
    let nodes: Vec<Node> = (0..nodes)
        .map(|n| Node {
            name: format!("n{n:02}"),
            zone: format!("z{}", n % 3),
            capacity: if rng.one_in(12) {
                0
            } else {
                20_000 + rng.below(30_000)
            },
            cost: rng.below(5),
        })
        .collect();
    let names: Vec<String> = nodes.iter().map(|n| n.name.clone()).collect();
    let capacity: u64 = nodes.iter().map(|n| n.capacity).sum();
    let mean = (capacity / volumes).max(2);
    let volumes = (0..volumes)
        .map(|v| {
            let spread = 1 + rng.below(3.min(names.len() as u64)) as usize;
            let reserve = if rng.one_in(4) {
                0
            } else {
                rng.below(max_reserve_percent * mean / 100)
            };
            let first = rng.below(names.len() as u64) as usize;
            let placed_on = if rng.one_in(5) { 0 } else { spread };
            Volume {
                name: format!("v{v:03}"),
                reserved_rate: reserve,
                max_reserved_rate: reserve + rng.below(mean),
                rate_limit: rng.below(mean * 2),
                surge_rate: reserve + rng.below(mean * 2),
                weight: 1 + rng.below(4),
                priority_factor: [500, 900, 1000, 1800][rng.below(4) as usize],
                spread,
                survives_node_loss: spread > 1 && rng.one_in(3),
                survives_zone_loss: spread > 1 && rng.one_in(6),
                distinct_zones: spread > 1 && rng.one_in(4),
                zone: rng.one_in(8).then(|| format!("z{}", rng.below(2))),
                size: if rng.one_in(4) {
                    rng.below(3)
                } else {
                    rng.below(300)
                },
                current_nodes: (0..placed_on)
                    .map(|n| names[(first + n) % names.len()].clone())
                    .collect(),
            }
        })
        .collect();
    let mut problem = Problem::new(nodes, volumes).expect("valid");
    problem.hosts = vec![Host::default()];
    problem
}

fn describe_objective(objective: &Objective) -> String {
    format!(
        "{} {} {} {:?}",
        objective.gain, objective.cost.0, objective.moved_data.0, objective.placement.0
    )
}

/// Returns the results of all functions that take a placement, and the migration plans from the current placement to it.
fn describe_placement(p: &Problem, placement: &Placement, rng: &mut SeededRng) -> String {
    let mut text = describe_objective(&objective(p, placement));
    let all = assignments(placement);
    let tuned = tune(p, placement);
    let demand: Vec<u64> = p
        .volumes
        .iter()
        .map(|v| rng.below(v.surge_rate * 2 + 1))
        .collect();
    let shares: Vec<VolumeShare> = tuned
        .reserved_rates
        .iter()
        .zip(&tuned.weights)
        .map(|(reserve, weight)| VolumeShare {
            reserved_rate: *reserve,
            weight: *weight,
        })
        .collect();
    let gained = gain_at_demand(p, placement, &shares, &demand);
    write!(text, " excess {} moment {gained}", excess(p, &all)).expect("writing to memory");
    let (weights, reserves) = (&tuned.weights, &tuned.reserved_rates);
    write!(
        text,
        " chosen {weights:?} {reserves:?} {} {}",
        tuned.gain, tuned.gain_before
    )
    .expect("writing to memory");
    for capacity_per_mille in [500, 999, 1000, 1001] {
        write!(text, " {}", fits(p, &all, &|_| true, capacity_per_mille))
            .expect("writing to memory");
    }
    for (volume, set) in placement.iter().enumerate() {
        write!(text, " {}", moved_data(p, volume, set)).expect("writing to memory");
    }
    let used = cost(p, placement.iter().flatten().copied());
    write!(text, " cost {used}").expect("writing to memory");
    let from = current_placement(p);
    for max_data in [None, Some(u128::from(rng.below(800)) * SCALE as u128)] {
        let plan = plan_migration(p, &from, placement, max_data);
        for step in &plan.steps {
            write!(
                text,
                " [{} {:?} {:?} {}]",
                step.volume, step.from, step.to, step.data
            )
            .expect("writing to memory");
        }
        let (end, deferred, blocked) = (&plan.final_placement, &plan.deferred, &plan.blocked);
        write!(
            text,
            " ends {end:?} left {deferred:?} stuck {blocked:?} data {}",
            plan.data()
        )
        .expect("writing to memory");
    }
    text
}

/// Returns the results for a small problem that the exact search can solve.
fn solve_small_problem(seed: u64) -> String {
    let rng = &mut SeededRng::new(seed);
    let (volumes, nodes) = (2 + rng.below(4), 2 + rng.below(3));
    let p = random_problem(rng, volumes, nodes, 75);
    let mut text = format!("{}", gain_upper_bound(&p));
    for constraint in p.constraints() {
        write!(text, " {}", p.describe(constraint)).expect("writing to memory");
    }
    for volume in 0..p.volumes.len() {
        write!(text, " {:?}", p.allowed_node_sets(volume, &|_| true)).expect("writing to memory");
    }
    let most_steps = if rng.one_in(4) { 30 } else { 20_000 };
    let steps = 1 + rng.below(most_steps);
    match solve(&p, steps) {
        SolveOutcome::Optimal(best) => {
            write!(
                text,
                " best {}",
                describe_placement(&p, &best.placement.0, rng)
            )
            .expect("writing to memory");
        }
        SolveOutcome::Infeasible => {
            let conflict = explain(&p, 3_000);
            let conflict = conflict.map(|c| {
                let descriptions: Vec<String> =
                    c.constraints.iter().map(|w| p.describe(*w)).collect();
                (descriptions, c.least_capacity_per_mille)
            });
            write!(text, " none {conflict:?}").expect("writing to memory");
        }
        SolveOutcome::StepsExhausted {
            best: found,
            gain_upper_bound: bound,
        } => {
            let found = found.as_ref().map(describe_objective);
            write!(text, " open {bound} {found:?}").expect("writing to memory");
        }
    }
    for capacity_per_mille in [200, 1000, 3000] {
        write!(
            text,
            " {:?}",
            is_feasible(&p, &|_| true, capacity_per_mille, 200)
        )
        .expect("writing to memory");
    }
    text
}

/// Returns the results of the local search for a large problem.
fn search_large_problem(seed: u64) -> String {
    let rng = &mut SeededRng::new(seed);
    let (volumes, nodes) = (20 + rng.below(30), 6 + rng.below(6));
    let max_reserve_percent = 30 + rng.below(40);
    let p = random_problem(rng, volumes, nodes, max_reserve_percent);
    let mut text = String::new();
    for from_current in [false, true] {
        let mut search = LocalSearch::new(&p, seed);
        let complete = if from_current {
            search.start_from_current();
            search.place_missing()
        } else {
            search.place_all()
        };
        write!(text, " complete {complete}").expect("writing to memory");
        for attempts in [50, 300] {
            search.improve(attempts);
            let found = search.objective();
            write!(
                text,
                " {:?} {}",
                found.as_ref().map(describe_objective),
                search.is_feasible()
            )
            .expect("writing to memory");
        }
        if let Some(best) = search.objective().filter(|_| volumes < 30) {
            text += &describe_placement(&p, &best.placement.0, rng);
        }
    }
    text
}

/// Returns the migration plan of volumes that exchange nodes with little spare capacity for detours.
fn plan_exchange(seed: u64) -> String {
    let rng = &mut SeededRng::new(seed);
    let node = |n: u64, capacity| Node {
        name: format!("n{n}"),
        zone: format!("z{}", n % 2),
        capacity,
        cost: 0,
    };
    let nodes: Vec<Node> = (0..5)
        .map(|n| node(n, if n == 4 { 4 + rng.below(10) } else { 10 }))
        .collect();
    let volume = |v: u64, reserve, size| Volume {
        name: format!("v{v}"),
        reserved_rate: reserve,
        surge_rate: reserve,
        priority_factor: 1000,
        spread: 1,
        size,
        current_nodes: [format!("n{v}")].into(),
        ..Volume::default()
    };
    let volumes = (0..4)
        .map(|v| volume(v, 3 + rng.below(7), rng.below(100)))
        .collect();
    let p = Problem::new(nodes, volumes).expect("valid");
    let mut to: Vec<usize> = vec![0, 1, 2, 3];
    for last in (1..4).rev() {
        to.swap(last, rng.below(last as u64 + 1) as usize);
    }
    let to: Placement = to.into_iter().map(|n| vec![n]).collect();
    // A data budget of the size of two volumes is sometimes met exactly.
    let max_data = match rng.below(3) {
        0 => None,
        1 => Some(u128::from(rng.below(600)) * SCALE as u128),
        _ => Some(u128::from(p.volumes[0].size + p.volumes[1].size) * SCALE as u128),
    };
    let plan = plan_migration(&p, &current_placement(&p), &to, max_data);
    let mut text = String::new();
    for step in &plan.steps {
        write!(
            text,
            " [{} {:?} {:?} {}]",
            step.volume, step.from, step.to, step.data
        )
        .expect("writing to memory");
    }
    let (end, deferred, blocked) = (&plan.final_placement, &plan.deferred, &plan.blocked);
    write!(text, " ends {end:?} left {deferred:?} stuck {blocked:?}").expect("writing to memory");
    text
}

/// Returns the result of the local search for reserves that nearly fill all nodes: the initial placement needs repairs and
/// may stay incomplete.
fn search_nearly_full_problem(seed: u64) -> String {
    let rng = &mut SeededRng::new(seed);
    let node = |n: u64| Node {
        name: format!("n{n}"),
        zone: "z".into(),
        capacity: 1_000,
        cost: 0,
    };
    let nodes: Vec<Node> = (0..4).map(node).collect();
    let mut volumes = Vec::new();
    let mut left = 3_700 + rng.below(300);
    while left > 0 {
        let reserve = (100 + rng.below(300)).min(left);
        left -= reserve;
        volumes.push(Volume {
            name: format!("v{:02}", volumes.len()),
            reserved_rate: reserve,
            surge_rate: reserve * 2,
            weight: 1,
            priority_factor: 1000 + reserve,
            spread: 1,
            ..Volume::default()
        });
    }
    let p = Problem::new(nodes, volumes).expect("valid");
    let mut search = LocalSearch::new(&p, seed);
    let complete = search.place_all();
    search.improve(20);
    format!(
        "{complete} {:?}",
        search.objective().as_ref().map(describe_objective)
    )
}

/// Returns the quotas of random limits and rates.
fn split_limits(seed: u64) -> String {
    let rng = &mut SeededRng::new(seed);
    let mut text = String::new();
    for _ in 0..50 {
        let sent: Vec<u64> = (0..rng.below(7))
            .map(|_| rng.below(4) * rng.below(1_000_000))
            .collect();
        let (limit, floor) = (rng.below(MAX_NUMBER), rng.below(1_200));
        write!(text, "{:?} ", split_limit(limit, &sent, floor)).expect("writing to memory");
    }
    text
}

#[test]
fn results_for_small_problems_match_the_recorded_digests() {
    let digests: Vec<String> = (0..20)
        .map(|seed| {
            Digest::of_text(
                &(0..15)
                    .map(|n| solve_small_problem(seed * 1_000 + n))
                    .collect::<Vec<_>>()
                    .join("\n"),
            )
        })
        .collect();
    assert_eq!(
        digests,
        [
            "4fe7acc01d3f7671",
            "073ca612529e3858",
            "cbc1269504cc8983",
            "d8a140fc768000b9",
            "599b8b99660f768c",
            "0b814bbee03e1583",
            "d50e01ec5bc6b90e",
            "857674607946f1fd",
            "66df269706d09b8e",
            "67a39ac8d0eb1d0b",
            "67f25cd1e5f09efc",
            "bb5b722d64c266f9",
            "f955f00cd7e2f941",
            "f6c210786b92d1ae",
            "f7720479314339c4",
            "d8fdc1531ce8e665",
            "9016f0d9e4cfd04c",
            "a3a2fe864cac1053",
            "b411daf9b4afa086",
            "42b28bdf5805ccd8"
        ]
    );
}

#[test]
fn results_for_large_problems_match_the_recorded_digests() {
    let digests: Vec<String> = (0..10)
        .map(|seed| Digest::of_text(&search_large_problem(seed)))
        .collect();
    assert_eq!(
        digests,
        [
            "80807712f857eadd",
            "80807712f857eadd",
            "74c5d0bfebe91c7d",
            "80807712f857eadd",
            "74c5d0bfebe91c7d",
            "80807712f857eadd",
            "689c3bbc594b4ff3",
            "80807712f857eadd",
            "9c4e56095636accc",
            "eb0ac77603d8b1c5"
        ]
    );
}

#[test]
fn migration_plans_of_exchanges_match_the_recorded_digests() {
    let digests: Vec<String> = (0..10)
        .map(|seed| {
            Digest::of_text(
                &(0..20)
                    .map(|n| plan_exchange(seed * 1_000 + n))
                    .collect::<Vec<_>>()
                    .join("\n"),
            )
        })
        .collect();
    assert_eq!(
        digests,
        [
            "416468b0d0e1f31a",
            "ebf19925c237e70f",
            "feffa201e7082147",
            "b165ccdd377c714c",
            "11ea9f988e1b6828",
            "213bd013b1114d46",
            "2cfb848c18c2ece1",
            "a09c6f287bcc9319",
            "263cadf23ac80fe8",
            "eb4429f0313b04a5"
        ]
    );
}

#[test]
fn placements_of_nearly_full_problems_match_the_recorded_digests() {
    let digests: Vec<String> = (0..10)
        .map(|seed| {
            Digest::of_text(
                &(0..30)
                    .map(|n| search_nearly_full_problem(seed * 1_000 + n))
                    .collect::<Vec<_>>()
                    .join("\n"),
            )
        })
        .collect();
    assert_eq!(
        digests,
        [
            "749322e698c93a14",
            "bfe28d7bf0b2b682",
            "f2064c14a829985d",
            "dcafa0ee87314ab7",
            "2f3d03d0e6e80e0e",
            "7152c85344074f67",
            "b5d3492d587523e2",
            "3f049d6b8a5805e1",
            "9e34f1cd16334df6",
            "a9f9322df4e2a46c"
        ]
    );
}

#[test]
fn limit_quotas_match_the_recorded_digests() {
    let digests: Vec<String> = (0..5)
        .map(|seed| Digest::of_text(&split_limits(seed)))
        .collect();
    assert_eq!(
        digests,
        [
            "69098107eaa51e6a",
            "63445d223f22b005",
            "3e42016aacd52221",
            "d1056cf63894c585",
            "ffc60d86e8869e9e"
        ]
    );
}

#[test]
fn constants_match_the_recorded_values() {
    assert_eq!(
        (MAX_NUMBER, MAX_SPREAD, SCALE, MAX_WEIGHT),
        (1_000_000_000_000, 8, 840, 1_000)
    );
}

#[test]
fn problem_errors_have_the_recorded_texts() {
    let node = |name: &str, capacity| Node {
        name: name.into(),
        zone: "z".into(),
        capacity,
        cost: 0,
    };
    let nodes = vec![node("b", MAX_NUMBER + 1), node("a", 1), node("a", 2)];
    let valid = Volume {
        name: "s".into(),
        spread: 1,
        ..Volume::default()
    };
    let volumes = vec![
        Volume {
            name: "big".into(),
            size: MAX_NUMBER + 1,
            ..valid.clone()
        },
        Volume {
            name: "none".into(),
            spread: 0,
            ..valid.clone()
        },
        Volume {
            name: "wide".into(),
            spread: 9,
            ..valid.clone()
        },
        Volume {
            name: "low".into(),
            reserved_rate: 2,
            surge_rate: 1,
            ..valid.clone()
        },
        Volume {
            name: "alone".into(),
            survives_node_loss: true,
            ..valid.clone()
        },
        Volume {
            name: "far".into(),
            zone: Some("y".into()),
            ..valid.clone()
        },
        Volume {
            name: "lost".into(),
            current_nodes: ["q".to_owned()].into(),
            ..valid.clone()
        },
        valid.clone(),
        valid,
    ];
    let errors: Vec<String> = Problem::new(nodes, volumes)
        .expect_err("invalid")
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "`a`: expected unique node names",
        "`s`: expected unique volume names",
        "`b`: expected numbers of at most 10^12",
        "`alone`: expected a spread of at least 2 nodes for a volume that survives the loss of a node",
        "`big`: expected numbers of at most 10^12",
        "`far`: expected a volume whose zone has at least one node",
        "`lost`: expected volume data on defined nodes only, not on `q`",
        "`low`: expected a surge rate of at least the reserved rate",
        "`none`: expected a spread of 1 to 8 nodes",
        "`wide`: expected a spread of 1 to 8 nodes",
    ];
    assert_eq!(errors, expected);
}
