//! Random placement problems that several tests use.
use mallowseam_placement::problem::{Node, Problem, Volume};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Returns a random problem: nodes of two capacities in four zones, and volumes of three plans, of which two have a
/// reserve.
pub fn random_problem(volumes: usize, nodes: usize, seed: u64) -> Problem {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let node = |index: usize| Node {
        name: format!("n{index:03}"),
        zone: format!("z{}", index % 4),
        capacity: if index.is_multiple_of(2) {
            400_000
        } else {
            250_000
        },
        cost: 1,
    };
    let nodes: Vec<Node> = (0..nodes).map(node).collect();
    let capacity: u64 = nodes.iter().map(|node| node.capacity).sum();
    let mean = capacity / 2 / volumes as u64;
    let mut volume = |index: usize| {
        let plan = rng.random_range(0..3u64);
        let reserve = plan * rng.random_range(mean / 2..mean * 3 / 2) / 2 + plan;
        let surge = reserve + rng.random_range(mean / 2..mean * 3);
        let spread = rng.random_range(1..=4usize).min(nodes.len());
        Volume {
            name: format!("v{index:04}"),
            reserved_rate: reserve,
            surge_rate: surge,
            weight: 1 + plan,
            priority_factor: [960, 900, 1800][plan as usize],
            spread,
            survives_node_loss: spread > 1 && plan == 2,
            distinct_zones: plan == 2,
            size: 100,
            ..Volume::default()
        }
    };
    let volumes = (0..volumes).map(&mut volume).collect();
    Problem::new(nodes, volumes).expect("valid")
}
