//! Dispatcher of the block I/Os in flight: carries out the scheduler's decisions and reports their results to it.
//!
//! - `scheduler_host`: state that the scheduler acts on, and the calls that it makes on its host.
//! - `admission`: turns client requests into block I/Os.
//! - `attempts`: attempts at nodes, from the scheduler's decision to the report of their completion.
//! - `final_responses`: sends the one final response of each block I/O.
//! - `endpoints`: applies updates of the endpoint list.
//! - `block_io`, `event_times`, `counters`: a block I/O, the times of the current event, the counters for the status
//!   log.
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

/// The scheduler, with the host that carries out its decisions. Each method handles one kind of event.
pub struct Dispatcher {
    clock: Clock,
    scheduler: Scheduler,
    host: SchedulerHost,
    /// Buffer for the nodes of an endpoint list update, reused from one update to the next.
    endpoints: Vec<NodeEndpoint>,
}

impl Dispatcher {
    /// Creates a dispatcher for a new scheduler and its new host.
    pub fn new(clock: Clock, scheduler: Scheduler, host: SchedulerHost) -> Self {
        Dispatcher {
            clock,
            scheduler,
            host,
            endpoints: Vec::new(),
        }
    }

    /// Returns the time on the host's clock, which is not earlier than the time of the current event.
    pub fn clock_time(&self) -> Tick {
        self.clock.now()
    }

    /// Records that a poll that began at the time `began` has returned.
    pub fn on_poll_returned(&mut self, began: Tick) {
        self.host.times.poll_returned(began, self.clock.now());
    }

    /// Begins handling the events of the poll that has just returned.
    pub fn begin_iteration(&mut self) {
        self.host.times.begin_iteration(self.clock.now());
    }

    /// Sets the time of the current event to the clock's time, for the next event.
    pub fn update_now(&mut self) {
        self.host.times.advance(self.clock.now());
    }

    /// Returns the time of the current event.
    pub fn now(&self) -> Tick {
        self.host.times.now()
    }

    /// Returns the time of the current event, in milliseconds.
    pub fn now_ms(&self) -> Millis {
        self.host.times.now_ms()
    }

    /// Returns the connections of clients.
    pub fn clients(&self) -> &ClientConnections {
        &self.host.clients
    }

    /// Returns the connections of clients, to be changed.
    pub fn clients_mut(&mut self) -> &mut ClientConnections {
        &mut self.host.clients
    }

    /// Returns the connections to nodes.
    pub fn nodes(&self) -> &NodeConnections {
        &self.host.nodes
    }

    /// Returns the connections to nodes, to be changed.
    pub fn nodes_mut(&mut self) -> &mut NodeConnections {
        &mut self.host.nodes
    }

    /// Returns the current settings, with the plans' figures of the last reload.
    pub fn settings(&self) -> &PlatformSettings {
        &self.host.settings
    }

    /// Returns the scheduler's estimates of a node, for the status log.
    pub fn node_status(&self, node: NodeId) -> Option<NodeStatus> {
        self.scheduler.node_status(self.now(), node)
    }

    /// Returns the number of block I/Os in flight.
    pub fn in_flight(&self) -> usize {
        self.host.driver.in_flight().len()
    }

    /// Returns the counters of block I/Os for the status log.
    pub fn counters(&self) -> IoCounters {
        self.host.counters
    }

    /// Returns the number of ids of side-effecting requests that are remembered, for the status log.
    pub fn executed(&self) -> usize {
        self.host.executed.len()
    }

    /// Returns the numbers of interned nodes, volumes, keys and request ids, in this order.
    pub fn interned(&self) -> [usize; 4] {
        self.host.names.counts()
    }

    /// Returns the time at which the scheduler's timer is due, or `None` if it is not set.
    pub fn timer_due(&self) -> Option<Tick> {
        self.host.driver.timer_due()
    }

    /// Returns whether the scheduler has requested a watch on the endpoint list since the last call.
    pub fn take_watch_request(&mut self) -> bool {
        self.host.driver.take_endpoints_request()
    }

    /// Runs the scheduler for the first time. From then on it sets its own timers, and requests the endpoint list.
    pub fn start(&mut self) {
        self.host.set_timer(0);
        self.fire_timer();
    }

    /// Fires the scheduler's timer if it is due.
    pub fn fire_timer(&mut self) {
        self.host.fire_timer(&mut self.scheduler);
        self.host.report_all(&mut self.scheduler);
    }

    /// Replaces the figures of all plans, in the scheduler and in the settings.
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

    /// Withdraws a block I/O in flight whose client has disconnected.
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

    /// Reads a client, and handles its request if it is complete. `is_ready`: an endpoint is known.
    pub fn read_client(&mut self, slot: u32, scratch: &mut [u8], is_ready: bool) {
        let now = self.now_ms();
        if self.host.clients.read(slot, scratch, now) == RequestStatus::Complete {
            self.on_request(slot, is_ready);
        }
    }

    /// Handles the complete request of a client.
    fn on_request(&mut self, slot: u32, is_ready: bool) {
        let retry_after = self.scheduler.shed_retry_after();
        let Some(io) = self.host.admit_request(slot, is_ready, retry_after) else {
            return;
        };
        let now = self.now();
        self.scheduler.on_arrival(&mut self.host, now, io);
        self.host.report_all(&mut self.scheduler);
    }

    /// Handles an event on a connection to a node. `is_closed`: the node has closed its side, or the connection has
    /// failed.
    pub fn on_node_event(&mut self, slot: u32, is_closed: bool, scratch: &mut [u8]) {
        match self.host.on_node_event(slot, is_closed, scratch) {
            None => {}
            Some(NodeEvent::Completed(completion)) => self.host.queue_completion(&completion),
            Some(NodeEvent::Success(success)) => self.host.forward_response(&success),
        }
        self.host.report_all(&mut self.scheduler);
    }

    /// Completes the attempts that have expired, and reports them to the scheduler.
    pub fn expire_attempts(&mut self) {
        let now = self.now();
        while let Some(completion) = self.host.nodes.expire_attempt(now) {
            self.host.queue_completion(&completion);
            self.host.report_all(&mut self.scheduler);
        }
    }

    /// Applies the timeouts of client connections, and of idle connections to nodes.
    pub fn check_connections(&mut self) {
        let now_ms = self.now_ms();
        let now = self.now();
        self.host.clients.check_timeouts(now_ms);
        self.host.executed.forget_old(now_ms);
        self.host.nodes.close_expired_idle(now);
    }

    /// Sends the final responses of all block I/Os in flight, before the host is killed.
    pub fn respond_to_all(&mut self) {
        for io in self.host.driver.in_flight().ids() {
            if self.host.respond_early(io) {
                self.host.driver.queue_withdrawal(io);
                self.host.report_all(&mut self.scheduler);
            }
        }
    }
}
