//! A node as a model: it serves at a set speed, charges for new connections and accepts few of them, is cold after a
//! start, and collapses when the load within a time span exceeds what a cold node sustains.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;
use std::collections::VecDeque;

/// Limits of a node beside its speed.
#[derive(Clone, Copy, Debug)]
pub struct NodeLimits {
    /// Connections that it serves; requests on further ones are rejected.
    pub max_connections: usize,
    /// Work of a new connection's first request, in microseconds.
    pub handshake: Micros,
    /// Microseconds for which a collapsed node is down.
    pub restart_after: Micros,
}

/// A request at a node; `C` identifies its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeRequest<C> {
    /// The connection that it came on.
    pub connection: C,
    /// The operation.
    pub operation: u64,
    /// Its size.
    pub units: f64,
    /// It is the first request on its connection.
    pub first_on_connection: bool,
    /// Its connection was above the node's limit when it was opened.
    pub over_limit: bool,
}

/// What becomes of a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It will be executed.
    Queued,
    /// It is rejected and not executed.
    Rejected,
    /// The node collapses under it, and all connections are lost.
    Collapsed,
}

/// The state of one node.
pub struct SimulatedNode<C> {
    model: ServiceModel,
    limits: NodeLimits,
    /// Factor by which it is slower than usual.
    pub slowdown: f64,
    /// When it was started; none: long ago.
    started_at: Option<Micros>,
    /// When its downtime ends.
    down_until: Option<Micros>,
    /// Open connections.
    pub connections: usize,
    queue: VecDeque<NodeRequest<C>>,
    /// Requests being executed, and when each is completed.
    running: Vec<(Micros, NodeRequest<C>)>,
    /// Arrival times and sizes of requests within the model's collapse span.
    recent: VecDeque<(Micros, f64)>,
    /// Collapses so far.
    pub collapses: u64,
    /// The highest load within a collapse span while cold, as a fraction of what the node sustained.
    pub peak_cold_load: f64,
}

impl<C: Copy + PartialEq> SimulatedNode<C> {
    /// A node that was started long ago.
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

    /// Whether it is not in a downtime.
    pub fn is_up(&self, now: Micros) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }

    /// Starts or restarts it: cold, without connections and requests.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.down_until = None;
        self.connections = 0;
        self.queue.clear();
        self.running.clear();
        self.recent.clear();
    }

    /// Stops it until it is started.
    pub fn stop(&mut self) {
        self.start(0);
        self.down_until = Some(Micros::MAX);
    }

    fn age(&self, now: Micros) -> Micros {
        self.started_at
            .map_or(Micros::MAX / 2, |started_at| now.saturating_sub(started_at))
    }

    /// Its speed as a fraction of a warm node's.
    pub fn speed_fraction(&self, now: Micros) -> f64 {
        self.model.speed_fraction(self.age(now))
    }

    /// A connection was opened. Returns whether it is above the limit.
    pub fn connection_opened(&mut self) -> bool {
        self.connections += 1;
        self.connections > self.limits.max_connections
    }

    /// A whole request has arrived.
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

    /// Adds a request to the recent load, and tells whether a cold node collapses under it.
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

    /// When the next request is completed.
    pub fn next_due(&self) -> Option<Micros> {
        self.running.iter().map(|(due, _)| *due).min()
    }

    /// Takes the next request that is completed by now, and starts queued ones in its place.
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

    /// A connection was closed: its queued requests are not executed.
    pub fn connection_closed(&mut self, connection: C) {
        self.queue
            .retain(|request| request.connection != connection);
    }
}
