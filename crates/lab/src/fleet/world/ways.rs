//! The ways between hosts, by datagrams, and what hosts tell of their views. Others reach a host at an address that is
//! kept here for it: what comes there passes with the fault of that pair and direction, and goes on from the address at
//! which the sender is reached.
use super::*;
use mallowseam_fleet::MemberState;
use mallowseam_fleet::wire::{self as fleet_wire, MAX_DATAGRAM_BYTES, MembershipPage, Message};
use mallowseam_fleet_udp::MembershipSnapshot;
use mio::net::UdpSocket;
use rand::RngExt;

/// Datagrams under way at most; what comes on top is lost, as on a crowded network.
const UNDER_WAY: usize = 16_384;
const PORT_EYE: u16 = 7200;
/// Datagrams read from one socket in one turn.
const ROUND: usize = 256;
/// A look that has brought no page for so long is given up.
const LOOK_LOST: Micros = 400_000;
/// First token of datagram sockets, past all connections.
pub(super) const TOKENS: usize = 1 << 40;

pub(super) struct Datagram {
    to: u32,
    from: u32,
    bytes: Vec<u8>,
}

/// A look at a host's view under way.
struct Looking {
    since: Micros,
    view: MembershipSnapshot,
}

/// A host's view as it was told, when it was asked for, and when its last page came.
#[derive(Clone, Debug)]
pub struct Viewed {
    pub asked: Micros,
    pub at: Micros,
    pub host: u32,
    pub view: MembershipSnapshot,
}

/// What a view held, in short: members by their numbers, with generations.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub asked: Micros,
    pub host: u32,
    pub sum: u64,
    pub members: Vec<(u32, MemberState, u64)>,
}

#[derive(Default)]
pub struct Ways {
    sockets: Vec<UdpSocket>,
    eye: Option<UdpSocket>,
    pub(super) under_way: Slab<Datagram>,
    looking: BTreeMap<u32, Looking>,
    /// The last look at each host, and what all looks showed.
    pub last: BTreeMap<u32, Viewed>,
    pub held: Vec<Held>,
    /// What passed, what was lost by faults, and bytes that each host sent.
    pub passed: u64,
    pub lost: u64,
    pub bytes: Vec<u64>,
}

impl World {
    pub(super) fn open_ways(&mut self) -> Result<(), String> {
        for host in 0..self.scene.hosts {
            let address = self.addresses.way(host);
            let mut socket = UdpSocket::bind(address).map_err(failed(address))?;
            let token = Token(TOKENS + host as usize);
            self.poll.registry().register(&mut socket, token, Interest::READABLE).map_err(failed("poll"))?;
            self.ways_udp.sockets.push(socket);
        }
        let address = self.addresses.of(0, PORT_EYE);
        let mut eye = UdpSocket::bind(address).map_err(failed(address))?;
        let token = Token(TOKENS + self.scene.hosts as usize);
        self.poll.registry().register(&mut eye, token, Interest::READABLE).map_err(failed("poll"))?;
        self.ways_udp.eye = Some(eye);
        self.ways_udp.bytes = vec![0; self.scene.hosts as usize];
        Ok(())
    }

    pub(super) fn datagrams(&mut self, to: usize) {
        if to == self.scene.hosts as usize {
            return self.pages();
        }
        for _ in 0..ROUND {
            let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
            let Some(Ok((len, from))) = self.ways_udp.sockets.get(to).map(|s| s.recv_from(&mut bytes)) else {
                return;
            };
            let of = |h: &u32| self.addresses.fleet(*h) == from;
            // The address says which host it is.
            let guess = match from {
                SocketAddr::V4(a) => {
                    u32::from(a.ip().octets()[2] - 1) * 250 + u32::from(a.ip().octets()[3]) - 1
                }
                SocketAddr::V6(_) => continue,
            };
            let Some(from) = Some(guess).filter(of) else { continue };
            self.under_way(from, to as u32, &bytes[..len]);
        }
        // More may wait.
        let token = Token(TOKENS + to);
        if let Some(socket) = self.ways_udp.sockets.get_mut(to) {
            let _ = self.poll.registry().reregister(socket, token, Interest::READABLE);
        }
    }

    fn under_way(&mut self, from: u32, to: u32, bytes: &[u8]) {
        let fault = self.links.of(Party::Host(from), Party::Host(to));
        self.ways_udp.bytes[from as usize] += bytes.len() as u64;
        let mut times = 1;
        if fault.loss > 0.0 && self.rng.random_bool(fault.loss) {
            times = 0;
        } else if fault.repeats > 0.0 && self.rng.random_bool(fault.repeats) {
            times = 2;
        }
        if fault.silent || fault.refuses || times == 0 || self.ways_udp.under_way.len() >= UNDER_WAY {
            self.ways_udp.lost += 1;
            return;
        }
        for _ in 0..times {
            let spread = if fault.spread > 0 { self.rng.random_range(0..=fault.spread) } else { 0 };
            let at = self.now() + fault.delay + spread;
            let place = self.ways_udp.under_way.insert(Datagram { to, from, bytes: bytes.to_vec() });
            match fault.delay + spread {
                0 => self.arrives(place),
                _ => self.due.push(Reverse((at, Due::Datagram(place)))),
            }
        }
    }

    pub(super) fn arrives(&mut self, place: u32) {
        let Some(Datagram { to, from, bytes }) = self.ways_udp.under_way.remove(place) else { return };
        self.ways_udp.passed += 1;
        let to = self.addresses.fleet(to);
        if let Some(socket) = self.ways_udp.sockets.get(from as usize) {
            let _ = socket.send_to(&bytes, to);
        }
    }

    /// Sends a host something that no host made.
    pub fn noise(&mut self, to: u32, bytes: &[u8]) {
        let to = self.addresses.fleet(to);
        if let Some(eye) = &self.ways_udp.eye {
            let _ = eye.send_to(bytes, to);
        }
    }

    /// Asks a host for its view, unless that is being done.
    pub fn look_at(&mut self, host: u32) {
        let now = self.now();
        if self.ways_udp.looking.get(&host).is_some_and(|l| now < l.since + LOOK_LOST) {
            return;
        }
        let view = MembershipSnapshot {
            host: String::new(),
            isolated: false,
            superseded: false,
            digest: 0,
            members: Vec::new(),
        };
        self.ways_udp.looking.insert(host, Looking { since: now, view });
        self.noise(host, &fleet_wire::encode_query(0));
    }

    fn pages(&mut self) {
        for _ in 0..ROUND {
            let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
            let Some(Ok((len, from))) = self.ways_udp.eye.as_ref().map(|s| s.recv_from(&mut bytes)) else {
                return;
            };
            let Ok(Message::Page(page)) = fleet_wire::decode_any_fleet(&bytes[..len]) else { continue };
            let host = self.ways_udp.looking.keys().copied().find(|h| self.addresses.fleet(*h) == from);
            if let Some(host) = host {
                self.page(host, page);
            }
        }
    }

    fn page(&mut self, host: u32, page: MembershipPage) {
        let Some(mut looking) = self.ways_udp.looking.remove(&host) else { return };
        let view = &mut looking.view;
        view.host = page.host.as_str().to_owned();
        (view.isolated, view.superseded, view.digest) = (page.isolated, page.superseded, page.digest);
        view.members.extend(page.members);
        match page.next_id {
            Some(next) => {
                self.ways_udp.looking.insert(host, looking);
                self.noise(host, &fleet_wire::encode_query(next));
            }
            None => {
                let (at, asked) = (self.now(), looking.since);
                let number = |name: &str| name.strip_prefix('n').and_then(|n| n.parse().ok());
                let members = looking.view.members.iter();
                let members =
                    members.filter_map(|m| Some((number(&m.record.name)?, m.state, m.record.generation)));
                let (sum, members) = (looking.view.digest, members.collect());
                self.ways_udp.held.push(Held { asked, host, sum, members });
                self.ways_udp.last.insert(host, Viewed { asked, at, host, view: looking.view });
            }
        }
    }

    /// The last view that a host told.
    pub fn view(&self, host: u32) -> Option<&Viewed> {
        self.ways_udp.last.get(&host)
    }
}
