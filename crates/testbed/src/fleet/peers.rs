//! Simulated peers of the hosts on one event loop: discovery services, nodes and clients. Every connection and datagram
//! passes through a link, which may have faults. The owner runs the loop one iteration at a time.
mod clients;
mod connections;
mod discovery;
mod endpoint_list;
mod event_loop;
mod hosts;
mod listeners;
mod membership;
mod nodes;

use super::addresses::Addresses;
use super::error::TestbedError;
use connections::{Connection, ConnectionId, ConnectionRole};
use discovery::Undelivered;
use endpoint_list::EndpointList;
use event_loop::Timer;
use hosts::HostState;
use listeners::PeerListener;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_audit::trace::Micros;
use mallowseam_http1::Limits;
use mallowseam_load::client_load::{ClientLoad, Operation};
use mallowseam_models::discovery_queue::{DiscoveryQueue, ServiceBehavior};
use mallowseam_scenarios::fleet::Scenario;
use mallowseam_sockets::slab::Slab;
use mallowseam_stand_ins::links::{LinkFault, Links, Peer, PeerSet};
use mallowseam_stand_ins::simulated_node::SimulatedNode;
use membership::MembershipLinks;
use mio::Poll;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub use discovery::NOTIFICATION_DEADLINE;
pub(crate) use endpoint_list::{ListedNode, NodeStatus};
pub use membership::MembershipView;

/// Limits of HTTP messages between hosts and peers, in bytes.
const HTTP_LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 1 << 20,
};
/// Size of the buffer for reads from sockets, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Number of discovery services of a run. Hosts start with the first one and may be redirected to the second.
const DISCOVERY_SERVICES: u32 = 2;
/// Port that is bound during a run, so that other runs on this machine do not use the same addresses.
const PORT_CLAIM: u16 = 1899;
/// Number of networks that a run tries before it gives up.
const NETWORKS: u32 = 200;
/// Second address byte of the first network.
const FIRST_NETWORK: u32 = 20;

/// All peers of the hosts of a run, and the observations made at them.
pub struct SimulatedPeers {
    poll: Poll,
    scenario: Scenario,
    /// Addresses of the run.
    pub addresses: Addresses,
    start: Instant,
    /// Wall-clock time at the start, in milliseconds since the Unix epoch.
    start_unix_ms: i64,
    listeners: Vec<PeerListener>,
    connections: Slab<Connection>,
    last_serial: u64,
    links: Links,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// The discovery services.
    pub(super) discovery: [DiscoveryQueue<ConnectionId>; DISCOVERY_SERVICES as usize],
    endpoints: EndpointList,
    undelivered: Vec<Undelivered>,
    /// The nodes.
    pub(super) nodes: Vec<SimulatedNode<ConnectionId>>,
    /// The clients.
    pub(super) client_load: ClientLoad,
    clients_active: bool,
    pending_retries: Slab<Operation>,
    host_states: Vec<HostState>,
    /// Time until which clients open new connections to a host that was sent SIGTERM, by host.
    new_connections_until: Vec<Option<Micros>>,
    paused: Vec<bool>,
    /// Idle connections of clients, by host.
    idle_connections: BTreeMap<u32, Vec<u32>>,
    /// Host of each request in flight, by operation id.
    request_hosts: BTreeMap<u64, u32>,
    /// Links for datagrams between hosts, and the hosts' membership tables.
    pub membership: MembershipLinks,
    /// Number in each host's name: the host's index, except in tests with two hosts of the same name.
    pub name_numbers: Vec<u32>,
    /// Observations so far.
    pub observations: Vec<Observation>,
    rng: Pcg64Mcg,
    read_buffer: Vec<u8>,
    /// Claims the addresses. The last field, so that it is dropped once all other sockets of the run are closed.
    _address_claim: TcpListener,
}

impl SimulatedPeers {
    /// Opens the sockets of all peers.
    ///
    /// # Errors
    /// A socket cannot be opened, or all loopback addresses are in use.
    pub(crate) fn open(scenario: &Scenario, seed: u64) -> Result<SimulatedPeers, TestbedError> {
        for addresses in address_ranges() {
            let Ok(claim) = TcpListener::bind(addresses.socket_address(0, PORT_CLAIM)) else {
                continue;
            };
            match Self::open_at(scenario, seed, addresses, claim) {
                // A process that another thread is starting holds copies of all sockets until its exec, also of those
                // of an ended run.
                Err(TestbedError::Bind { source, .. }) if source.kind() == ErrorKind::AddrInUse => {
                }
                result => return result,
            }
        }
        Err(TestbedError::NoFreeAddresses)
    }

    /// Opens the sockets in a claimed range of addresses.
    fn open_at(
        scenario: &Scenario,
        seed: u64,
        addresses: Addresses,
        address_claim: TcpListener,
    ) -> Result<SimulatedPeers, TestbedError> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let poll = Poll::new().map_err(TestbedError::Poll)?;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let queue = || DiscoveryQueue::new(scenario.service_time, scenario.queue_timeout);
        let mut peers = SimulatedPeers {
            addresses,
            _address_claim: address_claim,
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as i64,
            listeners: Vec::new(),
            connections: Slab::default(),
            last_serial: 0,
            links: Links::new(scenario.zones),
            timers: BinaryHeap::new(),
            discovery: [queue(), queue()],
            endpoints: EndpointList::new(),
            undelivered: Vec::new(),
            nodes: Vec::new(),
            client_load: ClientLoad::new(
                scenario.load.clone(),
                scenario.hosts,
                scenario.nodes,
                &mut rng,
            ),
            clients_active: false,
            pending_retries: Slab::default(),
            host_states: vec![HostState::Stopped; scenario.hosts as usize],
            new_connections_until: vec![None; scenario.hosts as usize],
            paused: vec![false; scenario.hosts as usize],
            idle_connections: BTreeMap::new(),
            request_hosts: BTreeMap::new(),
            membership: MembershipLinks::default(),
            name_numbers: (0..scenario.hosts).collect(),
            observations: Vec::new(),
            rng,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            scenario: scenario.clone(),
            poll,
        };
        peers.open_sockets()?;
        Ok(peers)
    }

    fn open_sockets(&mut self) -> Result<(), TestbedError> {
        for host in 0..self.scenario.hosts {
            for list in 0..DISCOVERY_SERVICES {
                self.add_listener(
                    host,
                    Peer::List(list),
                    self.addresses.discovery_service(host, list),
                )?;
            }
        }
        for shard in 0..self.scenario.nodes {
            self.add_node(shard, self.scenario.nodes_start_cold)?;
        }
        if self.scenario.membership.is_some() {
            self.open_membership_sockets()?;
        }
        self.start_watch_keep_alive();
        Ok(())
    }

    /// Returns the time since the start of the run, in microseconds.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn record(&mut self, event: Event) {
        let at = self.now();
        self.observations.push(Observation { at, event });
    }

    /// Sets the fault of all links from one set of peers to another. The requests in flight at hosts whose links with
    /// clients are faulty are excused.
    pub fn set_link(&mut self, from: PeerSet, to: PeerSet, fault: LinkFault) {
        self.links.set(from, to, fault);
        self.update_listeners();
        self.settle_undelivered();
        self.pump_all();
        let impaired = |host: &u32| self.is_impaired(*host);
        let excused = self.request_hosts.iter().filter(|(_, host)| impaired(host));
        let excused: Vec<u64> = excused.map(|(op, _)| *op).collect();
        for op in excused {
            self.record(Event::Excused { op });
        }
    }

    /// Returns whether a link between clients and the host has a fault, or the host is paused.
    fn is_impaired(&self, host: u32) -> bool {
        let fault = |from, to| self.links.fault_between(from, to) != LinkFault::default();
        let host_peer = Peer::Host(host);
        self.paused[host as usize]
            || fault(Peer::Clients, host_peer)
            || fault(host_peer, Peer::Clients)
    }

    /// Changes the behaviour of a discovery service.
    pub(crate) fn set_discovery_behavior(&mut self, service: usize, behavior: ServiceBehavior) {
        let now = self.now();
        self.discovery[service].set_behavior(now, behavior);
        if behavior == ServiceBehavior::Down {
            self.reset_connections(
                |role| matches!(role, ConnectionRole::Poll { list: l, .. } if *l as usize == service),
            );
        }
        self.update_listeners();
        self.settle_undelivered();
    }
}

/// Returns the ranges of loopback addresses that runs claim, beginning at one that depends on the process.
fn address_ranges() -> impl Iterator<Item = Addresses> {
    let first = (std::process::id() * 7) % NETWORKS;
    (0..NETWORKS).map(move |n| Addresses::new((FIRST_NETWORK + (first + n) % NETWORKS) as u8))
}
