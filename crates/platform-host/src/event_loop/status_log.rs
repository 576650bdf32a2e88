//! Writes the periodic log lines: the counters of the host, and for each node the scheduler's estimates next to the
//! counters of its connections.
use super::EventLoop;
use mallowseam_connection_policy::client_connection::Phase;
use mallowseam_scheduler::interface::{NodeId, NodeStatus};

impl EventLoop {
    /// Logs one line for the host and one for each node.
    pub(super) fn log_status(&mut self) {
        self.log_host();
        let nodes: Vec<NodeId> = self.dispatcher.nodes.ids().collect();
        for node in nodes {
            if let Some(status) = self.scheduler.node_status(self.dispatcher.now, node) {
                self.log_node(node, &status);
            }
        }
    }

    fn log_host(&mut self) {
        let dispatcher = &mut self.dispatcher;
        let keep_alive_ms = dispatcher.nodes.keep_alive_ms(dispatcher.now);
        let clients = &dispatcher.clients;
        tracing::info!(
            clients = clients.len(),
            silent = clients.count_in_state(Phase::AwaitingFirstRequest),
            idle = clients.count_in_state(Phase::Idle),
            bytes = clients.bytes() + dispatcher.nodes.bytes(),
            connections = ?clients.counters(),
            ios = ?dispatcher.counters(),
            in_flight = dispatcher.in_flight(),
            node_connections = dispatcher.nodes.len(),
            keep_alive_ms,
            interned = ?dispatcher.interned(),
            "host status"
        );
    }

    fn log_node(&mut self, node: NodeId, status: &NodeStatus) {
        let Some(counters) = self.dispatcher.nodes.counters_mut(node) else {
            return;
        };
        tracing::info!(
            node = node.0,
            active = status.active,
            concurrency_window = format!("{:.2}", status.concurrency_window),
            in_flight = status.in_flight,
            queued = status.queued,
            mean_latency_ms = format!("{:.1}", status.mean_latency / 10.0),
            slowest_ms = counters.slowest / 10,
            consecutive_failures = status.consecutive_failures,
            connections = counters.connections,
            attempts = counters.attempts,
            connections_opened = counters.connections_opened,
            requests_written = counters.requests_written,
            responses = counters.responses,
            corrupt_responses = counters.corrupt_responses,
            "node status"
        );
        counters.slowest = 0;
    }
}
