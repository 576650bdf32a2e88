//! Faults of the links between peers. Each direction has its own, which may change while bytes are in flight.
use mallowseam_audit::membership::{HostLinks, LinkCondition};
use mallowseam_audit::trace::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Bytes that one direction of a connection buffers; beyond them nothing more is read from the sender, as with a full
/// TCP window.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// A host, by its index.
    Host(u32),
    /// A node, by its index.
    Node(u32),
    /// A discovery service, by its index; hosts may be redirected from the first to the second one.
    List(u32),
    /// All clients.
    Clients,
}

/// The peers at one end of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerSet {
    /// Every peer.
    All,
    /// Every host.
    Hosts,
    /// Every node.
    Nodes,
    /// Every discovery service.
    Lists,
    /// One peer.
    Single(Peer),
    /// Hosts and nodes of a zone.
    Zone(u32),
    /// Hosts from the first index up to, and without, the second.
    HostRange(u32, u32),
    /// Nodes from the first index up to, and without, the second.
    NodeRange(u32, u32),
}

impl PeerSet {
    /// Peers are assigned to `zones` zones round-robin.
    fn contains(self, peer: Peer, zones: u32) -> bool {
        match (self, peer) {
            (PeerSet::All, _)
            | (PeerSet::Hosts, Peer::Host(_))
            | (PeerSet::Nodes, Peer::Node(_))
            | (PeerSet::Lists, Peer::List(_)) => true,
            (PeerSet::Single(single), peer) => single == peer,
            (PeerSet::Zone(zone), Peer::Host(n) | Peer::Node(n)) => n % zones.max(1) == zone,
            (PeerSet::HostRange(start, end), Peer::Host(n))
            | (PeerSet::NodeRange(start, end), Peer::Node(n)) => (start..end).contains(&n),
            _ => false,
        }
    }
}

/// What is wrong with one direction of a link. The default is a link without a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Added latency in microseconds.
    pub latency: Micros,
    /// Upper bound of a random addition to the latency; bytes of a connection stay in order.
    pub jitter: Micros,
    /// Nothing arrives: bytes are buffered until the fault ends, and new connections are never established.
    pub blackholed: bool,
    /// New connections are refused.
    pub refuses_connections: bool,
    /// Bandwidth; 0: unlimited.
    pub bytes_per_second: f64,
    /// A connection is reset after so many bytes; 0: never.
    pub reset_after_bytes: u64,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
}

impl LinkFault {
    /// Whether a new message can't pass: the link is blackholed or refuses connections.
    pub fn blocks(&self) -> bool {
        self.blackholed || self.refuses_connections
    }
}

/// A fault on all links from one set of peers to another.
#[derive(Clone, Copy, Debug)]
struct LinkRule {
    from: PeerSet,
    to: PeerSet,
    fault: LinkFault,
}

/// The faults in force. A later one takes precedence over earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Links {
    zones: u32,
    rules: Vec<LinkRule>,
}

impl Links {
    /// No faults, with peers in so many zones.
    pub fn new(zones: u32) -> Self {
        Links {
            zones,
            rules: Vec::new(),
        }
    }

    /// Sets the fault of all links from one set of peers to another; the default fault heals them. Each pair of sets
    /// has one entry, so that the sets that a script names bound the table.
    pub fn set(&mut self, from: PeerSet, to: PeerSet, fault: LinkFault) {
        self.rules.retain(|rule| (rule.from, rule.to) != (from, to));
        if fault != LinkFault::default() {
            self.rules.push(LinkRule { from, to, fault });
        }
    }

    /// The fault of the direction from one peer to another.
    pub fn fault_between(&self, from: Peer, to: Peer) -> LinkFault {
        let applies = |rule: &&LinkRule| {
            rule.from.contains(from, self.zones) && rule.to.contains(to, self.zones)
        };
        self.rules
            .iter()
            .rev()
            .find(applies)
            .map_or_else(LinkFault::default, |rule| rule.fault)
    }

    /// What becomes of new connections from one peer to another. A handshake needs both directions.
    pub fn connect_outcome(&self, from: Peer, to: Peer) -> ConnectOutcome {
        let forward = self.fault_between(from, to);
        let backward = self.fault_between(to, from);
        if forward.blackholed || backward.blackholed {
            ConnectOutcome::Blackholed
        } else if forward.refuses_connections {
            ConnectOutcome::Refused
        } else {
            ConnectOutcome::Accepted
        }
    }
}

impl HostLinks for Links {
    fn condition(&self, from: u32, to: u32) -> LinkCondition {
        let fault = self.fault_between(Peer::Host(from), Peer::Host(to));
        LinkCondition {
            blocked: fault.blocks(),
            max_delay: fault.latency + fault.jitter,
            loss: fault.loss,
        }
    }
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It is established.
    Accepted,
    /// It is refused at once.
    Refused,
    /// It is never answered.
    Blackholed,
}

enum Segment {
    Bytes(Vec<u8>),
    Close,
}

/// What comes out of one direction of a connection.
#[derive(Debug, PartialEq)]
pub enum PipeOutput {
    /// Nothing is due.
    Nothing,
    /// Bytes for the receiver.
    Bytes(Vec<u8>),
    /// The sender has closed the connection.
    Closed,
    /// The fault resets the connection.
    Reset,
}

/// Bytes in flight in one direction of a connection.
#[derive(Default)]
pub struct Pipe {
    /// Segments and when each is due.
    segments: VecDeque<(Micros, Segment)>,
    buffered_bytes: usize,
    delivered_bytes: u64,
    /// When the last segment is due: no later one overtakes it.
    busy_until: Micros,
}

impl Pipe {
    /// Whether the buffer is full: the caller stops reading from the sender.
    pub fn is_full(&self) -> bool {
        self.buffered_bytes >= MAX_BUFFERED_BYTES
    }

    /// The sender has sent these bytes.
    pub fn push(&mut self, now: Micros, bytes: &[u8], fault: &LinkFault, rng: &mut impl Rng) {
        let transmission = if fault.bytes_per_second > 0.0 {
            (bytes.len() as f64 / fault.bytes_per_second * 1e6) as Micros
        } else {
            0
        };
        self.buffered_bytes += bytes.len();
        self.enqueue(
            now,
            transmission,
            Segment::Bytes(bytes.to_vec()),
            fault,
            rng,
        );
    }

    /// The sender has closed the connection; the receiver learns of it behind all bytes.
    pub fn close(&mut self, now: Micros, fault: &LinkFault, rng: &mut impl Rng) {
        self.enqueue(now, 0, Segment::Close, fault, rng);
    }

    fn enqueue(
        &mut self,
        now: Micros,
        transmission: Micros,
        segment: Segment,
        fault: &LinkFault,
        rng: &mut impl Rng,
    ) {
        let jitter = if fault.jitter > 0 {
            rng.random_range(0..=fault.jitter)
        } else {
            0
        };
        // With limited bandwidth, transmission starts behind the segments before.
        let start = if transmission > 0 {
            now.max(self.busy_until)
        } else {
            now
        };
        self.busy_until = self
            .busy_until
            .max(start + transmission + fault.latency + jitter);
        self.segments.push_back((self.busy_until, segment));
    }

    /// Takes the next segment that is due.
    pub fn poll(&mut self, now: Micros, fault: &LinkFault) -> PipeOutput {
        if fault.blackholed || self.segments.front().is_none_or(|(due, _)| *due > now) {
            return PipeOutput::Nothing;
        }
        match self.segments.pop_front() {
            Some((_, Segment::Bytes(bytes))) => self.deliver(now, bytes, fault),
            _ => PipeOutput::Closed,
        }
    }

    /// Delivers bytes up to the count at which the fault resets the connection.
    fn deliver(&mut self, now: Micros, mut bytes: Vec<u8>, fault: &LinkFault) -> PipeOutput {
        self.buffered_bytes -= bytes.len();
        let remaining = fault.reset_after_bytes.saturating_sub(self.delivered_bytes);
        self.delivered_bytes += bytes.len() as u64;
        if fault.reset_after_bytes == 0 || bytes.len() as u64 <= remaining {
            return PipeOutput::Bytes(bytes);
        }
        bytes.truncate(remaining as usize);
        if bytes.is_empty() {
            return PipeOutput::Reset;
        }
        // One byte beyond the count makes the next call reset the connection.
        self.segments.push_front((now, Segment::Bytes(vec![0])));
        self.buffered_bytes += 1;
        PipeOutput::Bytes(bytes)
    }

    /// When the next segment is due, unless the link is blackholed.
    pub fn next_due(&self) -> Option<Micros> {
        self.segments.front().map(|(due, _)| *due)
    }
}
