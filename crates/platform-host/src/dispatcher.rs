//! The block I/Os in flight: carries out the scheduler's decisions and reports their results to it.
//!
//! - `admission`: client requests become block I/Os; clients disconnect.
//! - `completions`: forwards good responses to clients, reports completed attempts to the scheduler.
//! - `endpoints`: applies updates of the endpoint list.
//! - `scheduler_host`: the calls that the scheduler makes on its host.
mod admission;
mod completions;
mod endpoints;
mod scheduler_host;

use crate::clients::{ClientConnections, Response};
use crate::nodes::{Completion, NodeConnections};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection;
use mallowseam_platform::interner::NameInterner;
use mallowseam_platform::request::RequestId;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{BioId, NodeEndpoint, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::slab::Slab;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// A block I/O, from the client's complete request until the scheduler releases it.
struct InFlight {
    id: RequestId,
    /// The client's connection, until the final response or a disconnect.
    client: Option<u32>,
    attempts: u32,
    /// The connection that carries its attempt.
    node_connection: Option<u32>,
    /// When the client gives up.
    deadline: Tick,
}

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
    in_flight: Slab<InFlight>,
    /// Completed attempts that were not reported to the scheduler yet.
    completions: VecDeque<Completion>,
    /// When the scheduler's timer fires.
    timer: Option<Tick>,
    /// The scheduler has asked for a watch on the discovery service.
    wants_watch: bool,
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
            in_flight: Slab::default(),
            completions: VecDeque::new(),
            timer: None,
            wants_watch: false,
            endpoints: Vec::new(),
        }
    }

    /// The time of the current event in milliseconds.
    pub fn now_ms(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    /// Number of block I/Os in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
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
        self.timer
    }

    /// Whether the scheduler has asked for a watch since the last call.
    pub fn take_watch_request(&mut self) -> bool {
        std::mem::take(&mut self.wants_watch)
    }

    /// Fires the scheduler's timer if it is due. Nothing else may call `on_timer`: the scheduler sets each timer once, and
    /// would mistake an earlier call for it.
    pub fn fire_timer(&mut self, scheduler: &mut Scheduler) {
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            let now = self.now;
            scheduler.on_timer(self, now);
            self.report_completions(scheduler);
        }
    }

    /// Whether the last poll is so old that a client's socket is checked before anything is started for it.
    fn is_poll_stale(&self) -> bool {
        client_connection::poll_result_is_stale(ticks_to_millis(self.now - self.polled_at))
    }

    /// Sends the final response of a block I/O, if its client still waits; returns whether it does.
    fn respond_final(&mut self, io: BioId, response: Response) -> bool {
        let client = self
            .in_flight
            .get_mut(io.0)
            .and_then(|entry| entry.client.take());
        if let Some(slot) = client {
            self.clients.respond(slot, response, self.now_ms());
        }
        client.is_some()
    }

    /// Withdraws an attempt whose request is not completely written. The settings may forbid to cancel attempts, but
    /// this one was never executed.
    fn withdraw_unsent(&mut self, io: BioId) {
        let Some(entry) = self.in_flight.get_mut(io.0) else {
            return;
        };
        if let Some(slot) = entry
            .node_connection
            .filter(|slot| self.nodes.is_unsent(*slot, io))
        {
            entry.node_connection = None;
            self.completions.extend(self.nodes.cancel(slot, io));
        }
    }
}
