//! The configured nodes, and the current run of each node's process as far as this host knows it.
#[cfg(test)]
mod tests;

use mallowseam_endpoint_list::{Endpoint, EndpointState};
use mallowseam_scheduler::interface::{NodeEndpoint, NodeId, NodeState, Tick};
use mallowseam_settings::config;
use std::num::NonZeroU64;

/// Ticks in a millisecond.
const TICKS_PER_MILLI: Tick = 10;
/// Earliest start of a run that the host's clock can express, in ticks.
const EARLIEST_START: Tick = 1;

/// A run of a node's process.
#[derive(Clone, Copy)]
struct Run {
    /// Identifies the run among the runs of the node.
    generation: NonZeroU64,
    /// Start of the run, by this host's clock.
    started_at: Tick,
}

/// A configured node.
struct KnownNode {
    name: String,
    zone: u32,
    shard: u32,
    /// Current run; `None` if it started long ago, or no update has named the node yet.
    run: Option<Run>,
}

/// All configured nodes, by index.
pub(super) struct KnownNodes(Vec<KnownNode>);

impl KnownNodes {
    /// Creates the table of configured nodes. Zones are numbered in the order in which nodes first name them.
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

    /// Returns all nodes in the form that the scheduler takes, as active and started long ago.
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

    /// Updates a node from an entry of the endpoint list. Returns the node in the form that the scheduler
    /// takes, or `None` if the configuration lacks the node.
    pub(super) fn update(&mut self, entry: &Endpoint, now: Tick) -> Option<NodeEndpoint> {
        let index = self.0.iter().position(|node| node.name == entry.name)?;
        let node = &mut self.0[index];
        node.run = current_run(node.run, entry, now);
        Some(NodeEndpoint {
            node: NodeId(index as u32),
            zone: node.zone,
            shard: node.shard,
            state: match entry.state {
                EndpointState::Active => NodeState::Active,
                EndpointState::Draining => NodeState::Draining,
                EndpointState::Removed => NodeState::Removed,
            },
            started_at: node.run.map(|run| run.started_at),
        })
    }
}

/// Returns the current run of a node according to an entry. `known`: the run that was known before.
fn current_run(known: Option<Run>, entry: &Endpoint, now: Tick) -> Option<Run> {
    let generation = entry.generation?;
    let started_at = (now - entry.uptime_ms as Tick * TICKS_PER_MILLI).max(EARLIEST_START);
    // Delayed updates make a run appear to start later, so the earliest reported start is the most accurate.
    // The start of a run never moves forward, which would look like a restart.
    let same_run = known.filter(|run| run.generation == generation);
    Some(Run {
        generation,
        started_at: same_run.map_or(started_at, |run| run.started_at.min(started_at)),
    })
}
