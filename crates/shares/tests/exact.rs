//! The search against a plain enumeration of every placement, written apart from it.
use mallowseam_shares::conflict::explain;
use mallowseam_shares::model::{Node, Problem, Volume, Wish};
use mallowseam_shares::search::{Answer, feasible, solve};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const STEPS: u64 = 50_000_000;

/// A small problem: up to eight volumes and four nodes, loose and tight ones alike.
fn draw(seed: u64) -> (Vec<Node>, Vec<Volume>) {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(1..=4);
    let zones = rng.random_range(1..=3);
    let nodes: Vec<Node> = (0..count)
        .map(|i| Node {
            name: format!("n{i}"),
            zone: format!("z{}", rng.random_range(0..zones)),
            capacity: [0, 10, 20, 40][rng.random_range(0..4)] * 1000,
            cost: rng.random_range(0..3),
        })
        .collect();
    let most = if count == 4 { 5 } else { 8 };
    let volumes = (0..rng.random_range(1..=most))
        .map(|i| {
            let reserve = rng.random_range(0..8) * 1000;
            let spread = rng.random_range(1..=count.min(2));
            Volume {
                name: format!("v{i}"),
                reserve,
                surge: reserve + rng.random_range(0..3) * 4000,
                weight: rng.random_range(0..3),
                price: rng.random_range(1..3) * 1000,
                spread,
                survives_node: spread > 1 && rng.random_range(0..4) == 0,
                survives_zone: rng.random_range(0..8) == 0,
                apart: rng.random_range(0..4) == 0,
                zone: (rng.random_range(0..6) == 0).then(|| nodes[rng.random_range(0..count)].zone.clone()),
                size: rng.random_range(0..3) * 100,
                today: nodes.iter().filter(|_| rng.random_range(0..3) == 0).map(|n| n.name.clone()).collect(),
            }
        })
        .collect();
    (nodes, volumes)
}

/// Gain, cost and data moved, the latter two less than nothing.
type Worth = (i128, i128, i128);

/// What a placement is worth, greater first: gain, cost, data moved; none where it does not fit. All rates in
/// 840 000ths.
fn plain(nodes: &[Node], volumes: &[Volume], at: &[Vec<usize>]) -> Option<Worth> {
    let scale = |r: u64| i128::from(r) * 840;
    for (v, set) in volumes.iter().zip(at) {
        let zones: BTreeSet<&str> = set.iter().map(|n| nodes[*n].zone.as_str()).collect();
        if v.apart && zones.len() < set.len() || v.zone.as_ref().is_some_and(|z| zones.iter().any(|x| x != z))
        {
            return None;
        }
    }
    // Each loss that somebody has to survive, and none at all.
    let mut losses: Vec<(Vec<usize>, Vec<bool>)> = vec![(vec![], vec![false; volumes.len()])];
    if volumes.iter().any(|v| v.survives_node) {
        let who: Vec<bool> = volumes.iter().map(|v| v.survives_node).collect();
        losses.extend((0..nodes.len()).map(|n| (vec![n], who.clone())));
    }
    if volumes.iter().any(|v| v.survives_zone) {
        let who: Vec<bool> = volumes.iter().map(|v| v.survives_zone).collect();
        for zone in nodes.iter().map(|n| &n.zone).collect::<BTreeSet<_>>() {
            losses.push(((0..nodes.len()).filter(|n| nodes[*n].zone == *zone).collect(), who.clone()));
        }
    }
    for (lost, must) in losses {
        let mut load = vec![0i128; nodes.len()];
        for (i, set) in at.iter().enumerate() {
            let left: Vec<usize> = set.iter().filter(|n| !lost.contains(n)).copied().collect();
            if must[i] && left.is_empty() && volumes[i].reserve > 0 {
                return None;
            }
            let parts = if must[i] { left.len() } else { set.len() };
            for n in &left {
                load[*n] += scale(volumes[i].reserve) / parts as i128;
            }
        }
        if load.iter().zip(nodes).any(|(l, n)| *l > scale(n.capacity)) {
            return None;
        }
    }
    let mut gain = 0;
    for (n, node) in nodes.iter().enumerate() {
        let here: Vec<usize> = (0..at.len()).filter(|v| at[*v].contains(&n)).collect();
        let part = |v: usize, r: u64| scale(r) / at[v].len() as i128;
        let spare = scale(node.capacity) - here.iter().map(|v| part(*v, volumes[*v].reserve)).sum::<i128>();
        let weights: i128 = here.iter().map(|v| i128::from(volumes[*v].weight)).sum();
        let mut left = spare;
        let mut rest = vec![];
        for v in here {
            let price = i128::from(volumes[v].price);
            let beyond = part(v, volumes[v].surge) - part(v, volumes[v].reserve);
            let share =
                if weights == 0 { 0 } else { spare * 9 * i128::from(volumes[v].weight) / (10 * weights) };
            gain += 100 * price * part(v, volumes[v].reserve) + 35 * price * beyond.min(share);
            left -= beyond.min(share);
            rest.push((price, beyond - beyond.min(share)));
        }
        rest.sort();
        while let Some((price, asked)) = rest.pop() {
            gain += 10 * price * asked.min(left);
            left -= asked.min(left);
        }
    }
    let used: BTreeSet<usize> = at.iter().flatten().copied().collect();
    let cost = used.iter().map(|n| i128::from(nodes[*n].cost)).sum::<i128>();
    let moved = volumes.iter().zip(at).map(|(v, set)| {
        let fresh = set.iter().filter(|n| !v.today.contains(&nodes[**n].name)).count();
        scale(v.size) / set.len() as i128 * fresh as i128
    });
    Some((gain, -cost, -moved.sum::<i128>()))
}

fn sets(count: usize, size: usize, from: usize) -> Vec<Vec<usize>> {
    if size == 0 {
        return vec![vec![]];
    }
    let with = |n: usize| {
        sets(count, size - 1, n + 1).into_iter().map(move |mut s| {
            s.insert(0, n);
            s
        })
    };
    (from..count).flat_map(with).collect()
}

/// The best of all placements, the first by name among equals.
fn brute(nodes: &[Node], volumes: &[Volume]) -> Option<Vec<Vec<usize>>> {
    let all: Vec<Vec<Vec<usize>>> = volumes.iter().map(|v| sets(nodes.len(), v.spread, 0)).collect();
    let mut at: Vec<usize> = vec![0; volumes.len()];
    let mut best: Option<(Worth, Vec<Vec<usize>>)> = None;
    if all.iter().any(Vec::is_empty) {
        return None;
    }
    loop {
        let placed: Vec<Vec<usize>> = at.iter().zip(&all).map(|(i, sets)| sets[*i].clone()).collect();
        if let Some(worth) = plain(nodes, volumes, &placed)
            && best.as_ref().is_none_or(|b| worth > b.0 || worth == b.0 && placed < b.1)
        {
            best = Some((worth, placed));
        }
        let Some(i) = (0..at.len()).rev().find(|i| at[*i] + 1 < all[*i].len()) else { break };
        at[i] += 1;
        at[i + 1..].fill(0);
    }
    best.map(|b| b.1)
}

fn placement(answer: Answer) -> Option<Vec<Vec<usize>>> {
    match answer {
        Answer::Best(worth) => Some(worth.order.0),
        Answer::None => None,
        Answer::Open { .. } => panic!("the steps ran out"),
    }
}

#[test]
fn two_thousand_small_problems_have_the_answer_of_brute_force_with_the_same_tie() {
    let (mut fits, mut ties) = (0, 0);
    for seed in 0..2_000 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes.clone(), volumes.clone()).expect("sound");
        let wanted = brute(&nodes, &volumes);
        fits += usize::from(wanted.is_some());
        ties += usize::from(wanted.as_ref().is_some_and(|w| w.len() > 1));
        assert_eq!(placement(solve(&problem, STEPS)), wanted, "seed {seed}");
    }
    assert!(fits > 500 && fits < 1_900 && ties > 300, "{fits} fit, {ties} of more than one volume");
}

#[test]
fn the_order_in_which_a_problem_is_written_changes_nothing() {
    for seed in 0..200 {
        let (mut nodes, mut volumes) = draw(seed);
        let one = solve(&Problem::new(nodes.clone(), volumes.clone()).expect("sound"), STEPS);
        let rng = &mut Pcg64Mcg::seed_from_u64(seed);
        nodes.shuffle(rng);
        volumes.shuffle(rng);
        assert_eq!(solve(&Problem::new(nodes, volumes).expect("sound"), STEPS), one, "seed {seed}");
    }
}

#[test]
fn what_contradicts_is_named_and_nothing_of_it_can_be_spared() {
    let mut named = 0;
    for seed in 0..400 {
        let (nodes, volumes) = draw(seed);
        let problem = Problem::new(nodes, volumes).expect("sound");
        let Some(conflict) = explain(&problem, STEPS) else { continue };
        named += 1;
        let possible =
            |kept: &[Wish]| feasible(&problem, &|w| kept.contains(&w), 1000, STEPS).expect("steps");
        assert!(!possible(&conflict.demands), "seed {seed}");
        for i in 0..conflict.demands.len() {
            let mut rest = conflict.demands.clone();
            rest.remove(i);
            assert!(possible(&rest), "seed {seed}: {} is not needed", problem.tell(conflict.demands[i]));
        }
        if let Some(stretch) = conflict.stretch {
            let fits = |s| feasible(&problem, &|_| true, s, STEPS).expect("steps");
            assert!(fits(stretch) && !fits(stretch - 1), "seed {seed}");
        }
    }
    assert!(named > 50, "{named} contradictions");
}

fn node(name: &str, zone: &str, capacity: u64) -> Node {
    Node { name: name.into(), zone: zone.into(), capacity, cost: 0 }
}

fn volume(name: &str, reserve: u64) -> Volume {
    Volume {
        name: name.into(),
        reserve,
        surge: reserve,
        weight: 1,
        price: 1000,
        spread: 1,
        ..Volume::default()
    }
}

#[test]
fn one_thousandth_of_a_unit_too_much_is_too_much() {
    let nodes = vec![node("a", "z", 5_000), node("b", "z", 5_000)];
    let fits = |r| {
        let volumes = vec![volume("x", 5_000), volume("y", r)];
        solve(&Problem::new(nodes.clone(), volumes).expect("sound"), STEPS) != Answer::None
    };
    assert!(fits(5_000) && !fits(5_001));
}

#[test]
fn the_least_relaxation_is_told_or_that_no_capacity_would_do() {
    let problem = |v: Volume| {
        Problem::new(vec![node("a", "y", 4_000), node("b", "y", 4_000), node("c", "z", 4_000)], vec![v])
    };
    let conflict = explain(&problem(volume("x", 5_000)).expect("sound"), STEPS).expect("too much");
    assert_eq!(conflict.stretch, Some(1_250));
    let apart = Volume { spread: 2, apart: true, zone: Some("y".into()), ..volume("x", 1_000) };
    let conflict = explain(&problem(apart).expect("sound"), STEPS).expect("contradicts");
    assert_eq!((conflict.demands, conflict.stretch), (vec![Wish::Zone(0), Wish::Apart(0)], None));
}

#[test]
fn numbers_at_the_edge_neither_overflow_nor_pass_it() {
    let most = mallowseam_shares::model::MOST;
    let volumes: Vec<Volume> = (0..8)
        .map(|i| Volume { weight: most, price: most, size: most, ..volume(&format!("v{i}"), most) })
        .collect();
    let nodes: Vec<Node> = (0..8).map(|i| node(&format!("n{i}"), "z", most)).collect();
    let problem = Problem::new(nodes, volumes.clone()).expect("sound");
    assert!(matches!(solve(&problem, STEPS), Answer::Best(_)));
    let past = Volume { reserve: most + 1, surge: most + 1, ..volume("v", 0) };
    let wrong = Problem::new(vec![node("n", "z", 1)], vec![past, volume("w", 0), volume("w", 0)]);
    assert_eq!(wrong.expect_err("two mistakes").len(), 2);
}

#[test]
fn a_search_that_runs_out_of_steps_says_so_with_a_bound() {
    let nodes: Vec<Node> = (0..8).map(|i| node(&format!("n{i}"), "z", 9_000)).collect();
    let volumes =
        (0..30).map(|i| Volume { surge: 9_000, ..volume(&format!("v{i:02}"), 1_000 + i) }).collect();
    let Answer::Open { found, bound } = solve(&Problem::new(nodes, volumes).expect("sound"), 5_000) else {
        panic!("thirty volumes on eight nodes are not searched through in 5 000 steps")
    };
    assert!(found.expect("one that fits").gain <= bound);
}
