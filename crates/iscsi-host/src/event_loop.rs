//! The event loop of a host. It runs on one thread and only carries out decisions: those on block I/Os come
//! from the scheduler, those on connections from the connection policies.
//!
//! `open` creates the loop. Types with their own state, handled in each iteration:
//! - `sources`: event sources and their tokens.
//! - `listener`, `pending_reads`: new client connections, and sockets with unread data.
//! - `membership`: fleet membership.
//! - `plans`, `demand_meter`: replicated plans, quotas and the demand of clients.
//! - `shutdown`: requests to stop the host.
//!
//! Operations across several of these types: `apply_plans`, `operator` (requests on the control socket) and
//! `host_status`.
mod apply_plans;
mod demand_meter;
mod host_status;
mod listener;
mod membership;
mod open;
mod operator;
mod pending_reads;
mod plans;
mod shutdown;
mod sources;

use crate::client_connections::ClientId;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::error::Error;
use crate::node_connections::NodeIndex;
use listener::ClientListener;
use mallowseam_control_protocol::control_socket::{ConnectionId, ControlSocket};
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::Tick;
use mallowseam_settings::GatewayConfig;
use mallowseam_sockets::clock::{Clock, ticks_to_duration};
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use membership::Membership;
use mio::event::Event;
use mio::{Events, Poll, Token};
use pending_reads::{PendingRead, PendingReads};
use plans::ReplicatedPlans;
use shutdown::ShutdownRequests;
use sources::Source;
use std::io::ErrorKind;
use std::time::Duration;

/// Maximum number of events that one poll returns.
const MAX_EVENTS: usize = 1024;
/// Interval between checks of connections for timeouts, in ticks. Fine enough for timeouts of seconds.
const CONNECTION_CHECK_INTERVAL: Tick = 1_000;

/// What the poll has reported for a socket.
#[derive(Clone, Copy)]
struct Readiness {
    /// The socket may have bytes or an error to read.
    readable: bool,
    /// The peer has closed its side, or the connection has failed; bytes may be unread before that.
    ended: bool,
}

impl Readiness {
    fn of(event: &Event) -> Self {
        let ended = event.is_error() || event.is_read_closed();
        Readiness {
            readable: event.is_readable() || ended,
            ended,
        }
    }
}

/// A running host.
struct EventLoop {
    config: GatewayConfig,
    clock: Clock,
    scheduler: Scheduler,
    dispatcher: Dispatcher,
    endpoint_list: EndpointList,
    plans: ReplicatedPlans,
    membership: Membership,
    listener: ClientListener,
    control: Option<ControlSocket>,
    shutdown: ShutdownRequests,
    pending_reads: PendingReads,
    /// Timer for checking connections for timeouts.
    connection_check: PeriodicTimer<Tick>,
    read_buffer: Vec<u8>,
}

/// Runs a host until SIGTERM, SIGINT or a request to stop.
///
/// # Errors
/// A configured address or path cannot be opened, or polling fails.
pub fn run(config: GatewayConfig) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(Error::Poll)?;
    let mut host = EventLoop::open(config, &poll)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    host.start();
    while !host.is_finished() {
        let timeout = host.poll_timeout();
        if let Err(e) = poll.poll(&mut events, Some(timeout))
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Error::Poll(e));
        }
        host.handle(&events);
    }
    host.membership.announce_left();
    tracing::info!("host stopped");
    Ok(())
}

impl EventLoop {
    fn start(&mut self) {
        self.dispatcher.set_now(self.clock.now());
        // Fires the scheduler's timer before any other call makes the scheduler set one. The scheduler requests
        // the endpoint list from this first timer and counts allocation intervals from it.
        self.dispatcher.run_first_timer(&mut self.scheduler);
        self.endpoint_list.start(self.dispatcher.now());
        self.apply_endpoint_updates();
        self.apply_cached_plans();
        self.after_events();
    }

    /// Returns whether the loop must end: an immediate stop was requested, or a stop was requested while no
    /// client is connected and no block I/O is in flight.
    fn is_finished(&self) -> bool {
        self.shutdown.is_immediate() || self.shutdown.is_requested() && self.dispatcher.is_idle()
    }

    /// Returns the maximum duration for which the poll may wait for events.
    fn poll_timeout(&self) -> Duration {
        if !self.pending_reads.is_empty() || self.membership.is_readable() {
            return Duration::ZERO;
        }
        let check_due = self.connection_check.next_due();
        let due = self
            .dispatcher
            .next_due()
            .map_or(check_due, |due| due.min(check_due));
        let timeout = ticks_to_duration(due - self.clock.now());
        self.membership
            .time_until_tick()
            .map_or(timeout, |until_tick| until_tick.min(timeout))
    }

    /// Handles the events of one poll, then the timers that are due.
    fn handle(&mut self, events: &Events) {
        self.dispatcher.set_now(self.clock.now());
        // The membership timer runs before datagrams are read. After the process was suspended (SIGSTOP, a
        // paused virtual machine), the timer extends its timeouts by the gap; otherwise the host would suspect
        // members whose acknowledgements are still queued in the socket.
        self.membership.tick();
        for event in events {
            self.on_event(event.token(), Readiness::of(event));
        }
        self.after_events();
    }

    fn on_event(&mut self, token: Token, Readiness { readable, ended }: Readiness) {
        let node_count = self.dispatcher.nodes().len();
        match Source::of_token(token, node_count) {
            Source::Listener => self.listener.mark_ready(),
            Source::Membership => self.membership.mark_readable(),
            Source::Control => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            Source::ControlConnection(connection) => self.read_control(connection),
            Source::Catalog => self.read_catalog(readable),
            Source::Plans => self.read_plans(),
            Source::EndpointList => {
                let now = self.dispatcher.now();
                self.endpoint_list
                    .on_ready(readable, &mut self.read_buffer, now);
            }
            Source::Signals => self.read_signals(),
            Source::Node(node) => {
                self.dispatcher.mark_node_ready(node, readable);
                self.read_node(node);
            }
            Source::Client(client) if ended => {
                self.dispatcher.client_left(&mut self.scheduler, client);
            }
            Source::Client(client) => {
                self.dispatcher.mark_client_ready(client, readable);
                self.read_client(client);
            }
        }
    }

    /// Runs the work that follows the events of each poll: accepts clients, resumes reads, runs timers and
    /// flushes.
    fn after_events(&mut self) {
        self.accept_clients();
        self.resume_reads();
        self.membership.read();
        self.apply_endpoint_updates();
        self.run_timers();
        self.update_quotas();
        self.publish_versions();
        self.dispatcher.maintain_catalog();
        self.flush();
        // Attempts end when the flush fails their connection or finds the node's command window closed; the scheduler
        // must be told. What it does then is written before the next poll, which may wait.
        self.dispatcher.process_pending(&mut self.scheduler);
        while self.dispatcher.has_unflushed() {
            self.flush();
            self.dispatcher.process_pending(&mut self.scheduler);
        }
    }

    /// Accepts clients. Those that have to wait for room stay in the listener's queue until the next check of the
    /// connections.
    fn accept_clients(&mut self) {
        while !self.dispatcher.must_clients_wait() {
            let Some((socket, peer)) = self.listener.accept() else {
                break;
            };
            self.dispatcher.accept_client(socket, peer);
        }
    }

    /// Reads once from each socket that is queued for another read.
    fn resume_reads(&mut self) {
        for _ in 0..self.pending_reads.len() {
            match self.pending_reads.next() {
                Some(PendingRead::Node(node)) => self.read_node(node),
                Some(PendingRead::Catalog) => self.read_catalog(false),
                Some(PendingRead::Client(client)) => self.read_client(client),
                None => break,
            }
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        self.dispatcher.set_now(now);
        self.dispatcher.expire_attempts();
        self.dispatcher.process_pending(&mut self.scheduler);
        self.dispatcher.on_timer(&mut self.scheduler);
        if self.dispatcher.take_endpoint_list_request() {
            self.endpoint_list.watch(now);
            self.apply_endpoint_updates();
        }
        if self.connection_check.take_due(now) {
            self.dispatcher.check_connections();
            self.endpoint_list.on_timer(now);
            self.listener.mark_ready();
            self.apply_endpoint_updates();
            self.dispatcher.process_pending(&mut self.scheduler);
        }
    }

    /// Writes queued bytes to nodes and clients, and queues reads of the clients that may be read from again.
    fn flush(&mut self) {
        for client in self.dispatcher.flush() {
            self.pending_reads.add(PendingRead::Client(client));
        }
    }

    fn read_client(&mut self, client: ClientId) {
        let scheduler = &mut self.scheduler;
        if self
            .dispatcher
            .read_client(scheduler, client, &mut self.read_buffer)
        {
            self.pending_reads.add(PendingRead::Client(client));
        }
    }

    fn read_node(&mut self, node: NodeIndex) {
        let scheduler = &mut self.scheduler;
        if self
            .dispatcher
            .read_node(scheduler, node, &mut self.read_buffer)
        {
            self.pending_reads.add_node(node);
        }
    }

    fn read_catalog(&mut self, readable: bool) {
        let scheduler = &mut self.scheduler;
        if self
            .dispatcher
            .read_catalog(scheduler, readable, &mut self.read_buffer)
        {
            self.pending_reads.add(PendingRead::Catalog);
        }
    }

    fn read_control(&mut self, connection: ConnectionId) {
        let control = self.control.as_mut();
        let Some(line) = control.and_then(|control| control.read_request(connection)) else {
            return;
        };
        let answer = self.on_request(&line);
        if let Some(control) = &mut self.control {
            control.answer(connection, &answer);
        }
    }

    fn read_signals(&mut self) {
        while self.shutdown.read_signals() {
            self.drain("signal");
        }
    }

    fn apply_endpoint_updates(&mut self) {
        while let Some(update) = self.endpoint_list.next_update() {
            self.dispatcher
                .on_endpoints(&mut self.scheduler, update.event, &update.nodes);
        }
    }

    fn update_quotas(&mut self) {
        let now = self.dispatcher.now();
        let volumes = self.dispatcher.metrics().volumes();
        self.plans.update_quotas(&mut self.scheduler, volumes, now);
    }

    /// Publishes the active versions of the endpoint list and plans through fleet membership.
    fn publish_versions(&mut self) {
        let plans = self.plans.state().map_or(0, |state| state.version);
        self.membership.publish(ActiveVersions {
            endpoint_list: self.endpoint_list.version().version,
            plans,
        });
    }
}
