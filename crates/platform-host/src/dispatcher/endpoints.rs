//! Applies updates of the endpoint list to the connections and the scheduler.
use super::Dispatcher;
use super::scheduler_host::SchedulerHost;
use mallowseam_platform::endpoints::{Health, WatchEvent};
use mallowseam_scheduler::interface::{EndpointEvent, NodeEndpoint, NodeId, NodeState};
use mallowseam_scheduler_driver::DrivenHost;

impl Dispatcher {
    /// Applies an update of the endpoint list, and reports it to the scheduler.
    pub fn on_endpoints(&mut self, event: EndpointEvent, update: &WatchEvent) {
        let mut endpoints = std::mem::take(&mut self.endpoints);
        self.host.update_endpoints(update, &mut endpoints);
        let is_snapshot = event != EndpointEvent::Incremental;
        self.host.withdraw_unconnected(&endpoints, is_snapshot);
        let now = self.now();
        self.scheduler
            .on_endpoints(&mut self.host, now, event, &endpoints);
        self.endpoints = endpoints;
        self.host.report_all(&mut self.scheduler);
    }

    /// Reports to the scheduler that the watch has failed or is silent, as `event` says.
    pub fn on_watch_lost(&mut self, event: EndpointEvent) {
        let now = self.now();
        self.scheduler.on_endpoints(&mut self.host, now, event, &[]);
        self.host.report_all(&mut self.scheduler);
    }

    /// Reports to the scheduler that a reloaded configuration has another discovery service.
    pub fn on_discovery_moved(&mut self) {
        let now = self.now();
        self.scheduler.on_discovery_moved(&mut self.host, now);
        self.host.report_all(&mut self.scheduler);
    }
}

impl SchedulerHost {
    /// Applies an update to the connections, and writes its nodes in the scheduler's form to `endpoints`.
    fn update_endpoints(&mut self, update: &WatchEvent, endpoints: &mut Vec<NodeEndpoint>) {
        self.names
            .intern_endpoints(update, &self.settings, endpoints);
        for entry in &update.endpoints {
            let accepts_attempts = entry.health == Health::Ready;
            if let Some(node) = self.names.find_node(&entry.name) {
                self.nodes
                    .update_endpoint(node, entry.address, accepts_attempts);
            }
        }
    }

    /// Withdraws the attempts that still wait for a connection to a node that is draining or removed. `is_snapshot`:
    /// nodes missing from `endpoints` were removed.
    fn withdraw_unconnected(&mut self, endpoints: &[NodeEndpoint], is_snapshot: bool) {
        let known: Vec<NodeId> = self.nodes.ids().collect();
        for node in known {
            let listed = endpoints.iter().find(|endpoint| endpoint.node == node);
            let is_closed =
                listed.map_or(is_snapshot, |endpoint| endpoint.state != NodeState::Active);
            if !is_closed {
                continue;
            }
            for completion in self.nodes.withdraw_unconnected(node) {
                self.queue_completion(&completion);
            }
        }
    }
}
