//! Large problems: what stands always fits, is never past the bound, and comes out alike.
use mallowseam_shares::bound;
use mallowseam_shares::choose::{choose, parts};
use mallowseam_shares::improve::Improve;
use mallowseam_shares::model::{Node, Problem, Volume};
use mallowseam_shares::moves::order;
use mallowseam_shares::search::{Answer, solve};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

/// A fleet: nodes of two kinds in four zones, volumes of three plans, two thirds reserved.
fn fleet(volumes: usize, nodes: usize, seed: u64) -> Problem {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let node = |i: usize| Node {
        name: format!("n{i:03}"),
        zone: format!("z{}", i % 4),
        capacity: if i.is_multiple_of(2) { 400_000 } else { 250_000 },
        cost: 1,
    };
    let nodes: Vec<Node> = (0..nodes).map(node).collect();
    let capacity: u64 = nodes.iter().map(|n| n.capacity).sum();
    let mean = capacity / 2 / volumes as u64;
    let volumes = (0..volumes)
        .map(|i| {
            let plan = rng.random_range(0..3u64);
            let reserve = plan * rng.random_range(mean / 2..mean * 3 / 2) / 2 + plan;
            Volume {
                name: format!("v{i:04}"),
                reserve,
                surge: reserve + rng.random_range(mean / 2..mean * 3),
                weight: 1 + plan,
                price: [960, 900, 1800][plan as usize],
                spread: rng.random_range(1..=4usize).min(nodes.len()),
                apart: plan == 2,
                size: 100,
                ..Volume::default()
            }
        })
        .map(|v| Volume { survives_node: v.spread > 1 && v.weight == 3, ..v })
        .collect();
    Problem::new(nodes, volumes).expect("sound")
}

#[test]
fn what_stands_fits_and_keeps_under_the_bound_as_it_gets_better() {
    for seed in 0..5 {
        let p = fleet(100, 12, seed);
        let mut improve = Improve::new(&p, seed);
        assert!(improve.first(), "seed {seed}");
        let mut last = improve.worth().expect("placed");
        for _ in 0..5 {
            improve.improve(2_000);
            assert!(improve.sound(), "seed {seed}");
            let now = improve.worth().expect("placed");
            assert!(now.gain >= last.gain && now.gain <= bound::most(&p), "seed {seed}");
            last = now;
        }
    }
}

#[test]
fn the_same_seed_and_steps_give_the_same_answer() {
    let p = fleet(60, 8, 1);
    let run = || {
        let mut improve = Improve::new(&p, 7);
        improve.first();
        improve.improve(5_000);
        improve.worth()
    };
    assert_eq!(run(), run());
}

#[test]
fn no_small_problem_is_worth_more_than_the_bound_and_moves_come_near_its_best() {
    let mut met = 0;
    for seed in 0..30 {
        let p = fleet(5, 4, seed);
        let Answer::Best(best) = solve(&p, 50_000_000) else { continue };
        assert!(best.gain <= bound::most(&p), "seed {seed}");
        let mut improve = Improve::new(&p, seed);
        if improve.first() {
            improve.improve(2_000);
            let found = improve.worth().expect("placed");
            assert!(found.gain <= best.gain && found.gain * 100 >= best.gain * 97, "seed {seed}");
            met += 1;
        }
    }
    assert!(met > 10, "{met}");
}

#[test]
fn a_lost_node_is_mended_from_where_data_lies() {
    let p = fleet(200, 20, 3);
    let mut improve = Improve::new(&p, 3);
    assert!(improve.first());
    improve.improve(20_000);
    let placed = improve.worth().expect("placed").order.0;
    let lost = "n005".to_owned();
    let names: Vec<String> = p.nodes.iter().map(|n| n.name.clone()).collect();
    let left: Vec<Node> = p.nodes.iter().filter(|n| n.name != lost).cloned().collect();
    let volumes: Vec<Volume> = p
        .volumes
        .iter()
        .zip(&placed)
        .map(|(v, set)| {
            let today = set.iter().map(|n| names[*n].clone()).filter(|n| *n != lost).collect();
            Volume { today, ..v.clone() }
        })
        .collect();
    let touched = volumes.iter().filter(|v| v.today.len() < v.spread).count();
    let p = Problem::new(left, volumes).expect("sound");
    let mut mended = Improve::new(&p, 3);
    mended.from_today();
    assert!(mended.mend() && mended.sound());
    let after = mended.worth().expect("placed");
    // Also what has no reserve is on a node that does something.
    let mut dead = p.clone();
    dead.nodes[7].capacity = 0;
    dead.volumes[0] = Volume { reserve: 0, survives_node: false, spread: 1, ..dead.volumes[0].clone() };
    dead.volumes[0].today = [dead.nodes[7].name.clone()].into();
    let mut off = Improve::new(&dead, 3);
    off.from_today();
    assert!(off.mend());
    assert!(off.worth().expect("placed").order.0.iter().all(|set| !set.contains(&7)));
    // Only what lay there has moved.
    let moved = after
        .order
        .0
        .iter()
        .zip(&p.volumes)
        .filter(|(set, v)| set.iter().any(|n| !v.today.contains(&p.nodes[*n].name)));
    assert!(moved.count() <= touched, "{touched} lay there");
}

#[test]
fn identical_volumes_are_searched_through_once_and_not_in_every_exchange() {
    let node = |name: &str, capacity| Node { name: name.into(), zone: "z".into(), capacity, cost: 1 };
    let nodes = vec![node("a", 30_000), node("b", 30_000), node("c", 12_000)];
    let like = |i: usize| Volume {
        name: format!("v{i:02}"),
        reserve: 3_000,
        surge: 5_000,
        weight: 1,
        price: 1000,
        spread: 1,
        size: 1,
        ..Volume::default()
    };
    let p = Problem::new(nodes, (0..20).map(like).collect()).expect("sound");
    // Three to the power of twenty placements, and 231 that differ by more than names.
    let Answer::Best(best) = solve(&p, 100_000) else { panic!("not proven within 100,000 steps") };
    assert!(best.order.0.is_sorted(), "the least by name");
    // One unit more than all can do, and the proof is as short.
    let over = |v: &Volume| Volume { reserve: 3_601, ..v.clone() };
    let tight = Problem::new(p.nodes.clone(), p.volumes.iter().map(over).collect()).expect("sound");
    assert_eq!(solve(&tight, 100_000), Answer::None);
}

/// Highest memory of this process so far, in MiB.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1024
}

/// The table of sizes; not part of the usual run: `cargo test --release -p mallowseam-shares -- --ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement"]
fn sizes() {
    for (volumes, nodes, moves) in [(10, 8, 20_000), (100, 40, 200_000), (1_000, 60, 600_000)] {
        let p = fleet(volumes, nodes, 1);
        let most = bound::most(&p);
        let began = Instant::now();
        let mut improve = Improve::new(&p, 1);
        let first = improve.first();
        let gap = |i: &Improve| i.worth().map_or(f64::NAN, |w| 100.0 * (most - w.gain) as f64 / most as f64);
        let (early, at) = (gap(&improve), began.elapsed());
        improve.improve(moves);
        println!(
            "{volumes} volumes, {nodes} nodes: first {first} after {at:.2?}, gap {early:.2} %; after {:.2?}, \
             gap {:.2} %, sound {}, {} MiB",
            began.elapsed(),
            gap(&improve),
            improve.sound(),
            memory()
        );
        let placed = improve.worth().expect("placed").order.0;
        let began = Instant::now();
        let chosen = choose(&p, &placed);
        println!(
            "  weights chosen in {:.2?}: gain times {:.4}",
            began.elapsed(),
            chosen.gain as f64 / chosen.before as f64
        );
        // One node is lost: what lay there is placed anew, and the steps are put in order.
        let lost = 1;
        let mut nodes = p.nodes.clone();
        nodes[lost].capacity = 0;
        let today = |set: &Vec<usize>| set.iter().map(|n| p.nodes[*n].name.clone()).collect();
        let volumes = p.volumes.iter().zip(&placed).map(|(v, set)| Volume { today: today(set), ..v.clone() });
        let q = Problem::new(nodes, volumes.collect()).expect("sound");
        let began = Instant::now();
        let mut mended = Improve::new(&q, 1);
        mended.from_today();
        let all = mended.mend();
        let repaired = began.elapsed();
        let steps = mended.worth().map(|w| order(&q, &placed, &w.order.0, None));
        println!(
            "  a node lost: mended {all} in {repaired:.2?}; with {} steps in order after {:.2?}, stuck {}",
            steps.as_ref().map_or(0, |m| m.steps.len()),
            began.elapsed(),
            steps.as_ref().map_or(0, |m| m.stuck.len())
        );
    }
    let sent: Vec<u64> = (0..180).map(|h| h * h).collect();
    let began = Instant::now();
    let dealt = (0..1_000u64).map(|v| parts(1_000_000 + v, &sent, 250).len()).sum::<usize>();
    println!("limits of 1,000 volumes dealt to 180 hosts: {dealt} parts in {:.2?}", began.elapsed());
}
