//! The event loop: one thread between clients, nodes, the discovery service and the scheduler.
//!
//! - `startup`: opens everything that a host needs to run.
//! - `admission`: accepts connections of clients.
//! - `endpoint_watch`: watches the discovery service.
//! - `reload`: reloads the configuration on SIGHUP.
//! - `shutdown`: shuts down gracefully on SIGTERM and SIGINT.
//! - `timers`: timeouts and periodic checks.
//! - `status_log`: writes the periodic log lines.
mod admission;
mod endpoint_watch;
mod reload;
mod shutdown;
mod startup;
mod status_log;
mod timers;

use crate::clients::{RequestStatus, SocketEvent};
use crate::dispatcher::Dispatcher;
use crate::error::HostError;
use crate::signals::SignalPipes;
use crate::tokens::{self, Connection};
use admission::Listener;
use endpoint_watch::EndpointWatch;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_platform::config::HostConfig;
use mallowseam_scheduler::Scheduler;
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::Clock;
use mio::event::Event;
use mio::{Events, Poll, Registry};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use timers::PeriodicTimers;

/// Events handled in one iteration; the rest wait for the next.
const MAX_EVENTS: usize = 512;
/// Clients accepted, and clients read, in one iteration, so that nodes and the endpoint list are not delayed.
const MAX_CLIENTS_PER_ITERATION: usize = 64;

/// A running host.
struct EventLoop {
    config_path: PathBuf,
    config: HostConfig,
    clock: Clock,
    /// The times of polls, from which the arrival time of events is estimated.
    arrivals: ArrivalEstimator,
    scheduler: Scheduler,
    dispatcher: Dispatcher,
    registry: Registry,
    listener: Listener,
    signals: SignalPipes,
    watch: EndpointWatch,
    /// Fleet membership, if configured, and whether its socket may have more to read.
    fleet: Option<Box<UdpMembership>>,
    is_fleet_readable: bool,
    /// Buffer for reads from sockets.
    scratch: Vec<u8>,
    periodic: PeriodicTimers,
}

/// Runs a host with the configuration file at a path until a signal stops it.
///
/// `discovery_call_ms`: milliseconds that one call takes of the discovery service's time, by which the hosts spread
/// their calls; none: a built-in value.
///
/// # Errors
/// The host could not start, or its poll failed.
pub fn run(config_path: &Path, discovery_call_ms: Option<u64>) -> Result<(), HostError> {
    let config = startup::load_config(config_path, discovery_call_ms)?;
    let mut poll = Poll::new().map_err(HostError::Poll)?;
    let mut event_loop = EventLoop::open(config_path, config, &poll)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    event_loop.start();
    while !event_loop.is_finished() {
        event_loop.poll(&mut poll, &mut events)?;
        event_loop.handle(&events);
    }
    event_loop.leave_fleet();
    tracing::info!("host stopped");
    Ok(())
}

impl EventLoop {
    /// Waits for events, or until a timer is due.
    fn poll(&mut self, poll: &mut Poll, events: &mut Events) -> Result<(), HostError> {
        let timeout = self.poll_timeout();
        let started_at = self.clock.now();
        match poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(HostError::Poll(e)),
            _ => {}
        }
        self.dispatcher.events_arrived_at = self.arrivals.estimate(started_at, self.clock.now());
        Ok(())
    }

    /// One iteration. The order matters (`docs/incidents/2026-12-02-crossings.md`): the endpoint list and nodes come
    /// before new work of clients; disconnected clients come before the capacity that nodes free; timeouts come last, so
    /// that everything that has arrived in time counts.
    fn handle(&mut self, events: &Events) {
        self.update_now();
        self.dispatcher.polled_at = self.dispatcher.now;
        // Fleet timers run first: by them the host notices that it was suspended, before it handles datagrams that were
        // queued meanwhile.
        if let Some(fleet) = &mut self.fleet {
            fleet.tick();
        }
        self.read_watches(events);
        self.handle_control_events(events);
        self.handle_client_events(events, Disconnects::Only);
        self.handle_node_events(events);
        self.handle_client_events(events, Disconnects::Excluded);
        self.read_clients(MAX_CLIENTS_PER_ITERATION);
        // Clients accepted now are read in the next iteration: they may have disconnected by then.
        if self.listener.is_readable {
            self.accept_clients();
        }
        self.read_fleet();
        self.run_timers();
    }

    /// Handles signals, the listener and the fleet's socket.
    fn handle_control_events(&mut self, events: &Events) {
        for event in events {
            match event.token() {
                tokens::FLEET => self.is_fleet_readable = true,
                tokens::SIGHUP if self.signals.take_sighup() => self.reload(),
                tokens::SIGTERM if self.signals.take_sigterm() => self.on_sigterm(),
                tokens::SIGINT if self.signals.take_sigint() => self.on_sigint(),
                tokens::LISTENER => self.listener.is_readable = true,
                _ => {}
            }
        }
    }

    /// Handles the events of clients that have disconnected, or those of all others.
    fn handle_client_events(&mut self, events: &Events, disconnects: Disconnects) {
        for event in events {
            let Some(Connection::Client(slot)) = tokens::connection(event.token()) else {
                continue;
            };
            let is_disconnected = is_closed(event);
            if is_disconnected != (disconnects == Disconnects::Only) {
                continue;
            }
            self.update_now();
            let now = self.dispatcher.now_ms();
            let socket_event = match is_disconnected {
                true => SocketEvent::Disconnected,
                false if event.is_readable() => SocketEvent::Readable,
                false => SocketEvent::Writable,
            };
            if let Some(io) = self.dispatcher.clients.on_event(slot, socket_event, now) {
                self.dispatcher.on_disconnected(&mut self.scheduler, io);
            }
        }
    }

    /// Handles the events of connections to nodes.
    fn handle_node_events(&mut self, events: &Events) {
        for event in events {
            let Some(Connection::Node(slot)) = tokens::connection(event.token()) else {
                continue;
            };
            self.update_now();
            self.dispatcher.on_node_event(
                &mut self.scheduler,
                slot,
                is_closed(event),
                &mut self.scratch,
            );
        }
    }

    /// Reads clients that may have something to read, up to a number of them.
    fn read_clients(&mut self, max: usize) {
        for _ in 0..self.dispatcher.clients.queue_len().min(max) {
            let Some(slot) = self.dispatcher.clients.next_queued() else {
                break;
            };
            self.update_now();
            let now = self.dispatcher.now_ms();
            let read = self.dispatcher.clients.read(slot, &mut self.scratch, now);
            if read == RequestStatus::Complete {
                let is_ready = self.watch.has_endpoints();
                self.dispatcher
                    .on_request(&mut self.scheduler, slot, is_ready);
            }
        }
    }

    /// Reads the datagrams of fleet membership.
    fn read_fleet(&mut self) {
        if let Some(fleet) = self.fleet.as_mut().filter(|_| self.is_fleet_readable) {
            self.is_fleet_readable = fleet.on_readable();
        }
    }

    /// Announces to the fleet that this process ends.
    fn leave_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.announce_left();
        }
    }

    /// Reads the clock for the next event.
    fn update_now(&mut self) {
        self.dispatcher.now = self.clock.now();
    }
}

/// Which events of clients to handle.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disconnects {
    Only,
    Excluded,
}

/// Whether the other side has closed its side of a connection, or the connection has failed.
fn is_closed(event: &Event) -> bool {
    event.is_read_closed() || event.is_error()
}
