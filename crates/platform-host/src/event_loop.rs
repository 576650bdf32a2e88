//! The event loop: one thread that serves clients, nodes, the discovery service and the scheduler.
//!
//! - `startup`: opens everything that a host needs to run.
//! - `admission`: accepts connections of clients.
//! - `endpoint_watch`, `list_version`: watches the discovery service, and decides which of its updates are applied.
//! - `fleet`: takes part in fleet membership.
//! - `config_file`: reads the configuration file.
//! - `reload`: reloads the configuration on SIGHUP.
//! - `shutdown`: shuts down gracefully on SIGTERM and SIGINT.
//! - `timers`: timeouts and periodic checks.
//! - `status_log`: writes the periodic log lines.
mod admission;
mod config_file;
mod endpoint_watch;
mod fleet;
mod list_version;
mod reload;
mod shutdown;
mod startup;
mod status_log;
mod timers;

use crate::clients::SocketEvent;
use crate::dispatcher::Dispatcher;
use crate::error::HostError;
use crate::signals::SignalPipes;
use crate::tokens::{self, Connection};
use admission::Listener;
use config_file::ConfigFile;
use endpoint_watch::EndpointWatch;
use fleet::Fleet;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use mio::event::Event;
use mio::{Events, Poll};
use status_log::StatusLog;
use std::io::ErrorKind;
use std::path::Path;

/// Maximum number of events handled in one iteration; further events wait for the next iteration.
const MAX_EVENTS: usize = 512;
/// Maximum number of clients accepted, and of clients read, in one iteration, so that nodes and the endpoint list are
/// not delayed.
const MAX_CLIENTS_PER_ITERATION: usize = 64;

/// A running host. Its methods are the steps of an iteration; the state of each concern is in that concern's submodule.
struct EventLoop {
    dispatcher: Dispatcher,
    listener: Listener,
    signals: SignalPipes,
    watch: EndpointWatch,
    fleet: Fleet,
    config_file: ConfigFile,
    connection_check: PeriodicTimer<Tick>,
    status_log: StatusLog,
    /// Buffer for reads from sockets, reused by all connections.
    scratch: Vec<u8>,
}

/// Runs a host with the configuration file at `config_path` until a signal stops it.
///
/// `discovery_call_ms`: milliseconds of the discovery service's time that one call takes; the hosts spread their calls
/// accordingly. `None`: a built-in value.
///
/// # Errors
/// Returns an error if the host could not start, or its event poll failed.
pub fn run(config_path: &Path, discovery_call_ms: Option<u64>) -> Result<(), HostError> {
    let config = startup::load_config(config_path, discovery_call_ms)?;
    let mut poll = Poll::new().map_err(HostError::Poll)?;
    let mut event_loop = EventLoop::open(config_path, &config, &poll)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    event_loop.start(config.cached_list);
    while !event_loop.is_finished() {
        event_loop.poll(&mut poll, &mut events)?;
        event_loop.handle(&events);
    }
    event_loop.fleet.announce_left();
    tracing::info!("host stopped");
    Ok(())
}

impl EventLoop {
    /// Waits for events, at most until the next timer is due.
    fn poll(&mut self, poll: &mut Poll, events: &mut Events) -> Result<(), HostError> {
        let timeout = self.poll_timeout();
        let began = self.dispatcher.clock_time();
        match poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(HostError::Poll(e)),
            _ => {}
        }
        self.dispatcher.on_poll_returned(began);
        Ok(())
    }

    /// Runs one iteration. The order matters (`docs/incidents/2026-12-02-crossings.md`): the endpoint list and node
    /// events are handled before new requests of clients; disconnects of clients before node events, which free
    /// capacity; timeouts last, so that everything that has arrived in time counts.
    fn handle(&mut self, events: &Events) {
        self.dispatcher.begin_iteration();
        // Fleet timers run first: they detect that the host was suspended, before it handles datagrams that were queued
        // meanwhile.
        self.fleet.tick();
        self.read_watches(events);
        self.handle_control_events(events);
        self.handle_client_events(events, DisconnectFilter::Only);
        self.handle_node_events(events);
        self.handle_client_events(events, DisconnectFilter::Excluded);
        self.read_clients(MAX_CLIENTS_PER_ITERATION);
        // Clients accepted now are read in the next iteration, after the poll has reported whether they have
        // disconnected.
        self.accept_clients();
        self.fleet.read();
        self.run_timers();
    }

    /// Reads the watches on the discovery service that have events.
    fn read_watches(&mut self, events: &Events) {
        // A poll that returns the maximum number of events may have omitted the event of a watch.
        let may_be_truncated = events.iter().count() >= MAX_EVENTS;
        for (index, token) in tokens::DISCOVERY.into_iter().enumerate() {
            if may_be_truncated || events.iter().any(|event| event.token() == token) {
                self.watch.read(
                    index,
                    &mut self.dispatcher,
                    &mut self.fleet,
                    &mut self.scratch,
                );
            }
        }
    }

    /// Handles events of the signal pipes, the listener and the fleet membership socket.
    fn handle_control_events(&mut self, events: &Events) {
        for event in events {
            match event.token() {
                tokens::FLEET => self.fleet.on_readable(),
                tokens::SIGHUP if self.signals.take_sighup() => self.reload(),
                tokens::SIGTERM if self.signals.take_sigterm() => self.on_sigterm(),
                tokens::SIGINT if self.signals.take_sigint() => self.on_sigint(),
                tokens::LISTENER => self.listener.on_readable(),
                _ => {}
            }
        }
    }

    /// Handles the events of clients that have disconnected, or the events of all other clients.
    fn handle_client_events(&mut self, events: &Events, filter: DisconnectFilter) {
        for event in events {
            let Some(Connection::Client(slot)) = tokens::connection(event.token()) else {
                continue;
            };
            let is_disconnected = is_closed(event);
            if is_disconnected != (filter == DisconnectFilter::Only) {
                continue;
            }
            self.dispatcher.update_now();
            let socket_event = match is_disconnected {
                true => SocketEvent::Disconnected,
                false if event.is_readable() => SocketEvent::Readable,
                false => SocketEvent::Writable,
            };
            self.dispatcher.on_client_event(slot, socket_event);
        }
    }

    /// Handles the events of connections to nodes.
    fn handle_node_events(&mut self, events: &Events) {
        for event in events {
            let Some(Connection::Node(slot)) = tokens::connection(event.token()) else {
                continue;
            };
            self.dispatcher.update_now();
            self.dispatcher
                .on_node_event(slot, is_closed(event), &mut self.scratch);
        }
    }

    /// Reads at most `max` queued clients. Clients that are queued meanwhile wait for the next iteration.
    fn read_clients(&mut self, max: usize) {
        for _ in 0..self.dispatcher.clients().queue_len().min(max) {
            let Some(slot) = self.dispatcher.clients_mut().next_queued() else {
                break;
            };
            self.dispatcher.update_now();
            let is_ready = self.watch.has_endpoints();
            self.dispatcher
                .read_client(slot, &mut self.scratch, is_ready);
        }
    }
}

/// Which events of clients to handle: those of disconnected clients, or all others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DisconnectFilter {
    Only,
    Excluded,
}

/// Returns whether the peer has closed its side of a connection, or the connection has failed.
fn is_closed(event: &Event) -> bool {
    event.is_read_closed() || event.is_error()
}
