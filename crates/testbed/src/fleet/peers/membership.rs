//! Datagrams between hosts, and what hosts report of their membership tables. Hosts advertise an address at which the
//! testbed listens: what arrives there passes the link's fault and is forwarded from the sender's advertised address.
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

/// Datagrams in flight; further ones are lost, as on a congested network.
const MAX_IN_FLIGHT: usize = 16_384;
/// Port of the socket that queries membership tables.
const PORT_OBSERVER: u16 = 7200;
/// Datagrams read from one socket in one event.
const MAX_DATAGRAMS_PER_EVENT: usize = 256;
/// A query without a page for so long is given up.
const QUERY_TIMEOUT: Micros = 400_000;
/// First token of datagram sockets, above those of all connections.
pub(super) const FIRST_DATAGRAM_TOKEN: usize = 1 << 40;

struct Datagram {
    to: u32,
    from: u32,
    bytes: Vec<u8>,
}

/// A query of a host's table under way.
struct Query {
    requested_at: Micros,
    table: MembershipSnapshot,
}

/// A host's membership table as it reported it.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// When it was requested.
    pub requested_at: Micros,
    /// The table.
    pub table: MembershipSnapshot,
}

/// The links between hosts, and their membership tables.
#[derive(Default)]
pub struct MembershipLinks {
    sockets: Vec<UdpSocket>,
    observer: Option<UdpSocket>,
    in_flight: Slab<Datagram>,
    queries: BTreeMap<u32, Query>,
    /// The last table of each host.
    views: BTreeMap<u32, MembershipView>,
    /// All tables in summary.
    pub samples: Vec<MembershipSample>,
    /// Datagrams lost by faults.
    pub lost: u64,
    /// Bytes that each host sent.
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

    /// Datagrams have arrived at the socket of a host, or of the observer behind them.
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
        // More may wait, which an edge-triggered poll would not report again.
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
            let place = self.membership.in_flight.insert(Datagram {
                to,
                from,
                bytes: bytes.to_vec(),
            });
            if fault.latency + jitter == 0 {
                self.deliver_datagram(place);
            } else {
                self.timers
                    .push(Reverse((at, Timer::DeliverDatagram(place))));
            }
        }
    }

    /// How many copies of a datagram arrive.
    fn draw_copies(&mut self, fault: &LinkFault) -> u32 {
        if fault.loss > 0.0 && self.rng.random_bool(fault.loss) {
            0
        } else if fault.duplication > 0.0 && self.rng.random_bool(fault.duplication) {
            2
        } else {
            1
        }
    }

    pub(super) fn deliver_datagram(&mut self, place: u32) {
        let Some(Datagram { to, from, bytes }) = self.membership.in_flight.remove(place) else {
            return;
        };
        let address = self.addresses.membership_listen(to);
        if let Some(socket) = self.membership.sockets.get(from as usize) {
            let _ = socket.send_to(&bytes, address);
        }
    }

    /// Sends a host bytes from an address that is no member's.
    pub fn send_from_stranger(&mut self, to: u32, bytes: &[u8]) {
        let address = self.addresses.membership_listen(to);
        if let Some(observer) = &self.membership.observer {
            let _ = observer.send_to(bytes, address);
        }
    }

    /// Queries a host's membership table, unless a query is under way.
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

    /// The last membership table that a host reported.
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
