//! The block I/Os in flight: carries out the scheduler's decisions and reports their results to it.
//!
//! - `scheduler_host`: what the scheduler acts on, and the calls that it makes on its host.
//! - `admission`: client requests become block I/Os.
//! - `attempts`: attempts at nodes, from the scheduler's decision to their report.
//! - `final_responses`: the one final response of each block I/O.
//! - `endpoints`: updates of the endpoint list.
//! - `block_io`, `event_times`, `counters`: a block I/O, the times of an event, the counters for the status log.
mod admission;
mod attempts;
mod block_io;
mod counters;
mod endpoints;
mod event_times;
mod final_responses;
mod scheduler_host;

use crate::clients::{ClientConnections, RequestStatus, SocketEvent};
use crate::nodes::{NodeConnections, NodeEvent};
use mallowseam_connection_policy::Millis;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{BioId, Host, NodeEndpoint, NodeId, NodeStatus, Plan, Tick};
use mallowseam_scheduler_driver::DrivenHost;
use mallowseam_sockets::clock::Clock;

pub use counters::IoCounters;
pub use scheduler_host::SchedulerHost;

#[cfg(test)]
mod tests;

/// The scheduler, with the host that carries out what it decides. Each method handles one kind of event.
pub struct Dispatcher {
    clock: Clock,
    scheduler: Scheduler,
    host: SchedulerHost,
    /// Reused from one update of the endpoint list to the next.
    endpoints: Vec<NodeEndpoint>,
}

impl Dispatcher {
    /// A dispatcher for a scheduler and its host, both of which are new.
    pub fn new(clock: Clock, scheduler: Scheduler, host: SchedulerHost) -> Self {
        Dispatcher {
            clock,
            scheduler,
            host,
            endpoints: Vec::new(),
        }
    }

    /// The time on the host's clock, which is later than that of the current event.
    pub fn clock_time(&self) -> Tick {
        self.clock.now()
    }

    /// A poll that began at this time has returned.
    pub fn on_poll_returned(&mut self, began: Tick) {
        self.host.times.poll_returned(began, self.clock.now());
    }

    /// The events of the poll that has just returned are handled from now on.
    pub fn begin_iteration(&mut self) {
        self.host.times.begin_iteration(self.clock.now());
    }

    /// Reads the clock for the next event.
    pub fn update_now(&mut self) {
        self.host.times.advance(self.clock.now());
    }

    /// The time of the current event.
    pub fn now(&self) -> Tick {
        self.host.times.now()
    }

    /// The time of the current event in milliseconds.
    pub fn now_ms(&self) -> Millis {
        self.host.times.now_ms()
    }

    /// Connections of clients.
    pub fn clients(&self) -> &ClientConnections {
        &self.host.clients
    }

    /// Connections of clients.
    pub fn clients_mut(&mut self) -> &mut ClientConnections {
        &mut self.host.clients
    }

    /// Connections to nodes.
    pub fn nodes(&self) -> &NodeConnections {
        &self.host.nodes
    }

    /// Connections to nodes.
    pub fn nodes_mut(&mut self) -> &mut NodeConnections {
        &mut self.host.nodes
    }

    /// The current settings.
    pub fn settings(&self) -> &PlatformSettings {
        &self.host.settings
    }

    /// The scheduler's estimates of a node, for the status log.
    pub fn node_status(&self, node: NodeId) -> Option<NodeStatus> {
        self.scheduler.node_status(self.now(), node)
    }

    /// Number of block I/Os in flight.
    pub fn in_flight(&self) -> usize {
        self.host.driver.in_flight().len()
    }

    /// The counters for the status log.
    pub fn counters(&self) -> IoCounters {
        self.host.counters
    }

    /// Number of interned nodes, volumes, keys and request ids.
    pub fn interned(&self) -> [usize; 4] {
        self.host.names.counts()
    }

    /// When the scheduler's timer is due.
    pub fn timer_due(&self) -> Option<Tick> {
        self.host.driver.timer_due()
    }

    /// Whether the scheduler has asked for a watch since the last call.
    pub fn take_watch_request(&mut self) -> bool {
        self.host.driver.take_endpoints_request()
    }

    /// Runs the scheduler for the first time. From then on it sets its timers itself, and requests the endpoint list.
    pub fn start(&mut self) {
        self.host.set_timer(0);
        self.fire_timer();
    }

    /// Fires the scheduler's timer if it is due.
    pub fn fire_timer(&mut self) {
        self.host.fire_timer(&mut self.scheduler);
        self.host.report_all(&mut self.scheduler);
    }

    /// Plans have these figures from now on.
    pub fn change_plans(&mut self, plans: &[Plan]) {
        self.scheduler.on_plans_changed(self.now(), plans, &[]);
        let current = &mut self.host.settings.scheduler.plans;
        current.clear();
        current.extend_from_slice(plans);
    }

    /// Handles an event on a client's connection.
    pub fn on_client_event(&mut self, slot: u32, event: SocketEvent) {
        let now = self.now_ms();
        if let Some(io) = self.host.clients.on_event(slot, event, now) {
            self.on_disconnected(io);
        }
    }

    /// The client of a block I/O in flight has disconnected.
    fn on_disconnected(&mut self, io: BioId) {
        let Some(client) = self.host.take_client(io) else {
            return;
        };
        self.host.withdraw_unsent(io);
        self.host.driver.queue_withdrawal(io);
        self.host.report_next(&mut self.scheduler);
        self.host.respond_disconnected(client);
        self.host.report_all(&mut self.scheduler);
    }

    /// Reads a client, and handles its request if that is complete. `is_ready`: an endpoint list is known.
    pub fn read_client(&mut self, slot: u32, scratch: &mut [u8], is_ready: bool) {
        let now = self.now_ms();
        if self.host.clients.read(slot, scratch, now) == RequestStatus::Complete {
            self.on_request(slot, is_ready);
        }
    }

    /// Handles a complete request.
    fn on_request(&mut self, slot: u32, is_ready: bool) {
        let Some(io) = self.host.admit_request(slot, is_ready) else {
            return;
        };
        let now = self.now();
        self.scheduler.on_arrival(&mut self.host, now, io);
        self.host.report_all(&mut self.scheduler);
    }

    /// Handles an event on a connection to a node. `is_closed`: the node has closed its side.
    pub fn on_node_event(&mut self, slot: u32, is_closed: bool, scratch: &mut [u8]) {
        match self.host.on_node_event(slot, is_closed, scratch) {
            None => {}
            Some(NodeEvent::Completed(completion)) => self.host.queue_completion(&completion),
            Some(NodeEvent::Success(success)) => self.host.forward_response(&success),
        }
        self.host.report_all(&mut self.scheduler);
    }

    /// Completes the attempts that have expired.
    pub fn expire_attempts(&mut self) {
        let now = self.now();
        while let Some(completion) = self.host.nodes.expire_attempt(now) {
            self.host.queue_completion(&completion);
            self.host.report_all(&mut self.scheduler);
        }
    }

    /// Applies the timeouts of the connections of clients, and of idle ones to nodes.
    pub fn check_connections(&mut self) {
        let now_ms = self.now_ms();
        let now = self.now();
        self.host.clients.check_timeouts(now_ms);
        self.host.nodes.close_expired_idle(now);
    }

    /// Sends the final responses of all block I/Os in flight: the host is about to be killed.
    pub fn respond_to_all(&mut self) {
        for io in self.host.driver.in_flight().ids() {
            if self.host.respond_early(io) {
                self.host.driver.queue_withdrawal(io);
                self.host.report_all(&mut self.scheduler);
            }
        }
    }
}
