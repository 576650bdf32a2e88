//! Random small placement problems and their solution by enumerating all placements. The code is independent of the
//! branch-and-bound search, which is checked against it.
use mallowseam_placement::problem::{Node, Volume};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Scale factor of rates: 840 is divisible by every spread of up to eight nodes.
const RATE_SCALE: i128 = 840;

/// Nodes and volumes of a problem.
pub type SmallProblem = (Vec<Node>, Vec<Volume>);

/// Returns a random problem of up to eight volumes and four nodes, with any degree of utilization.
pub fn draw(seed: u64) -> SmallProblem {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let node_count: usize = rng.random_range(1..=4);
    let zones = rng.random_range(1..=3);
    let nodes: Vec<Node> = (0..node_count)
        .map(|i| Node {
            name: format!("n{i}"),
            zone: format!("z{}", rng.random_range(0..zones)),
            capacity: [0, 10, 20, 40][rng.random_range(0..4)] * 1000,
            cost: rng.random_range(0..3),
        })
        .collect();
    let max_volumes: i32 = if node_count == 4 { 5 } else { 8 };
    let volumes = (0..rng.random_range(1..=max_volumes))
        .map(|i| draw_volume(rng, i, &nodes))
        .collect();
    (nodes, volumes)
}

/// Returns a random volume. The problem of a seed depends on the order in which random numbers are drawn here.
fn draw_volume(rng: &mut Pcg64Mcg, i: i32, nodes: &[Node]) -> Volume {
    let reserved_rate = rng.random_range(0..8) * 1000;
    let spread = rng.random_range(1..=nodes.len().min(2));
    Volume {
        max_reserved_rate: 0,
        rate_limit: 0,
        name: format!("v{i}"),
        reserved_rate,
        surge_rate: reserved_rate + rng.random_range(0..3) * 4000,
        weight: rng.random_range(0..3),
        priority_factor: rng.random_range(1..3) * 1000,
        spread,
        survives_node_loss: spread > 1 && rng.random_range(0..4) == 0,
        survives_zone_loss: rng.random_range(0..8) == 0,
        distinct_zones: rng.random_range(0..4) == 0,
        zone: (rng.random_range(0..6) == 0)
            .then(|| nodes[rng.random_range(0..nodes.len())].zone.clone()),
        size: rng.random_range(0..3) * 100,
        current_nodes: nodes
            .iter()
            .filter(|_| rng.random_range(0..3) == 0)
            .map(|node| node.name.clone())
            .collect(),
    }
}

/// Objective value of a placement: gain, negative cost, and negative amount of moved data. A greater value is better.
type Value = (i128, i128, i128);

/// Returns the objective value of a placement, or `None` if the placement is infeasible.
fn value(nodes: &[Node], volumes: &[Volume], placement: &[Vec<usize>]) -> Option<Value> {
    if !zones_fit(nodes, volumes, placement) || !loads_fit(nodes, volumes, placement) {
        return None;
    }
    let gain = (0..nodes.len())
        .map(|n| node_gain(nodes, volumes, placement, n))
        .sum();
    let used: BTreeSet<usize> = placement.iter().flatten().copied().collect();
    let cost: i128 = used.iter().map(|n| i128::from(nodes[*n].cost)).sum();
    let moved_data = volumes.iter().zip(placement).map(|(volume, set)| {
        let new = set
            .iter()
            .filter(|n| !volume.current_nodes.contains(&nodes[**n].name))
            .count();
        scaled(volume.size) / set.len() as i128 * new as i128
    });
    Some((gain, -cost, -moved_data.sum::<i128>()))
}

/// Returns a rate times [`RATE_SCALE`].
fn scaled(rate: u64) -> i128 {
    i128::from(rate) * RATE_SCALE
}

/// Returns whether a placement meets the zone constraints of all volumes.
fn zones_fit(nodes: &[Node], volumes: &[Volume], placement: &[Vec<usize>]) -> bool {
    volumes.iter().zip(placement).all(|(volume, set)| {
        let zones: BTreeSet<&str> = set.iter().map(|n| nodes[*n].zone.as_str()).collect();
        let distinct = !volume.distinct_zones || zones.len() == set.len();
        distinct
            && volume
                .zone
                .as_ref()
                .is_none_or(|zone| zones.iter().all(|z| z == zone))
    })
}

/// A failure case: nodes that are lost together, and for each volume whether it must survive their loss.
struct Loss {
    nodes: Vec<usize>,
    must_survive: Vec<bool>,
}

/// Returns the failure cases to check: no loss, and each loss that some volume must survive.
fn losses(nodes: &[Node], volumes: &[Volume]) -> Vec<Loss> {
    let mut losses = vec![Loss {
        nodes: vec![],
        must_survive: vec![false; volumes.len()],
    }];
    if volumes.iter().any(|v| v.survives_node_loss) {
        let must_survive: Vec<bool> = volumes.iter().map(|v| v.survives_node_loss).collect();
        let loss = |n| Loss {
            nodes: vec![n],
            must_survive: must_survive.clone(),
        };
        losses.extend((0..nodes.len()).map(loss));
    }
    if volumes.iter().any(|v| v.survives_zone_loss) {
        let must_survive: Vec<bool> = volumes.iter().map(|v| v.survives_zone_loss).collect();
        for zone in nodes.iter().map(|n| &n.zone).collect::<BTreeSet<_>>() {
            let lost = (0..nodes.len())
                .filter(|n| nodes[*n].zone == *zone)
                .collect();
            losses.push(Loss {
                nodes: lost,
                must_survive: must_survive.clone(),
            });
        }
    }
    losses
}

/// Returns whether the reserved rates fit at every node, now and after each loss.
fn loads_fit(nodes: &[Node], volumes: &[Volume], placement: &[Vec<usize>]) -> bool {
    losses(nodes, volumes).iter().all(|loss| {
        let mut load = vec![0i128; nodes.len()];
        for (v, set) in placement.iter().enumerate() {
            let remaining: Vec<usize> = set
                .iter()
                .filter(|n| !loss.nodes.contains(n))
                .copied()
                .collect();
            let survives = loss.must_survive[v];
            if survives && remaining.is_empty() && volumes[v].reserved_rate > 0 {
                return false;
            }
            let parts = if survives { remaining.len() } else { set.len() };
            for n in &remaining {
                load[*n] += scaled(volumes[v].reserved_rate) / parts as i128;
            }
        }
        load.iter()
            .zip(nodes)
            .all(|(load, node)| *load <= scaled(node.capacity))
    })
}

/// Returns the gain at one node when all volumes surge at once.
fn node_gain(nodes: &[Node], volumes: &[Volume], placement: &[Vec<usize>], n: usize) -> i128 {
    let here: Vec<usize> = (0..placement.len())
        .filter(|v| placement[*v].contains(&n))
        .collect();
    let part = |v: usize, rate: u64| scaled(rate) / placement[v].len() as i128;
    let reserved: i128 = here
        .iter()
        .map(|v| part(*v, volumes[*v].reserved_rate))
        .sum();
    let unreserved = scaled(nodes[n].capacity) - reserved;
    let weights: i128 = here.iter().map(|v| i128::from(volumes[*v].weight)).sum();
    let mut gain = 0;
    let mut remaining = unreserved;
    let mut beyond_share = vec![];
    for v in here {
        let factor = i128::from(volumes[v].priority_factor);
        let reserved = part(v, volumes[v].reserved_rate);
        let beyond = part(v, volumes[v].surge_rate) - reserved;
        let share = if weights == 0 {
            0
        } else {
            unreserved * 9 * i128::from(volumes[v].weight) / (10 * weights)
        };
        let within_share = beyond.min(share);
        gain += 100 * factor * reserved + 35 * factor * within_share;
        remaining -= within_share;
        beyond_share.push((factor, beyond - within_share));
    }
    beyond_share.sort_unstable();
    while let Some((factor, requested)) = beyond_share.pop() {
        gain += 10 * factor * requested.min(remaining);
        remaining -= requested.min(remaining);
    }
    gain
}

/// Returns all sets of `size` nodes with indices from `from` to `count` - 1, in ascending order.
fn node_sets(count: usize, size: usize, from: usize) -> Vec<Vec<usize>> {
    if size == 0 {
        return vec![vec![]];
    }
    let starting_with = |n: usize| {
        node_sets(count, size - 1, n + 1)
            .into_iter()
            .map(move |mut set| {
                set.insert(0, n);
                set
            })
    };
    (from..count).flat_map(starting_with).collect()
}

/// Returns the best of all placements, and of equal ones the first in order of names. Returns `None` if none is feasible.
pub fn enumerate(nodes: &[Node], volumes: &[Volume]) -> Option<Vec<Vec<usize>>> {
    let choices: Vec<Vec<Vec<usize>>> = volumes
        .iter()
        .map(|v| node_sets(nodes.len(), v.spread, 0))
        .collect();
    if choices.iter().any(Vec::is_empty) {
        return None;
    }
    let mut chosen: Vec<usize> = vec![0; volumes.len()];
    let mut best: Option<(Value, Vec<Vec<usize>>)> = None;
    loop {
        let placement: Vec<Vec<usize>> = chosen
            .iter()
            .zip(&choices)
            .map(|(i, sets)| sets[*i].clone())
            .collect();
        if let Some(value) = value(nodes, volumes, &placement)
            && best
                .as_ref()
                .is_none_or(|b| value > b.0 || value == b.0 && placement < b.1)
        {
            best = Some((value, placement));
        }
        // Advances to the next combination of node sets, as an odometer does.
        let Some(i) = (0..chosen.len())
            .rev()
            .find(|i| chosen[*i] + 1 < choices[*i].len())
        else {
            break;
        };
        chosen[i] += 1;
        chosen[i + 1..].fill(0);
    }
    best.map(|(_, placement)| placement)
}
