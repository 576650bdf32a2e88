//! The event loop of a host: one thread, every decision the scheduler's or a connection policy's.
//!
//! - `operator`: requests on the control socket, and the status.
//! - `plans`: replicated plans, quotas, and plans reloaded from the configuration.
mod operator;
mod plans;

use crate::catalog_client::CatalogClient;
use crate::client_connections::{ClientId, Clients};
use crate::clock::{Clock, ticks_to_duration};
use crate::control_socket::{self, ConnectionId, ControlSocket};
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::error::Error;
use crate::node_connections::{NodeIndex, Nodes};
use crate::plan_replication::PlanReplication;
use crate::scheduler_config;
use crate::startup;
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::target::TargetConfig;
use mallowseam_plans::MilliUnits;
use mallowseam_plans::replica::HostedVolume;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{Host, Tick};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Volume;
use mio::net::{TcpListener, UnixStream};
use mio::{Events, Poll, Token};
use rand::Rng;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LISTENER: Token = Token(0);
const CONTROL: Token = Token(1);
const ENDPOINT_LIST: Token = Token(2);
const SIGNALS: Token = Token(3);
const CATALOG: Token = Token(4);
const PLANS: Token = Token(5);
const MEMBERSHIP: Token = Token(6);
/// First token of connections to the control socket.
const FIRST_CONTROL_CONNECTION: usize = 7;
/// First token of connections to nodes; those of clients follow.
const FIRST_NODE: usize = FIRST_CONTROL_CONNECTION + control_socket::MAX_CONNECTIONS;
/// Bytes read from a socket in one go; each ready socket has its turn.
const READ_BUFFER: usize = 128 * 1024;
const MAX_EVENTS: usize = 1024;
/// Ticks between two periodic checks of the connections: fine enough for times of seconds.
const CHECK_PERIOD: Tick = 1_000;

/// A socket that may have more to read than one turn took.
#[derive(Clone, Copy, PartialEq)]
enum PendingRead {
    Catalog,
    Client(ClientId),
    Node(NodeIndex),
}

struct HostProcess {
    config: GatewayConfig,
    clock: Clock,
    scheduler: Scheduler,
    dispatcher: Dispatcher,
    endpoint_list: EndpointList,
    plan_replication: Option<PlanReplication>,
    /// Its part in the fleet's membership, where the configuration has one, and whether that has more to
    /// read.
    membership: Option<Box<UdpMembership>>,
    membership_readable: bool,
    /// The quotas that the scheduler keeps to, by volume.
    quotas: Vec<Option<MilliUnits>>,
    demand: plans::DemandMeter,
    listener: TcpListener,
    accepting: bool,
    control: Option<ControlSocket>,
    signals: UnixStream,
    /// Signals and requests to stop so far.
    stop_requests: u32,
    pending_reads: VecDeque<PendingRead>,
    read_buffer: Vec<u8>,
    last_check: Tick,
}

/// Runs a host until SIGTERM, SIGINT or a request to stop.
///
/// # Errors
/// An address or path of the configuration cannot be had.
pub fn run(config: GatewayConfig) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(Error::Poll)?;
    let mut host = HostProcess::open(config, &poll)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    host.start();
    while !host.is_finished() {
        let timeout = host.poll_timeout();
        if let Err(e) = poll.poll(&mut events, Some(timeout))
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Error::Poll(e));
        }
        host.dispatcher.now = host.clock.now();
        // The timer runs before datagrams are read: after the process was suspended (SIGSTOP, a pause of the
        // virtual machine), the timer extends its timeouts by the gap. Otherwise members whose
        // acknowledgements are still queued in the socket would be suspected.
        host.membership
            .iter_mut()
            .for_each(|membership| membership.tick());
        for event in &events {
            let readable = event.is_readable() || event.is_error() || event.is_read_closed();
            host.on_event(event.token(), readable);
        }
        host.after_events();
    }
    host.membership
        .iter_mut()
        .for_each(|membership| membership.announce_left());
    tracing::info!("host stopped");
    Ok(())
}

/// What every session is negotiated with.
fn session_proposal(config: &GatewayConfig) -> ProposedParams {
    let digests = Digests {
        header: config.host.header_digest,
        data: config.host.data_digest,
    };
    ProposedParams {
        digests,
        ..ProposedParams::default()
    }
}

fn open_clients(config: &GatewayConfig, bound: SocketAddr, poll: &Poll) -> Result<Clients, Error> {
    let target_config = Rc::new(TargetConfig {
        proposal: session_proposal(config),
        command_window: config.host.command_window,
        max_transfer_bytes: config.host.max_transfer_bytes as usize,
        target_names: vec![config.host.target.clone()],
        portal_address: bound.to_string(),
    });
    let admission =
        AdmissionController::new(&config.host.target, config.host.max_connections as usize);
    let first_token = FIRST_NODE + config.nodes.len();
    Ok(Clients::new(
        admission,
        target_config,
        startup::registry(poll)?,
        first_token,
    ))
}

fn open_nodes(config: &GatewayConfig, poll: &Poll) -> Result<Nodes, Error> {
    let initiator = format!("{}:{}", config.host.target, config.host.name);
    let registry = startup::registry(poll)?;
    Ok(Nodes::new(
        &config.nodes,
        initiator,
        session_proposal(config),
        registry,
        FIRST_NODE,
    ))
}

/// The catalog's client, where the configuration has a catalog and a volume of the host is mapped.
fn open_catalog_client(
    config: &GatewayConfig,
    poll: &Poll,
) -> Result<Option<CatalogClient>, Error> {
    let Some(catalog) = &config.catalog else {
        return Ok(None);
    };
    if !config.volumes.iter().any(|volume| volume.mapped) {
        return Ok(None);
    }
    let address = startup::validated_address(catalog.listen);
    Ok(Some(CatalogClient::new(
        &config.host.name,
        address,
        startup::registry(poll)?,
        CATALOG,
    )))
}

/// The replica of the plans, where the configuration names a plan service.
fn open_plan_replication(
    config: &GatewayConfig,
    poll: &Poll,
) -> Result<Option<PlanReplication>, Error> {
    let Some(address) = config.host.plan_service else {
        return Ok(None);
    };
    let hosted = |volume: &Volume| HostedVolume {
        name: volume.name.clone(),
        host_count: volume.host_count,
    };
    let volumes = config.volumes.iter().map(hosted).collect();
    let cache_file = config.host.plan_cache_path.clone();
    let registry = startup::registry(poll)?;
    Ok(Some(PlanReplication::new(
        &config.host.name,
        address,
        cache_file,
        volumes,
        registry,
        PLANS,
    )))
}

fn open_membership(
    config: &GatewayConfig,
    poll: &Poll,
) -> Result<Option<Box<UdpMembership>>, Error> {
    let Some(settings) = config.host.fleet.clone() else {
        return Ok(None);
    };
    let opened = UdpMembership::open(poll.registry(), MEMBERSHIP, settings);
    opened
        .map(|service| Some(Box::new(service)))
        .map_err(Error::Membership)
}

impl HostProcess {
    fn open(config: GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let address = startup::validated_address(config.host.listen);
        let (listener, _) = startup::listen(address, poll, LISTENER)?;
        let bound = listener
            .local_addr()
            .map_err(|source| Error::Listen { address, source })?;
        let control = startup::control_socket(
            config.host.control_socket.as_deref(),
            poll,
            CONTROL,
            FIRST_CONTROL_CONNECTION,
        )?;
        let signals = startup::signals(poll, SIGNALS)?;
        let clients = open_clients(&config, bound, poll)?;
        let nodes = open_nodes(&config, poll)?;
        let catalog = open_catalog_client(&config, poll)?;
        let registry = startup::registry(poll)?;
        let endpoint_list = EndpointList::new(&config.host, &config.nodes, registry, ENDPOINT_LIST);
        let plan_replication = open_plan_replication(&config, poll)?;
        let membership = open_membership(&config, poll)?;
        let seed = config.host.seed.unwrap_or_else(|| rand::rng().next_u64());
        let clock = Clock::from_zero();
        tracing::info!(host = config.host.name, listen = %bound, seed, "host started");
        let volumes = config.volumes.len();
        Ok(HostProcess {
            scheduler: Scheduler::new(
                &scheduler_config::scheduler_config(&config),
                seed,
                clock.now(),
            ),
            dispatcher: Dispatcher::new(&config, clients, nodes, catalog),
            endpoint_list,
            plan_replication,
            membership,
            membership_readable: false,
            quotas: vec![None; volumes],
            demand: plans::DemandMeter::new(volumes),
            listener,
            accepting: false,
            control,
            signals,
            stop_requests: 0,
            pending_reads: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER],
            last_check: 0,
            clock,
            config,
        })
    }

    fn start(&mut self) {
        self.dispatcher.now = self.clock.now();
        // The first timer runs before anything else makes the scheduler set one: it requests the endpoint
        // list, and allocation intervals count from it.
        self.dispatcher.set_timer(0);
        self.dispatcher.on_timer(&mut self.scheduler);
        self.endpoint_list.start(self.dispatcher.now);
        self.apply_endpoint_updates();
        self.apply_cached_plans();
        self.after_events();
    }

    /// Asked to stop with nothing left in flight, or asked twice.
    fn is_finished(&self) -> bool {
        let idle = self.dispatcher.clients.admission.connection_count() == 0
            && self.dispatcher.in_flight() == 0;
        self.stop_requests > 1 || self.stop_requests == 1 && idle
    }

    /// How long the poll may wait for events.
    fn poll_timeout(&self) -> Duration {
        if !self.pending_reads.is_empty() || self.membership_readable {
            return Duration::ZERO;
        }
        let check_due = self.last_check + CHECK_PERIOD;
        let due = self
            .dispatcher
            .next_due()
            .map_or(check_due, |due| due.min(check_due));
        let due = ticks_to_duration(due - self.clock.now());
        let membership_due = self
            .membership
            .as_ref()
            .map(|membership| Duration::from_millis(membership.millis_until_tick()));
        membership_due.map_or(due, |other| due.min(other))
    }

    fn on_event(&mut self, token: Token, readable: bool) {
        match token {
            LISTENER => self.accepting = true,
            MEMBERSHIP => self.membership_readable = true,
            CONTROL => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            CATALOG => self.read_catalog(readable),
            PLANS => self.read_plans(),
            ENDPOINT_LIST => {
                self.endpoint_list
                    .on_ready(readable, &mut self.read_buffer, self.dispatcher.now);
            }
            SIGNALS => self.read_signals(),
            Token(token) if token < FIRST_NODE => {
                let connection = (token - FIRST_CONTROL_CONNECTION) as ConnectionId;
                if let Some(line) = self
                    .control
                    .as_mut()
                    .and_then(|c| c.read_request(connection))
                {
                    let answer = self.on_request(&line);
                    if let Some(control) = &mut self.control {
                        control.answer(connection, &answer);
                    }
                }
            }
            Token(token) if token < FIRST_NODE + self.dispatcher.nodes.len() => {
                let (node, now) = (token - FIRST_NODE, self.dispatcher.now);
                let more =
                    self.dispatcher
                        .nodes
                        .on_ready(node, readable, &mut self.read_buffer, now);
                self.after_node_read(node, more);
            }
            Token(token) => {
                let client = (token - FIRST_NODE - self.dispatcher.nodes.len()) as ClientId;
                let now = self.dispatcher.now;
                let more =
                    self.dispatcher
                        .clients
                        .on_ready(client, readable, &mut self.read_buffer, now);
                self.after_client_read(client, more);
            }
        }
    }

    fn read_signals(&mut self) {
        let mut bytes = [0; 16];
        while let Ok(count) = self.signals.read(&mut bytes) {
            if count == 0 {
                break;
            }
            self.stop_requests += count as u32;
            self.drain("signal");
        }
    }

    /// Queues a socket for another read, unless it is queued.
    fn read_again(&mut self, read: PendingRead) {
        if !self.pending_reads.contains(&read) {
            self.pending_reads.push_back(read);
        }
    }

    fn read_catalog(&mut self, readable: bool) {
        if self
            .dispatcher
            .read_catalog(readable, &mut self.read_buffer)
        {
            self.read_again(PendingRead::Catalog);
        }
        self.dispatcher.process_pending(&mut self.scheduler);
    }

    fn after_node_read(&mut self, node: NodeIndex, more: bool) {
        if more {
            self.pending_reads.push_back(PendingRead::Node(node));
        }
        self.dispatcher.process_pending(&mut self.scheduler);
    }

    fn after_client_read(&mut self, client: ClientId, more: bool) {
        if more {
            self.read_again(PendingRead::Client(client));
        }
        while let Some(event) = self.dispatcher.clients.next_event(client) {
            self.dispatcher
                .on_client_event(&mut self.scheduler, client, event);
        }
        self.dispatcher.process_pending(&mut self.scheduler);
    }

    /// What is due after the events of one poll.
    fn after_events(&mut self) {
        if self.accepting {
            self.accept();
        }
        self.resume_reads();
        if let Some(membership) = self
            .membership
            .as_mut()
            .filter(|_| self.membership_readable)
        {
            self.membership_readable = membership.on_readable();
        }
        self.apply_endpoint_updates();
        self.run_timers();
        self.update_quotas();
        self.publish_facts();
        self.dispatcher.maintain_catalog();
        self.dispatcher.nodes.flush();
        for client in self.dispatcher.clients.flush(self.dispatcher.now) {
            self.read_again(PendingRead::Client(client));
        }
        // A connection that failed while it was written to has ended attempts.
        self.dispatcher.process_pending(&mut self.scheduler);
    }

    /// Each socket with more to read has one turn.
    fn resume_reads(&mut self) {
        for _ in 0..self.pending_reads.len() {
            let now = self.dispatcher.now;
            match self.pending_reads.pop_front() {
                Some(PendingRead::Node(node)) => {
                    let more = self.dispatcher.nodes.read(node, &mut self.read_buffer, now);
                    self.after_node_read(node, more);
                }
                Some(PendingRead::Catalog) => self.read_catalog(false),
                Some(PendingRead::Client(client)) => {
                    let more = self
                        .dispatcher
                        .clients
                        .read(client, &mut self.read_buffer, now);
                    self.after_client_read(client, more);
                }
                None => break,
            }
        }
    }

    fn run_timers(&mut self) {
        self.dispatcher.now = self.clock.now();
        self.dispatcher.expire_attempts();
        self.dispatcher.process_pending(&mut self.scheduler);
        self.dispatcher.on_timer(&mut self.scheduler);
        if self.dispatcher.take_endpoint_list_request() {
            self.endpoint_list.watch(self.dispatcher.now);
            self.apply_endpoint_updates();
        }
        let now = self.dispatcher.now;
        if now >= self.last_check + CHECK_PERIOD {
            self.last_check = now;
            self.dispatcher.clients.on_timer(now);
            self.dispatcher.nodes.on_timer(now);
            self.endpoint_list.on_timer(now);
            self.accepting = true;
            self.apply_endpoint_updates();
            self.dispatcher.process_pending(&mut self.scheduler);
        }
    }

    fn accept(&mut self) {
        self.accepting = false;
        loop {
            match self.listener.accept() {
                Ok((socket, peer)) => {
                    self.dispatcher
                        .clients
                        .accept(socket, peer, self.dispatcher.now);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    return;
                }
            }
        }
    }

    fn apply_endpoint_updates(&mut self) {
        while let Some(update) = self.endpoint_list.next_update() {
            self.dispatcher.on_endpoints(&update.nodes);
            let now = self.dispatcher.now;
            self.scheduler
                .on_endpoints(&mut self.dispatcher, now, update.event, &update.nodes);
            self.dispatcher.process_pending(&mut self.scheduler);
        }
    }

    /// Tells the fleet's membership which versions this host acts on.
    fn publish_facts(&mut self) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let endpoint_list = self.endpoint_list.version().version;
        let plans = self
            .plan_replication
            .as_ref()
            .map_or(0, |plans| plans.replica.state().version);
        membership.set_active_versions(ActiveVersions {
            endpoint_list,
            plans,
        });
    }
}
