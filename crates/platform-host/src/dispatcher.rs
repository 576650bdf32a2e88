//! The block I/Os in flight: carries out the scheduler's decisions and reports their results to it.
//!
//! - `block_io`: a client's block I/O.
//! - `admission`: client requests become block I/Os; clients disconnect.
//! - `completions`: forwards good responses to clients, reports completed attempts to the scheduler.
//! - `endpoints`: applies updates of the endpoint list.
//! - `scheduler_host`: the calls that the scheduler makes on its host.
mod admission;
mod block_io;
mod completions;
mod endpoints;
mod scheduler_host;

use crate::clients::{ClientConnections, Response};
use crate::nodes::NodeConnections;
use block_io::{BlockIo, NodeSlot};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection;
use mallowseam_platform::interner::NameInterner;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{BioId, NodeEndpoint, Tick};
use mallowseam_scheduler_driver::{DrivenHost, SchedulerDriver};
use mallowseam_sockets::clock::ticks_to_millis;

#[cfg(test)]
mod tests;

/// Block I/Os by outcome, counted for the status log.
#[derive(Clone, Copy, Debug, Default)]
pub struct IoCounters {
    /// Block I/Os passed to the scheduler.
    pub admitted: u64,
    /// Completed with a node's good response.
    pub completed: u64,
    /// Shed.
    pub shed: u64,
    /// Failed.
    pub failed: u64,
    /// Those whose client disconnected first.
    pub disconnected: u64,
    /// Attempts that were not sent.
    pub unsent_attempts: u64,
    /// Readiness checks.
    pub readiness_checks: u64,
}

/// The block I/Os in flight, with the connections that carry them.
pub struct Dispatcher {
    /// The time of the current event.
    pub now: Tick,
    /// When the events of this iteration arrived at their sockets.
    pub events_arrived_at: Tick,
    /// When the poll returned.
    pub polled_at: Tick,
    /// The current settings.
    pub settings: PlatformSettings,
    /// Connections of clients.
    pub clients: ClientConnections,
    /// Connections to nodes.
    pub nodes: NodeConnections,
    names: NameInterner,
    counters: IoCounters,
    /// The block I/Os in flight, and what the scheduler is to be told of them.
    driver: SchedulerDriver<BlockIo, NodeSlot>,
    /// Reused from one update of the endpoint list to the next.
    endpoints: Vec<NodeEndpoint>,
}

impl Dispatcher {
    /// A dispatcher with nothing in flight.
    pub fn new(
        now: Tick,
        settings: PlatformSettings,
        clients: ClientConnections,
        nodes: NodeConnections,
    ) -> Self {
        Dispatcher {
            now,
            events_arrived_at: now,
            polled_at: now,
            settings,
            clients,
            nodes,
            names: NameInterner::default(),
            counters: IoCounters::default(),
            driver: SchedulerDriver::default(),
            endpoints: Vec::new(),
        }
    }

    /// The time of the current event in milliseconds.
    pub fn now_ms(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    /// Number of block I/Os in flight.
    pub fn in_flight(&self) -> usize {
        self.driver.in_flight().len()
    }

    /// The counters for the status log.
    pub fn counters(&self) -> IoCounters {
        self.counters
    }

    /// Number of interned nodes, volumes, keys and request ids.
    pub fn interned(&self) -> [usize; 4] {
        self.names.counts()
    }

    /// When the scheduler's timer fires.
    pub fn timer(&self) -> Option<Tick> {
        self.driver.timer_due()
    }

    /// Whether the scheduler has asked for a watch since the last call.
    pub fn take_watch_request(&mut self) -> bool {
        self.driver.take_endpoints_request()
    }

    /// Fires the scheduler's timer if it is due.
    pub fn run_scheduler_timer(&mut self, scheduler: &mut Scheduler) {
        self.fire_timer(scheduler);
        self.report_all(scheduler);
    }

    /// Whether the last poll is so old that a client's socket is checked before anything is started for it.
    fn is_poll_stale(&self) -> bool {
        client_connection::poll_result_is_stale(ticks_to_millis(self.now - self.polled_at))
    }

    /// The client of a block I/O, if it waits for the final response. From now on it counts as answered: the caller sends
    /// the response.
    fn take_client(&mut self, io: BioId) -> Option<u32> {
        let entry = self.driver.in_flight_mut().get_mut(io)?;
        entry.answer().then_some(entry.data.client)
    }

    /// Sends the final response of a block I/O, if its client still waits; returns whether it does.
    fn respond_final(&mut self, io: BioId, response: Response) -> bool {
        let client = self.take_client(io);
        if let Some(slot) = client {
            self.clients.respond(slot, response, self.now_ms());
        }
        client.is_some()
    }

    /// Withdraws an attempt whose request is not completely written. The settings may forbid to cancel attempts, but
    /// this one was never executed.
    fn withdraw_unsent(&mut self, io: BioId) {
        let entry = self.driver.in_flight().get(io);
        let Some(slot) = entry.and_then(|entry| entry.attempt().copied()) else {
            return;
        };
        if self.nodes.is_unsent(slot, io)
            && let Some(completion) = self.nodes.cancel(slot, io)
        {
            self.queue_completion(&completion);
        }
    }
}

impl DrivenHost for Dispatcher {
    type BlockIo = BlockIo;
    type Attempt = NodeSlot;

    fn now(&self) -> Tick {
        self.now
    }

    fn driver_mut(&mut self) -> &mut SchedulerDriver<BlockIo, NodeSlot> {
        &mut self.driver
    }
}
