//! Faults of the links between peers. Each direction of a link has its own fault, which may change while bytes are in
//! flight.
use mallowseam_audit::membership::{HostLinks, LinkCondition};
use mallowseam_audit::trace::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Size of the buffer of one direction of a connection, in bytes. When it is full, nothing more is read from the
/// sender, as with a full TCP window.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Peer at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// A host, by its index.
    Host(u32),
    /// A node, by its index.
    Node(u32),
    /// A discovery service, by its index. Hosts may be redirected from the first to the second one.
    List(u32),
    /// All clients.
    Clients,
}

/// Set of peers at one end of faulty links.
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
    /// Hosts from the first index up to, but excluding, the second.
    HostRange(u32, u32),
    /// Nodes from the first index up to, but excluding, the second.
    NodeRange(u32, u32),
}

impl PeerSet {
    /// Returns whether the set contains a peer. Hosts and nodes are assigned to `zones` zones round-robin.
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

/// Fault of one direction of a link. The default is a link without a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Added latency in microseconds.
    pub latency: Micros,
    /// Maximum random addition to the latency, in microseconds. The bytes of a connection stay in order.
    pub jitter: Micros,
    /// Whether nothing arrives: bytes are buffered until the fault ends, and new connections are never established.
    pub blackholed: bool,
    /// Whether new connections are refused.
    pub refuses_connections: bool,
    /// Bandwidth in bytes per second; none if it is not limited.
    pub bytes_per_second: Option<f64>,
    /// Number of delivered bytes after which a connection is reset; none if it is never reset.
    pub reset_after_bytes: Option<u64>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
}

impl LinkFault {
    /// Returns whether a new message cannot pass, because the link is blackholed or refuses connections.
    pub fn blocks(&self) -> bool {
        self.blackholed || self.refuses_connections
    }
}

/// Fault of all links from one set of peers to another.
#[derive(Clone, Copy, Debug)]
struct LinkRule {
    from: PeerSet,
    to: PeerSet,
    fault: LinkFault,
}

/// Faults in force. A later fault takes precedence over earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Links {
    zones: u32,
    rules: Vec<LinkRule>,
}

impl Links {
    /// Creates links without faults, between peers in this number of zones.
    pub fn new(zones: u32) -> Self {
        Links {
            zones,
            rules: Vec::new(),
        }
    }

    /// Sets the fault of all links from one set of peers to another; the default fault heals them. Each pair of sets
    /// has at most one rule, so the number of rules is bounded by the sets that a script names.
    pub fn set(&mut self, from: PeerSet, to: PeerSet, fault: LinkFault) {
        self.rules.retain(|rule| (rule.from, rule.to) != (from, to));
        if fault != LinkFault::default() {
            self.rules.push(LinkRule { from, to, fault });
        }
    }

    /// Returns the fault of the direction from one peer to another.
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

    /// Returns the outcome of new connections from one peer to another. A handshake needs both directions.
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

/// Outcome of the attempt to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection is established.
    Accepted,
    /// The connection is refused at once.
    Refused,
    /// The attempt is never answered.
    Blackholed,
}

enum Segment {
    Bytes(Vec<u8>),
    Close,
}

/// Output of one direction of a connection.
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
    /// Segments, each with the time at which it is due.
    segments: VecDeque<(Micros, Segment)>,
    buffered_bytes: usize,
    delivered_bytes: u64,
    /// When the last segment is due. Later segments are not due before it.
    busy_until: Micros,
}

impl Pipe {
    /// Returns whether the buffer is full, so that the caller must stop reading from the sender.
    pub fn is_full(&self) -> bool {
        self.buffered_bytes >= MAX_BUFFERED_BYTES
    }

    /// Adds bytes that the sender has sent.
    pub fn push(&mut self, now: Micros, bytes: &[u8], fault: &LinkFault, rng: &mut impl Rng) {
        let transmission = fault
            .bytes_per_second
            .map_or(0, |rate| (bytes.len() as f64 / rate * 1e6) as Micros);
        self.buffered_bytes += bytes.len();
        self.enqueue(
            now,
            transmission,
            Segment::Bytes(bytes.to_vec()),
            fault,
            rng,
        );
    }

    /// Adds the sender's close of the connection, which the receiver gets after all bytes.
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
        // With limited bandwidth, transmission starts after that of the previous segments.
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

    /// Removes and returns the next segment that is due.
    pub fn poll(&mut self, now: Micros, fault: &LinkFault) -> PipeOutput {
        if fault.blackholed || self.segments.front().is_none_or(|(due, _)| *due > now) {
            return PipeOutput::Nothing;
        }
        match self.segments.pop_front() {
            Some((_, Segment::Bytes(bytes))) => self.deliver(now, bytes, fault),
            _ => PipeOutput::Closed,
        }
    }

    /// Delivers bytes, up to the number after which the fault resets the connection.
    fn deliver(&mut self, now: Micros, mut bytes: Vec<u8>, fault: &LinkFault) -> PipeOutput {
        self.buffered_bytes -= bytes.len();
        let delivered_before = self.delivered_bytes;
        self.delivered_bytes += bytes.len() as u64;
        let Some(reset_after) = fault.reset_after_bytes else {
            return PipeOutput::Bytes(bytes);
        };
        let remaining = reset_after.saturating_sub(delivered_before);
        if bytes.len() as u64 <= remaining {
            return PipeOutput::Bytes(bytes);
        }
        bytes.truncate(remaining as usize);
        if bytes.is_empty() {
            return PipeOutput::Reset;
        }
        // One more byte makes the next call reset the connection.
        self.segments.push_front((now, Segment::Bytes(vec![0])));
        self.buffered_bytes += 1;
        PipeOutput::Bytes(bytes)
    }

    /// Returns when the next segment is due, unless the link is blackholed.
    pub fn next_due(&self) -> Option<Micros> {
        self.segments.front().map(|(due, _)| *due)
    }
}
