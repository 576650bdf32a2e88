//! Ways from one placement to another.
use mallowseam_shares::model::{Node, Problem, SCALE, Volume};
use mallowseam_shares::moves::{Moves, order, today};
use mallowseam_shares::search::{Answer, solve};
use mallowseam_shares::value::{Placement, excess, fits};
use proptest::prelude::*;

fn node(name: &str, zone: &str, capacity: u64) -> Node {
    Node { name: name.into(), zone: zone.into(), capacity, cost: 0 }
}

fn volume(name: &str, reserve: u64, today: &[&str]) -> Volume {
    let today = today.iter().map(|t| (*t).to_owned()).collect();
    Volume {
        name: name.into(),
        reserve,
        surge: reserve,
        price: 1000,
        spread: 1,
        size: 100,
        today,
        ..Volume::default()
    }
}

/// Plays the steps and holds against each what must hold all the way.
fn check(p: &Problem, from: &Placement, moves: &Moves) {
    let mut at = from.clone();
    let over = |at: &Placement| {
        let placed: Vec<(usize, &[usize])> =
            at.iter().map(Vec::as_slice).enumerate().filter(|a| !a.1.is_empty()).collect();
        excess(p, &placed)
    };
    let unmet = |v: usize, set: &[usize]| {
        let zones: std::collections::BTreeSet<&str> = set.iter().map(|n| p.nodes[*n].zone.as_str()).collect();
        let volume = &p.volumes[v];
        let outside =
            volume.zone.as_ref().map_or(0, |z| set.iter().filter(|n| p.nodes[**n].zone != *z).count());
        outside + if volume.apart { set.len() - zones.len() } else { 0 }
    };
    let mut worst = over(&at);
    for step in &moves.steps {
        let before = at[step.volume].clone();
        if let Some(from) = step.from {
            assert!(before.contains(&from), "{step:?} leaves a node where nothing lies");
        }
        at[step.volume].retain(|n| Some(*n) != step.from);
        at[step.volume].extend(step.to);
        at[step.volume].sort_unstable();
        assert!(over(&at) <= worst, "{step:?} breaks a reserve");
        assert!(
            unmet(step.volume, &at[step.volume]) <= unmet(step.volume, &before),
            "{step:?} breaks a zone wish"
        );
        worst = over(&at);
    }
    assert_eq!(at, moves.ends);
}

#[test]
fn volumes_in_each_others_way_go_round_by_a_third_node() {
    let nodes = vec![node("a", "x", 10), node("b", "x", 10), node("c", "x", 6)];
    let p = Problem::new(nodes, vec![volume("u", 6, &["a"]), volume("v", 6, &["b"])]).expect("sound");
    let from = today(&p);
    let to = vec![vec![1], vec![0]];
    let moves = order(&p, &from, &to, None);
    check(&p, &from, &moves);
    assert_eq!((moves.ends.clone(), moves.steps.len()), (to.clone(), 3));
    assert_eq!(moves.data(), 300 * SCALE as u128);
    // With data for the two straight moves only, nobody may go round: both stay.
    let moves = order(&p, &from, &to, Some(200 * SCALE as u128));
    assert_eq!((moves.steps.len(), moves.stuck), (0, vec![0, 1]));
    // And with no third node that would do, it is said so.
    let nodes = vec![node("a", "x", 10), node("b", "x", 10), node("c", "x", 5)];
    let p = Problem::new(nodes, vec![volume("u", 6, &["a"]), volume("v", 6, &["b"])]).expect("sound");
    assert_eq!(order(&p, &today(&p), &to, None).stuck, [0, 1]);
}

#[test]
fn what_lies_on_a_lost_node_goes_first_and_what_the_data_does_not_reach_for_stays() {
    let nodes = vec![node("a", "x", 20), node("b", "x", 0), node("c", "x", 20)];
    let volumes = vec![volume("u", 3, &["a"]), volume("v", 3, &["b"]), volume("w", 3, &["a"])];
    let p = Problem::new(nodes, volumes).expect("sound");
    let from = today(&p);
    let moves = order(&p, &from, &vec![vec![2], vec![2], vec![2]], Some(150 * SCALE as u128));
    check(&p, &from, &moves);
    assert_eq!((moves.ends, moves.left), (vec![vec![0], vec![2], vec![0]], vec![0, 2]));
}

#[test]
fn a_volume_apart_never_lies_in_one_zone_on_the_way() {
    let nodes = vec![node("a", "x", 20), node("b", "y", 20), node("c", "x", 20), node("d", "y", 20)];
    let v = Volume { spread: 2, apart: true, ..volume("u", 4, &["a", "b"]) };
    let p = Problem::new(nodes, vec![v]).expect("sound");
    let from = today(&p);
    let moves = order(&p, &from, &vec![vec![2, 3]], None);
    check(&p, &from, &moves);
    assert_eq!((moves.steps.len(), moves.stuck.len()), (2, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever lies where today, each step keeps what holds, and what is left over is said.
    #[test]
    fn no_step_breaks_what_held_before(seed in any::<u64>(), most in prop::option::of(0u64..600)) {
        let mut state = seed | 1;
        let mut below = |n: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % n
        };
        let names = ["a", "b", "c", "d"];
        let nodes: Vec<Node> = names.iter().map(|n| node(n, ["x", "y"][below(2) as usize], 8 + below(8))).collect();
        let volumes: Vec<Volume> = (0..3 + below(4)).map(|i| {
            let spread = 1 + below(2) as usize;
            let first = below(4) as usize;
            let today: Vec<&str> = (0..spread).map(|k| names[(first + k) % 4]).collect();
            Volume { spread, survives_node: spread > 1 && below(2) == 0, ..volume(&format!("v{i}"), below(5), &today) }
        }).collect();
        let p = Problem::new(nodes, volumes).expect("sound");
        let from = today(&p);
        if let Answer::Best(best) = solve(&p, 100_000) {
            let to = best.order.0;
            let most = most.map(|m| u128::from(m) * SCALE as u128);
            let moves = order(&p, &from, &to, most);
            check(&p, &from, &moves);
            prop_assert!(most.is_none_or(|m| moves.data() <= m));
            for (v, wanted) in to.iter().enumerate() {
                let open = moves.stuck.contains(&v) || moves.left.contains(&v);
                prop_assert!(open || moves.ends[v] == *wanted);
            }
            if moves.stuck.is_empty() && moves.left.is_empty() {
                let placed: Vec<(usize, &[usize])> = moves.ends.iter().map(Vec::as_slice).enumerate().collect();
                prop_assert!(fits(&p, &placed, &|_| true, 1000));
            }
        }
    }
}
