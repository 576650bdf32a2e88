//! The endpoint list as it comes in, and nodes that are forgotten.
use super::allocation::MIN_EXTRA_IOS;
use crate::interface::{EndpointEvent, Host, NodeEndpoint, NodeId, NodeState, Tick};
use crate::state::{Node, Scheduler};

const RETURN_SPREAD: u64 = 3_000; // ticks over which hosts spread their first attempts at a node that is back
const FORGET_NODE: Tick = 600_000; // ticks of inactivity after which a node is forgotten: past any outage

impl Scheduler {
    /// The endpoint list was received, or could not be.
    pub fn on_endpoints(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        event: EndpointEvent,
        endpoints: &[NodeEndpoint],
    ) {
        if matches!(
            event,
            EndpointEvent::PollFailed | EndpointEvent::WatchSilent
        ) {
            self.polling.on_failure(now, event, &self.rng);
            return self.arm_timer(host, now);
        }
        if event != EndpointEvent::Cached {
            self.polling.on_success();
        }
        if event != EndpointEvent::Incremental {
            self.nodes.values_mut().for_each(|node| node.active = false);
        }
        endpoints
            .iter()
            .for_each(|endpoint| self.update_node(now, event, endpoint));
        // Nothing new goes to an inactive node: what was queued for it moves on or gets its answer.
        for id in self.nodes.indices() {
            let Some(node) = self.nodes.get_mut(id).filter(|node| !node.active) else {
                continue;
            };
            for bio in std::mem::take(&mut node.queue) {
                self.place(host, now, bio);
            }
        }
        self.dispatch_all(host, now);
        self.arm_timer(host, now);
    }

    /// Another discovery service serves the endpoint list from now on; all hosts learn it at about one time.
    pub fn on_discovery_moved(&mut self, host: &mut dyn Host, now: Tick) {
        self.polling.on_moved(now, &self.rng);
        self.arm_timer(host, now);
    }

    fn update_node(&mut self, now: Tick, event: EndpointEvent, endpoint: &NodeEndpoint) {
        let spread = self.rng.below(RETURN_SPREAD) as Tick;
        // A node that replaces another holds its shard, and what this host sends there goes on.
        let of_shard = self
            .nodes
            .iter()
            .filter(|(_, node)| node.shard == endpoint.shard);
        let shard_rate = of_shard
            .map(|(_, node)| node.usual_rate)
            .fold(0.0, f64::max);
        let is_new = self.nodes.get(endpoint.node.0).is_none();
        let node = self
            .nodes
            .get_or_insert_with(endpoint.node.0, Node::default);
        node.usual_rate = node.usual_rate.max(shard_rate);
        (node.shard, node.zone) = (endpoint.shard, endpoint.zone);
        node.active = endpoint.state == NodeState::Active;
        if !is_new && endpoint.started_at <= node.started_at {
            return;
        }
        node.started_at = endpoint.started_at;
        (node.concurrency_window, node.cost_multiplier) = (self.initial_window, 1.0);
        node.extra_budget = node.extra_budget.max(MIN_EXTRA_IOS * self.mean_io_units);
        if !is_new || event != EndpointEvent::Cached {
            node.paused_until = now + spread;
        }
        if endpoint.started_at > 0 && event == EndpointEvent::Cached {
            // A host that has itself just started may have spent its share here before it died.
            node.slow_start_units.add(now, self.slow_start.even_share);
        }
    }

    /// Forgets nodes that were removed long ago.
    pub(super) fn forget_nodes(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.nodes.indices() {
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            node.inactive_since = if node.active {
                None
            } else {
                node.inactive_since.or(Some(now))
            };
            let unused = node.in_flight.is_empty() && node.queue.is_empty();
            if unused
                && node
                    .inactive_since
                    .is_some_and(|since| now - since > FORGET_NODE)
            {
                self.nodes.remove(id);
                host.release_node(NodeId(id));
            }
        }
    }
}
