//! What the scheduler shows for monitoring.
use crate::Scheduler;
use crate::interface::{NodeId, NodeStatus, Tick};

impl Scheduler {
    /// A node as this host sees it, for monitoring.
    #[must_use]
    pub fn node_status(&self, now: Tick, id: NodeId) -> Option<NodeStatus> {
        let node = self.nodes.get(id.0)?;
        Some(NodeStatus {
            active: node.active,
            in_flight: node.in_flight.len() as u32,
            queued: node.queue.len() as u32,
            concurrency_window: node.concurrency_window,
            mean_latency: node.mean_latency,
            cost_multiplier: node.cost_multiplier,
            consecutive_failures: node.consecutive_failures,
            warming_up: node.started_at > 0 && now < node.started_at + self.slow_start.duration,
        })
    }
}
