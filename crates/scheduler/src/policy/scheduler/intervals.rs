//! The start of an allocation interval.
use super::Scheduler;
use crate::interface::{Host, NodeId, Tick};

impl Scheduler {
    /// Removes expired state, then grants the allocations of each node and sends block I/Os accordingly.
    pub(super) fn start_allocation_interval(&mut self, host: &mut dyn Host, now: Tick) {
        self.slow_start.warm_demand_mut().decay();
        self.shed_history.forget_expired(now);
        self.forget_nodes(host, now);
        self.forget_volumes(host, now);
        self.ordering_keys.end_cooldowns(host, now);
        for id in self.nodes.indices() {
            if self.nodes.get(id).is_some() {
                self.start_interval_of_node(now, id);
                self.dispatch(host, now, id);
            }
        }
    }

    /// Forgets nodes that have been inactive for a long time.
    fn forget_nodes(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.nodes.indices() {
            let node = self.nodes.get_mut(id);
            if node.is_some_and(|node| node.is_forgettable(now)) {
                self.nodes.remove(id);
                host.release_node(id);
            }
        }
    }

    /// Forgets volumes that have not been used for a long time, with their allocations at all nodes.
    fn forget_volumes(&mut self, host: &mut dyn Host, now: Tick) {
        let nodes = &mut self.nodes;
        self.rate_limiter.end_interval(host, now, |volume| {
            for node in nodes.values_mut() {
                node.budget_mut().close_allocation(volume);
            }
        });
    }

    /// Ends the previous interval of a node and grants its allocations for the new one.
    fn start_interval_of_node(&mut self, now: Tick, id: NodeId) {
        let host_age = now - self.started_at;
        let limits = &self.node_limits;
        let node = &mut self.nodes[id];
        node.end_interval(now, limits, &self.fleet_latency, &self.slow_start, host_age);
        let requests = &self.requests;
        let limiter = &self.rate_limiter;
        node.start_interval(
            limits,
            |queued| {
                let bio = requests[queued].bio();
                (bio.volume, bio.units)
            },
            |volume| limiter.entitlement(volume),
        );
    }
}
