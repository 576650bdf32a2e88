//! Writes the periodic log lines: the counters of the host, and for each node the scheduler's estimates next to the
//! counters of its connections.
use super::EventLoop;
use mallowseam_connection_policy::client_connection::Phase;
use mallowseam_scheduler::host::{NodeId, NodeView};

impl EventLoop {
    /// Logs one line for the host and one for each node.
    pub(super) fn log_status(&mut self) {
        self.log_host();
        let nodes: Vec<NodeId> = self.dispatcher.nodes.ids().collect();
        for node in nodes {
            if let Some(view) = self.scheduler.view(self.dispatcher.now, node) {
                self.log_node(node, &view);
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

    fn log_node(&mut self, node: NodeId, view: &NodeView) {
        let Some(counters) = self.dispatcher.nodes.counters_mut(node) else { return };
        tracing::info!(
            node = node.0,
            open = view.open,
            window = format!("{:.2}", view.window),
            in_flight = view.out,
            queued = view.held,
            latency_ms = format!("{:.1}", view.wait / 10.0),
            slowest_ms = counters.slowest / 10,
            failures = view.failures,
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
