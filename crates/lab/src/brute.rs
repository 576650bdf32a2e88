//! Small problems of shares, drawn at random, and a plain enumeration of every placement, written apart from
//! the search that it checks.
use mallowseam_placement::problem::{Node, Volume};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// A small problem: up to eight volumes and four nodes, loose and tight ones alike.
pub fn draw(seed: u64) -> (Vec<Node>, Vec<Volume>) {
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
                max_reserved_rate: 0,
                rate_limit: 0,
                name: format!("v{i}"),
                reserved_rate: reserve,
                surge_rate: reserve + rng.random_range(0..3) * 4000,
                weight: rng.random_range(0..3),
                priority_factor: rng.random_range(1..3) * 1000,
                spread,
                survives_node_loss: spread > 1 && rng.random_range(0..4) == 0,
                survives_zone_loss: rng.random_range(0..8) == 0,
                distinct_zones: rng.random_range(0..4) == 0,
                zone: (rng.random_range(0..6) == 0).then(|| nodes[rng.random_range(0..count)].zone.clone()),
                size: rng.random_range(0..3) * 100,
                current_nodes: nodes
                    .iter()
                    .filter(|_| rng.random_range(0..3) == 0)
                    .map(|n| n.name.clone())
                    .collect(),
            }
        })
        .collect();
    (nodes, volumes)
}

/// Gain, cost and data moved, the latter two less than nothing.
pub type Worth = (i128, i128, i128);

/// What a placement is worth, greater first: gain, cost, data moved; none where it does not fit. All rates in
/// 840 000ths.
pub fn plain(nodes: &[Node], volumes: &[Volume], at: &[Vec<usize>]) -> Option<Worth> {
    let scale = |r: u64| i128::from(r) * 840;
    for (v, set) in volumes.iter().zip(at) {
        let zones: BTreeSet<&str> = set.iter().map(|n| nodes[*n].zone.as_str()).collect();
        if v.distinct_zones && zones.len() < set.len()
            || v.zone.as_ref().is_some_and(|z| zones.iter().any(|x| x != z))
        {
            return None;
        }
    }
    // Each loss that somebody has to survive, and none at all.
    let mut losses: Vec<(Vec<usize>, Vec<bool>)> = vec![(vec![], vec![false; volumes.len()])];
    if volumes.iter().any(|v| v.survives_node_loss) {
        let who: Vec<bool> = volumes.iter().map(|v| v.survives_node_loss).collect();
        losses.extend((0..nodes.len()).map(|n| (vec![n], who.clone())));
    }
    if volumes.iter().any(|v| v.survives_zone_loss) {
        let who: Vec<bool> = volumes.iter().map(|v| v.survives_zone_loss).collect();
        for zone in nodes.iter().map(|n| &n.zone).collect::<BTreeSet<_>>() {
            losses.push(((0..nodes.len()).filter(|n| nodes[*n].zone == *zone).collect(), who.clone()));
        }
    }
    for (lost, must) in losses {
        let mut load = vec![0i128; nodes.len()];
        for (i, set) in at.iter().enumerate() {
            let left: Vec<usize> = set.iter().filter(|n| !lost.contains(n)).copied().collect();
            if must[i] && left.is_empty() && volumes[i].reserved_rate > 0 {
                return None;
            }
            let parts = if must[i] { left.len() } else { set.len() };
            for n in &left {
                load[*n] += scale(volumes[i].reserved_rate) / parts as i128;
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
        let spare =
            scale(node.capacity) - here.iter().map(|v| part(*v, volumes[*v].reserved_rate)).sum::<i128>();
        let weights: i128 = here.iter().map(|v| i128::from(volumes[*v].weight)).sum();
        let mut left = spare;
        let mut rest = vec![];
        for v in here {
            let price = i128::from(volumes[v].priority_factor);
            let beyond = part(v, volumes[v].surge_rate) - part(v, volumes[v].reserved_rate);
            let share =
                if weights == 0 { 0 } else { spare * 9 * i128::from(volumes[v].weight) / (10 * weights) };
            gain += 100 * price * part(v, volumes[v].reserved_rate) + 35 * price * beyond.min(share);
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
        let fresh = set.iter().filter(|n| !v.current_nodes.contains(&nodes[**n].name)).count();
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
pub fn brute(nodes: &[Node], volumes: &[Volume]) -> Option<Vec<Vec<usize>>> {
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
