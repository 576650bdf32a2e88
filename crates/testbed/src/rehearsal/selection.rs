//! Resolution of a script's selectors to nodes, hosts and clients.
use mallowseam_scenarios::rehearsal::{Scenario, Selector};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// Indexes of nodes, hosts and clients, each in an order drawn by the seed.
pub(super) struct SeededOrder {
    nodes: Vec<u32>,
    hosts: Vec<u32>,
    clients: Vec<u32>,
}

impl SeededOrder {
    pub(super) fn new(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Self {
        let mut shuffled = |count: u32| {
            let mut numbers: Vec<u32> = (0..count).collect();
            numbers.shuffle(rng);
            numbers
        };
        SeededOrder {
            nodes: shuffled(scenario.nodes),
            hosts: shuffled(scenario.hosts),
            clients: shuffled(scenario.clients),
        }
    }

    pub(super) fn node(&self, selector: Selector) -> u32 {
        pick(&self.nodes, selector)
    }

    pub(super) fn host(&self, selector: Selector) -> u32 {
        pick(&self.hosts, selector)
    }

    pub(super) fn client(&self, selector: Selector) -> u32 {
        pick(&self.clients, selector)
    }
}

fn pick(order: &[u32], selector: Selector) -> u32 {
    match selector {
        Selector::Number(n) => n % order.len() as u32,
        Selector::Any(n) => order[n as usize % order.len()],
    }
}
