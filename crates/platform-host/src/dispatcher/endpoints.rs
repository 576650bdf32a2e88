//! Updates of the endpoint list.
use super::Dispatcher;
use mallowseam_platform::endpoints::{Health, WatchEvent};
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{EndpointEvent, NodeId, NodeState};
use mallowseam_scheduler_driver::DrivenHost;

impl Dispatcher {
    /// Applies an update of the endpoint list.
    pub fn on_endpoints(
        &mut self,
        scheduler: &mut Scheduler,
        event: EndpointEvent,
        update: &WatchEvent,
    ) {
        let mut endpoints = std::mem::take(&mut self.endpoints);
        self.names
            .intern_endpoints(update, &self.settings, &mut endpoints);
        for entry in &update.endpoints {
            let accepts_attempts = entry.health == Health::Ready;
            if let Some(node) = self.names.find_node(&entry.name) {
                self.nodes
                    .update_endpoint(node, entry.address, accepts_attempts);
            }
        }
        // An attempt that still waits for its connection is withdrawn when its node begins to drain.
        let is_snapshot = event != EndpointEvent::Incremental;
        let is_closed = |node: &NodeId| {
            let listed = endpoints.iter().find(|endpoint| endpoint.node == *node);
            listed.map_or(is_snapshot, |endpoint| endpoint.state != NodeState::Active)
        };
        let closed: Vec<NodeId> = self.nodes.ids().filter(is_closed).collect();
        for node in closed {
            for completion in self.nodes.withdraw_unconnected(node) {
                self.queue_completion(&completion);
            }
        }
        let now = self.now;
        scheduler.on_endpoints(self, now, event, &endpoints);
        self.endpoints = endpoints;
        self.report_all(scheduler);
    }

    /// The watch has failed, or is silent, as `event` says.
    pub fn on_watch_lost(&mut self, scheduler: &mut Scheduler, event: EndpointEvent) {
        let now = self.now;
        scheduler.on_endpoints(self, now, event, &[]);
        self.report_all(scheduler);
    }

    /// A reloaded configuration has another discovery service.
    pub fn on_discovery_moved(&mut self, scheduler: &mut Scheduler) {
        let now = self.now;
        scheduler.on_discovery_moved(self, now);
        self.report_all(scheduler);
    }
}
