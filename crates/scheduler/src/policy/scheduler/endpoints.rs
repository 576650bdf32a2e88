//! Application of endpoint list updates.
use super::super::idempotency::Location;
use super::super::node::Node;
use super::Scheduler;
use crate::interface::{EndpointEvent, Host, NodeEndpoint, NodeState, Tick};

/// Ticks over which hosts spread their first attempts at a node that has started or restarted.
const RESTART_SPREAD: u64 = 3_000;

impl Scheduler {
    /// Applies the entries of an update. A node that is missing from a full list becomes inactive.
    pub(super) fn update_nodes(
        &mut self,
        now: Tick,
        event: EndpointEvent,
        endpoints: &[NodeEndpoint],
    ) {
        if event != EndpointEvent::Incremental {
            self.nodes.values_mut().for_each(Node::deactivate);
        }
        for endpoint in endpoints {
            self.update_node(now, event, endpoint);
        }
    }

    fn update_node(&mut self, now: Tick, event: EndpointEvent, endpoint: &NodeEndpoint) {
        let pause = self.rng.below(RESTART_SPREAD) as Tick;
        let shard_rate = self.usual_rate_of_shard(endpoint.shard);
        let is_new = self.nodes.get(endpoint.node).is_none();
        let limits = &self.node_limits;
        let make = || Node::new(limits);
        let node = self.nodes.get_or_insert_with(endpoint.node, make);
        node.raise_usual_rate(shard_rate);
        let location = Location {
            shard: endpoint.shard,
            zone: endpoint.zone,
        };
        node.set_endpoint(location, endpoint.state == NodeState::Active);
        if !is_new && !node.is_restarted(endpoint.started_at) {
            return;
        }
        node.restart(endpoint.started_at, limits);
        let from_cache = event == EndpointEvent::Cached;
        if !is_new || !from_cache {
            node.pause_until(now + pause);
        }
        if from_cache {
            // A host that has just started may have used its share before it was stopped.
            node.count_share_as_spent(now, &self.slow_start);
        }
    }

    /// Returns the highest usual rate at which this host sends to any node of a shard, or 0 if the shard has no node.
    fn usual_rate_of_shard(&self, shard: u32) -> f64 {
        let nodes = self.nodes.iter();
        let of_shard = nodes.filter(|(_, node)| node.location().shard == shard);
        let rates = of_shard.map(|(_, node)| node.usual_rate());
        rates.fold(0.0, f64::max)
    }

    /// Moves the block I/Os that are queued for inactive nodes to other nodes, or answers them if there is none.
    pub(super) fn requeue_from_inactive_nodes(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.nodes.indices() {
            let node = self.nodes.get_mut(id);
            let Some(node) = node.filter(|node| !node.is_active()) else {
                continue;
            };
            for bio in node.queue_mut().take_all() {
                self.enqueue_or_give_up(host, now, bio);
            }
        }
    }
}
