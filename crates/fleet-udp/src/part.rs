//! A host's part in the view of its fleet, on a UDP socket of its loop.
use mallowseam_fleet::settings::Place;
use mallowseam_fleet::wire::MOST;
use mallowseam_fleet::word::Facts;
use mallowseam_fleet::{Carrier, Change, Fleet, Millis, State};
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

impl Carrier for Out<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that finds no room is lost, as on any way.
        if self.socket.send_to(bytes, to).is_err() {
            *self.unsent += 1;
        }
    }

    fn changed(&mut self, change: Change) {
        self.log.change(change, self.now);
    }
}

impl Log {
    fn change(&mut self, change: Change, now: Millis) {
        self.turn(now);
        match change {
            // What touches this host itself is said whatever else is going on.
            Change::Displaced { address } => {
                tracing::error!(%address, "another process has this host's name and started later: this one takes no more part in the fleet's view, and goes on serving");
            }
            Change::Alone(true) => tracing::warn!("no other host of the fleet is heard any more"),
            Change::Alone(false) => tracing::info!("other hosts of the fleet are heard again"),
            Change::Member { name, address, was, now, .. } => {
                // A member that only says something new of itself is no news for the log.
                if was != Some(now) && self.room(now.name()) {
                    let was = was.map_or("unknown", State::name);
                    tracing::info!(member = %name, %address, was, now = now.name(), "fleet");
                }
            }
            Change::Forgot { name } if self.room("forgotten") => {
                tracing::info!(member = %name, "given up after its time out of reach");
            }
            Change::Forgot { .. } => {}
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

pub struct Part {
    socket: UdpSocket,
    listen: SocketAddr,
    fleet: Fleet,
    start: Instant,
    log: Log,
    unsent: u64,
    scratch: [u8; MOST + 1],
}

impl Part {
    /// Opens its socket and begins to take part.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn open(registry: &Registry, token: Token, place: Place) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(place.listen)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let Place { listen, settings } = place;
        tracing::info!(%listen, reached_at = %settings.address, fleet = %settings.fleet, seeds = settings.seeds.len(), "takes part in the fleet's view");
        let fleet = Fleet::new(settings, rand::random(), 0, unix);
        let log = Log::default();
        Ok(Part { socket, listen, fleet, start: Instant::now(), log, unsent: 0, scratch: [0; MOST + 1] })
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn with(&mut self, act: impl FnOnce(&mut Fleet, Millis, &mut dyn Carrier)) {
        let now = self.now();
        let Part { socket, fleet, log, unsent, .. } = self;
        act(fleet, now, &mut Out { socket, unsent, log, now });
    }

    /// Milliseconds until it wants to be called.
    pub fn due(&self) -> Millis {
        self.fleet.due().saturating_sub(self.now())
    }

    /// What is due by time. To be called before `heard`: a host that was stopped knows it by that.
    pub fn tick(&mut self) {
        let now = self.now();
        if now >= self.fleet.due() {
            self.log.turn(now);
            self.with(|f, now, out| f.tick(now, out));
        }
    }

    /// The socket has something. True: there may be more.
    pub fn heard(&mut self) -> bool {
        for _ in 0..ROUND {
            match self.socket.recv_from(&mut self.scratch) {
                Ok((len, from)) => {
                    let bytes = self.scratch;
                    self.with(|f, now, out| f.heard(from, &bytes[..len], now, out));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Word that an earlier datagram found nobody.
                Err(_) => {}
            }
        }
        true
    }

    pub fn facts(&mut self, facts: Facts) {
        self.with(|f, now, out| f.facts(facts, now, out));
    }

    /// Told to end; `over`: this process is at its end.
    pub fn leave(&mut self, over: bool) {
        self.with(|f, now, out| f.leave(over, now, out));
    }

    /// A new configuration: seeds are taken up; all else needs a new start.
    pub fn reload(&mut self, place: Option<Place>) {
        match place {
            Some(place) if place.listen == self.listen => self.fleet.seeds(place.settings.seeds),
            _ => tracing::warn!("another place in the fleet's view needs a new start"),
        }
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Datagrams that found no room on their way out.
    pub fn unsent(&self) -> u64 {
        self.unsent
    }
}
