//! Datagrams between hosts, and queries of hosts' membership tables. Each host advertises an address at which the
//! testbed listens. The testbed subjects the datagrams that arrive there to the link's fault, and forwards them from
//! the sender's advertised address.
use super::{SimulatedPeers, Timer};
use crate::fleet::addresses::Addresses;
use crate::fleet::error::TestbedError;
use mallowseam_audit::membership::{MembershipSample, SampledMember};
use mallowseam_audit::trace::Micros;
use mallowseam_fleet::wire::{self, MAX_DATAGRAM_BYTES, MembershipPage, Message};
use mallowseam_fleet_udp::MembershipSnapshot;
use mallowseam_sockets::slab::Slab;
use mallowseam_stand_ins::links::{LinkFault, Peer};
use mio::net::UdpSocket;
use mio::{Interest, Token};
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of datagrams in flight. Further ones are lost, as on a congested network.
const MAX_IN_FLIGHT: usize = 16_384;
/// Port of the socket that queries membership tables.
const PORT_OBSERVER: u16 = 7200;
/// Maximum number of datagrams read from one socket in one event.
const MAX_DATAGRAMS_PER_EVENT: usize = 256;
/// Time without a response after which a query may be replaced by a new one, in microseconds.
const QUERY_TIMEOUT: Micros = 400_000;
/// First token of datagram sockets, above the tokens of all listeners and connections.
pub(super) const FIRST_DATAGRAM_TOKEN: usize = 1 << 40;

/// Datagram in flight between two hosts.
struct Datagram {
    to: u32,
    from: u32,
    bytes: Vec<u8>,
}

/// Query of a host's membership table in progress, with the members received so far.
struct Query {
    requested_at: Micros,
    table: MembershipSnapshot,
}

/// Membership table that a host reported.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Time of the query.
    pub requested_at: Micros,
    /// Membership table.
    pub table: MembershipSnapshot,
}

/// Links between hosts for membership datagrams, and the hosts' membership tables.
#[derive(Default)]
pub struct MembershipLinks {
    sockets: Vec<UdpSocket>,
    observer: Option<UdpSocket>,
    in_flight: Slab<Datagram>,
    queries: BTreeMap<u32, Query>,
    /// Last membership table of each host.
    views: BTreeMap<u32, MembershipView>,
    /// Summaries of all membership tables that were queried.
    pub samples: Vec<MembershipSample>,
    /// Number of datagrams lost by faults.
    pub lost: u64,
    /// Bytes that each host sent, by host.
    pub bytes_sent: Vec<u64>,
}

impl SimulatedPeers {
    pub(super) fn open_membership_sockets(&mut self) -> Result<(), TestbedError> {
        for host in 0..self.scenario.hosts {
            let socket = self.bind_datagrams(self.addresses.membership_advertise(host), host)?;
            self.membership.sockets.push(socket);
        }
        let address = self.addresses.socket_address(0, PORT_OBSERVER);
        self.membership.observer = Some(self.bind_datagrams(address, self.scenario.hosts)?);
        self.membership.bytes_sent = vec![0; self.scenario.hosts as usize];
        Ok(())
    }

    fn bind_datagrams(&self, address: SocketAddr, index: u32) -> Result<UdpSocket, TestbedError> {
        let mut socket =
            UdpSocket::bind(address).map_err(|source| TestbedError::Bind { address, source })?;
        let token = Token(FIRST_DATAGRAM_TOKEN + index as usize);
        let registered = self
            .poll
            .registry()
            .register(&mut socket, token, Interest::READABLE);
        registered.map_err(TestbedError::Poll)?;
        Ok(socket)
    }

    /// Reads datagrams from the socket with an index: that of a host, or after the hosts that of the observer.
    pub(super) fn on_datagrams(&mut self, index: usize) {
        if index == self.scenario.hosts as usize {
            return self.on_pages();
        }
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
            let socket = self.membership.sockets.get(index);
            let Some(Ok((len, address))) = socket.map(|s| s.recv_from(&mut bytes)) else {
                return;
            };
            let is_listener = |host: &u32| self.addresses.membership_listen(*host) == address;
            if let Some(from) = Addresses::host_of(address).filter(is_listener) {
                self.forward_datagram(from, index as u32, &bytes[..len]);
            }
        }
        // More datagrams may be queued, which an edge-triggered poll does not report again.
        if let Some(socket) = self.membership.sockets.get_mut(index) {
            let token = Token(FIRST_DATAGRAM_TOKEN + index);
            let _ = self
                .poll
                .registry()
                .reregister(socket, token, Interest::READABLE);
        }
    }

    fn forward_datagram(&mut self, from: u32, to: u32, bytes: &[u8]) {
        let fault = self.links.fault_between(Peer::Host(from), Peer::Host(to));
        self.membership.bytes_sent[from as usize] += bytes.len() as u64;
        let copies = self.draw_copies(&fault);
        if fault.blocks() || copies == 0 || self.membership.in_flight.len() >= MAX_IN_FLIGHT {
            self.membership.lost += 1;
            return;
        }
        for _ in 0..copies {
            let jitter = if fault.jitter > 0 {
                self.rng.random_range(0..=fault.jitter)
            } else {
                0
            };
            let at = self.now() + fault.latency + jitter;
            let index = self.membership.in_flight.insert(Datagram {
                to,
                from,
                bytes: bytes.to_vec(),
            });
            if fault.latency + jitter == 0 {
                self.deliver_datagram(index);
            } else {
                self.timers
                    .push(Reverse((at, Timer::DeliverDatagram(index))));
            }
        }
    }

    /// Draws the number of copies of a datagram that arrive: 0 if it is lost, 2 if it is duplicated.
    fn draw_copies(&mut self, fault: &LinkFault) -> u32 {
        if fault.loss > 0.0 && self.rng.random_bool(fault.loss) {
            0
        } else if fault.duplication > 0.0 && self.rng.random_bool(fault.duplication) {
            2
        } else {
            1
        }
    }

    pub(super) fn deliver_datagram(&mut self, index: u32) {
        let Some(Datagram { to, from, bytes }) = self.membership.in_flight.remove(index) else {
            return;
        };
        let address = self.addresses.membership_listen(to);
        if let Some(socket) = self.membership.sockets.get(from as usize) {
            let _ = socket.send_to(&bytes, address);
        }
    }

    /// Sends bytes to a host's membership protocol from an address that belongs to no member.
    pub fn send_from_stranger(&mut self, to: u32, bytes: &[u8]) {
        let address = self.addresses.membership_listen(to);
        if let Some(observer) = &self.membership.observer {
            let _ = observer.send_to(bytes, address);
        }
    }

    /// Queries a host's membership table, unless a query of it is in progress.
    pub fn query_membership(&mut self, host: u32) {
        let now = self.now();
        let queries = &mut self.membership.queries;
        if queries
            .get(&host)
            .is_some_and(|query| now < query.requested_at + QUERY_TIMEOUT)
        {
            return;
        }
        let table = MembershipSnapshot {
            host: String::new(),
            isolated: false,
            superseded: false,
            digest: 0,
            members: Vec::new(),
        };
        queries.insert(
            host,
            Query {
                requested_at: now,
                table,
            },
        );
        self.send_from_stranger(host, &wire::encode_query(0));
    }

    fn on_pages(&mut self) {
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
            let observer = self.membership.observer.as_ref();
            let Some(Ok((len, address))) = observer.map(|s| s.recv_from(&mut bytes)) else {
                return;
            };
            let Ok(Message::Page(page)) = wire::decode_any_fleet(&bytes[..len]) else {
                continue;
            };
            let mut queried = self.membership.queries.keys().copied();
            if let Some(host) = queried.find(|h| self.addresses.membership_listen(*h) == address) {
                self.on_page(host, page);
            }
        }
    }

    fn on_page(&mut self, host: u32, page: MembershipPage) {
        let Some(mut query) = self.membership.queries.remove(&host) else {
            return;
        };
        let table = &mut query.table;
        table.host = page.host.to_string();
        (table.isolated, table.superseded, table.digest) =
            (page.isolated, page.superseded, page.digest);
        table.members.extend(page.members);
        if let Some(next) = page.next_id {
            self.membership.queries.insert(host, query);
            return self.send_from_stranger(host, &wire::encode_query(next));
        }
        let Query {
            requested_at,
            table,
        } = query;
        let members = sampled_members(&table);
        self.membership.samples.push(MembershipSample {
            requested_at,
            host,
            digest: table.digest,
            members,
        });
        self.membership.views.insert(
            host,
            MembershipView {
                requested_at,
                table,
            },
        );
    }

    /// Returns the last membership table that a host reported.
    pub fn last_view(&self, host: u32) -> Option<&MembershipView> {
        self.membership.views.get(&host)
    }
}

fn sampled_members(table: &MembershipSnapshot) -> Vec<SampledMember> {
    let number = |name: &str| name.strip_prefix('n').and_then(|n| n.parse().ok());
    let members = table.members.iter().filter_map(|m| {
        let host = number(&m.record.name)?;
        Some(SampledMember {
            host,
            state: m.state,
            generation: m.record.generation,
        })
    });
    members.collect()
}
