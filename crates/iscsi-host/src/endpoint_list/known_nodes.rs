//! The nodes of the configuration, and the present run of each as this host knows it.
use mallowseam_endpoint_list::{Endpoint, EndpointState};
use mallowseam_scheduler::interface::{NodeEndpoint, NodeId, NodeState, Tick};
use mallowseam_settings::config;
use std::num::NonZeroU64;

/// Ticks in a millisecond.
const TICKS_PER_MILLI: Tick = 10;
/// The earliest start that a host's clock can tell.
const EARLIEST_START: Tick = 1;

/// A run of a node's process.
#[derive(Clone, Copy)]
struct Run {
    /// Tells one run from another.
    generation: NonZeroU64,
    /// When it began, by this host's clock.
    began: Tick,
}

/// A node of the configuration.
struct KnownNode {
    name: String,
    zone: u32,
    shard: u32,
    /// Its present run; none: it began long ago.
    run: Option<Run>,
}

/// All nodes of the configuration, by index.
pub(super) struct KnownNodes(Vec<KnownNode>);

impl KnownNodes {
    /// Nodes as the configuration has them, their zones numbered in the order in which they are named.
    pub(super) fn new(nodes: &[config::Node]) -> Self {
        let mut zones: Vec<&str> = Vec::new();
        let mut known = Vec::new();
        for node in nodes {
            let zone = zones.iter().position(|zone| *zone == node.zone);
            let zone = zone.unwrap_or_else(|| {
                zones.push(&node.zone);
                zones.len() - 1
            });
            known.push(KnownNode {
                name: node.name.clone(),
                zone: zone as u32,
                shard: node.shard,
                run: None,
            });
        }
        KnownNodes(known)
    }

    /// All nodes as the scheduler takes them, active since long ago.
    pub(super) fn all_active(&self) -> Vec<NodeEndpoint> {
        let nodes = self.0.iter().enumerate();
        nodes
            .map(|(index, node)| NodeEndpoint {
                node: NodeId(index as u32),
                zone: node.zone,
                shard: node.shard,
                state: NodeState::Active,
                started_at: None,
            })
            .collect()
    }

    /// Updates a node by an entry of the list. Returns it as the scheduler takes it; none: the configuration
    /// lacks it.
    pub(super) fn update(&mut self, entry: &Endpoint, now: Tick) -> Option<NodeEndpoint> {
        let index = self.0.iter().position(|node| node.name == entry.name)?;
        let node = &mut self.0[index];
        node.run = present_run(node.run, entry, now);
        Some(NodeEndpoint {
            node: NodeId(index as u32),
            zone: node.zone,
            shard: node.shard,
            state: match entry.state {
                EndpointState::Active => NodeState::Active,
                EndpointState::Draining => NodeState::Draining,
                EndpointState::Removed => NodeState::Removed,
            },
            started_at: node.run.map(|run| run.began),
        })
    }
}

/// The present run of a node. `known`: its run as known before.
fn present_run(known: Option<Run>, entry: &Endpoint, now: Tick) -> Option<Run> {
    let generation = entry.generation?;
    let began = (now - entry.uptime_ms as Tick * TICKS_PER_MILLI).max(EARLIEST_START);
    // Updates take a while to arrive: of one run, the earliest start that was reported is the most accurate.
    // It never moves up, which would look like a restart.
    let same_run = known.filter(|run| run.generation == generation);
    Some(Run {
        generation,
        began: same_run.map_or(began, |run| run.began.min(began)),
    })
}
