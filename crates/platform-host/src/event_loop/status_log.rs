//! Writes the periodic log lines: the counters of the host and, for each node, the scheduler's estimates and the
//! counters of its connections.
use crate::dispatcher::Dispatcher;
use mallowseam_connection_policy::client_connection::Phase;
use mallowseam_scheduler::interface::{NodeId, NodeStatus, Tick};
use mallowseam_sockets::periodic_timer::PeriodicTimer;

/// Interval between two status logs, in ticks: 5 s.
const STATUS_INTERVAL: Tick = 50_000;

/// Timer of the periodic status log.
pub(super) struct StatusLog {
    timer: PeriodicTimer<Tick>,
}

impl StatusLog {
    /// Creates the timer; the first interval starts at `now`.
    pub(super) fn new(now: Tick) -> Self {
        StatusLog {
            timer: PeriodicTimer::new(STATUS_INTERVAL, now),
        }
    }

    /// Logs one line for the host and one for each node, if the interval has elapsed.
    pub(super) fn log_if_due(&mut self, dispatcher: &mut Dispatcher) {
        if !self.timer.take_due(dispatcher.now()) {
            return;
        }
        log_host(dispatcher);
        let nodes: Vec<NodeId> = dispatcher.nodes().ids().collect();
        for node in nodes {
            if let Some(status) = dispatcher.node_status(node) {
                log_node(dispatcher, node, &status);
            }
        }
    }
}

fn log_host(dispatcher: &mut Dispatcher) {
    let now = dispatcher.now();
    let keep_alive_ms = dispatcher.nodes_mut().keep_alive_ms(now);
    let clients = dispatcher.clients();
    let nodes = dispatcher.nodes();
    tracing::info!(
        clients = clients.len(),
        silent = clients.count_in_phase(Phase::AwaitingFirstRequest),
        idle = clients.count_in_phase(Phase::Idle),
        bytes = clients.bytes() + nodes.bytes(),
        connections = ?clients.counters(),
        closed = ?clients.closed(),
        ios = ?dispatcher.counters(),
        in_flight = dispatcher.in_flight(),
        node_connections = nodes.len(),
        keep_alive_ms,
        interned = ?dispatcher.interned(),
        executed_ids = dispatcher.executed(),
        "host status"
    );
}

fn log_node(dispatcher: &mut Dispatcher, node: NodeId, status: &NodeStatus) {
    let Some(counters) = dispatcher.nodes_mut().take_counters(node) else {
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
}
