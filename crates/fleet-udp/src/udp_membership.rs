//! A host's part in the view of its fleet, on a UDP socket of its loop.
use mallowseam_fleet::config::FleetConfig;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet::wire::MAX_DATAGRAM_BYTES;
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Datagrams read in one turn of the loop; the rest wait at the socket, which drops what comes on top.
const ROUND: usize = 64;
/// Changes written to the log one by one in a second; what comes on top is counted into one line.
const LINES: u32 = 8;
const SECOND: Millis = 1_000;

/// Log lines of changes, bounded whatever happens.
#[derive(Default)]
struct Log {
    since: Millis,
    lines: u32,
    more: BTreeMap<&'static str, u32>,
}

struct Out<'a> {
    socket: &'a UdpSocket,
    unsent: &'a mut u64,
    log: &'a mut Log,
    now: Millis,
}

impl ActionSink for Out<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that finds no room is lost, as on any way.
        if self.socket.send_to(bytes, to).is_err() {
            *self.unsent += 1;
        }
    }

    fn notify(&mut self, change: MembershipEvent) {
        self.log.change(change, self.now);
    }
}

impl Log {
    fn change(&mut self, change: MembershipEvent, now: Millis) {
        self.turn(now);
        match change {
            // What touches this host itself is said whatever else is going on.
            MembershipEvent::Superseded { address } => {
                tracing::error!(%address, "another process has this host's name and started later: this one takes no more part in the fleet's view, and goes on serving");
            }
            MembershipEvent::IsolationStarted => {
                tracing::warn!("no other host of the fleet is heard any more")
            }
            MembershipEvent::IsolationEnded => tracing::info!("other hosts of the fleet are heard again"),
            MembershipEvent::MemberUpdated { name, address, previous, current, .. } => {
                // A member that only says something new of itself is no news for the log.
                if previous != Some(current) && self.room(current.as_str()) {
                    let previous = previous.map_or("unknown", MemberState::as_str);
                    tracing::info!(member = %name, %address, was = previous, now = current.as_str(), "fleet");
                }
            }
            MembershipEvent::MemberForgotten { name } if self.room("forgotten") => {
                tracing::info!(member = %name, "given up after its time out of reach");
            }
            MembershipEvent::MemberForgotten { .. } => {}
        }
    }

    /// Whether there is room for one more line this second; else it is counted.
    fn room(&mut self, kind: &'static str) -> bool {
        self.lines += 1;
        let room = self.lines <= LINES;
        if !room {
            *self.more.entry(kind).or_default() += 1;
        }
        room
    }

    fn turn(&mut self, now: Millis) {
        if now >= self.since + SECOND {
            (self.since, self.lines) = (now, 0);
            if !self.more.is_empty() {
                tracing::info!(changes = ?std::mem::take(&mut self.more), "fleet, further changes");
            }
        }
    }
}

pub struct UdpMembership {
    socket: UdpSocket,
    listen: SocketAddr,
    membership: Membership,
    start: Instant,
    log: Log,
    unsent: u64,
    scratch: [u8; MAX_DATAGRAM_BYTES + 1],
}

impl UdpMembership {
    /// Opens its socket and begins to take part.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn open(registry: &Registry, token: Token, config: FleetConfig) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(config.listen)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let FleetConfig { listen, membership: config } = config;
        tracing::info!(%listen, reached_at = %config.address, fleet = %config.fleet, seeds = config.seeds.len(), "takes part in the fleet's view");
        let membership = Membership::new(config, rand::random(), 0, unix);
        let log = Log::default();
        Ok(UdpMembership {
            socket,
            listen,
            membership,
            start: Instant::now(),
            log,
            unsent: 0,
            scratch: [0; MAX_DATAGRAM_BYTES + 1],
        })
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn with(&mut self, act: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink)) {
        let now = self.now();
        let UdpMembership { socket, membership, log, unsent, .. } = self;
        act(membership, now, &mut Out { socket, unsent, log, now });
    }

    /// Milliseconds until it wants to be called.
    pub fn millis_until_tick(&self) -> Millis {
        self.membership.next_tick().saturating_sub(self.now())
    }

    /// What is due by time. To be called before `heard`: a host that was stopped knows it by that.
    pub fn tick(&mut self) {
        let now = self.now();
        if now >= self.membership.next_tick() {
            self.log.turn(now);
            self.with(|f, now, out| f.tick(now, out));
        }
    }

    /// The socket has something. True: there may be more.
    pub fn on_readable(&mut self) -> bool {
        for _ in 0..ROUND {
            match self.socket.recv_from(&mut self.scratch) {
                Ok((len, from)) => {
                    let bytes = self.scratch;
                    self.with(|f, now, out| f.receive(from, &bytes[..len], now, out));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Word that an earlier datagram found nobody.
                Err(_) => {}
            }
        }
        true
    }

    pub fn set_active_versions(&mut self, versions: ActiveVersions) {
        self.with(|f, now, out| f.set_active_versions(versions, now, out));
    }

    /// Tells other members that this host shuts down gracefully and still serves.
    pub fn announce_leaving(&mut self) {
        self.with(|f, now, out| f.announce_leaving(now, out));
    }

    /// Tells other members that this process ends.
    pub fn announce_left(&mut self) {
        self.with(|f, now, out| f.announce_left(now, out));
    }

    /// A new configuration: seeds are taken up; all else needs a new start.
    pub fn reload(&mut self, config: Option<FleetConfig>) {
        match config {
            Some(config) if config.listen == self.listen => {
                self.membership.set_seeds(config.membership.seeds)
            }
            _ => tracing::warn!("another place in the fleet's view needs a new start"),
        }
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Datagrams that found no room on their way out.
    pub fn send_failures(&self) -> u64 {
        self.unsent
    }
}
