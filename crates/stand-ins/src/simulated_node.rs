//! Model of a node. It serves requests at a configured speed, spends work on new connections and limits their number,
//! is cold after a start, and collapses when the load within a window exceeds what a cold node sustains.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;
use std::collections::VecDeque;

/// Limits of a node beyond its service model.
#[derive(Clone, Copy, Debug)]
pub struct NodeLimits {
    /// Maximum number of connections that are served; requests on further ones are rejected.
    pub max_connections: usize,
    /// Additional work of the first request on a connection, in microseconds.
    pub handshake: Micros,
    /// Downtime of a collapsed node, in microseconds.
    pub restart_after: Micros,
}

/// Request at a node; `C` identifies its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeRequest<C> {
    /// Connection that the request arrived on.
    pub connection: C,
    /// Identifier of the operation.
    pub operation: u64,
    /// Size of the request, in units.
    pub units: f64,
    /// Whether the request is the first one on its connection.
    pub first_on_connection: bool,
    /// Whether the connection exceeded the node's limit when it was opened.
    pub over_limit: bool,
}

/// Outcome of the arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request will be executed.
    Queued,
    /// The request is rejected and not executed.
    Rejected,
    /// The request makes the node collapse, and all connections are lost.
    Collapsed,
}

/// State of one node.
pub struct SimulatedNode<C> {
    model: ServiceModel,
    limits: NodeLimits,
    /// Factor by which the node is slower than usual.
    pub slowdown: f64,
    /// When the node was started; none if its slow start ended before the run.
    started_at: Option<Micros>,
    /// When the downtime of the node ends.
    down_until: Option<Micros>,
    /// Number of open connections.
    pub connections: usize,
    queue: VecDeque<NodeRequest<C>>,
    /// Requests being executed, each with the time at which it is completed.
    running: Vec<(Micros, NodeRequest<C>)>,
    /// Arrival times and units of the requests within the overload window.
    recent: VecDeque<(Micros, f64)>,
    /// Number of collapses so far.
    pub collapses: u64,
    /// Highest load within an overload window while cold, as a fraction of the load that the node sustained.
    pub peak_cold_load: f64,
}

impl<C: Copy + PartialEq> SimulatedNode<C> {
    /// Creates a warm node without connections and requests.
    pub fn new(model: ServiceModel, limits: NodeLimits) -> Self {
        SimulatedNode {
            model,
            limits,
            slowdown: 1.0,
            started_at: None,
            down_until: None,
            connections: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            recent: VecDeque::new(),
            collapses: 0,
            peak_cold_load: 0.0,
        }
    }

    /// Returns whether the node is not in a downtime.
    pub fn is_up(&self, now: Micros) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }

    /// Starts or restarts the node: cold, without connections and requests.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.down_until = None;
        self.connections = 0;
        self.queue.clear();
        self.running.clear();
        self.recent.clear();
    }

    /// Stops the node until it is started.
    pub fn stop(&mut self) {
        self.start(0);
        self.down_until = Some(Micros::MAX);
    }

    fn age(&self, now: Micros) -> Micros {
        self.started_at
            .map_or(Micros::MAX / 2, |started_at| now.saturating_sub(started_at))
    }

    /// Returns the speed of the node as a fraction of a warm node's speed.
    pub fn speed_fraction(&self, now: Micros) -> f64 {
        self.model.speed_fraction(self.age(now))
    }

    /// Counts a connection that was opened. Returns whether it exceeds the limit.
    pub fn connection_opened(&mut self) -> bool {
        self.connections += 1;
        self.connections > self.limits.max_connections
    }

    /// Handles the arrival of a complete request.
    pub fn receive(&mut self, now: Micros, request: NodeRequest<C>) -> Arrival {
        if self.collapses_under(now, request.units) {
            self.collapses += 1;
            self.start(now);
            self.down_until = Some(now + self.limits.restart_after);
            return Arrival::Collapsed;
        }
        if request.over_limit || self.queue.len() >= self.model.queue {
            return Arrival::Rejected;
        }
        self.queue.push_back(request);
        self.start_queued(now);
        Arrival::Queued
    }

    /// Adds a request to the recent load. Returns whether a cold node collapses under it.
    fn collapses_under(&mut self, now: Micros, units: f64) -> bool {
        let age = self.age(now);
        if age > self.model.warm_up || self.model.overload_window == 0 {
            return false;
        }
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| at + self.model.overload_window < now)
        {
            self.recent.pop_front();
        }
        self.recent.push_back((now, units));
        let load: f64 = self.recent.iter().map(|(_, units)| units).sum();
        let sustained = self.model.overload_units(age);
        self.peak_cold_load = self.peak_cold_load.max(load / sustained);
        load > sustained
    }

    fn start_queued(&mut self, now: Micros) {
        while self.running.len() < self.model.cores {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            let work = request.units * self.model.unit_work * self.slowdown;
            let handshake = if request.first_on_connection {
                self.limits.handshake
            } else {
                0
            };
            let duration = (work + handshake as f64) / self.speed_fraction(now);
            self.running.push((now + duration as Micros, request));
        }
    }

    /// Returns when the next request is completed.
    pub fn next_due(&self) -> Option<Micros> {
        self.running.iter().map(|(due, _)| *due).min()
    }

    /// Removes and returns the next request that is completed by now, and starts queued ones on the free core.
    pub fn complete_next(&mut self, now: Micros) -> Option<NodeRequest<C>> {
        let index = (0..self.running.len()).min_by_key(|i| self.running[*i].0)?;
        let completed_at = self.running[index].0;
        if completed_at > now {
            return None;
        }
        let (_, request) = self.running.swap_remove(index);
        self.start_queued(completed_at);
        Some(request)
    }

    /// Removes the queued requests of a connection that was closed; they are not executed.
    pub fn connection_closed(&mut self, connection: C) {
        self.queue
            .retain(|request| request.connection != connection);
    }
}
