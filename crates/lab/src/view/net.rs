//! Hosts' parts in a fleet's view on a network of figures: delay, loss, cuts one way and both, stops, kills. Simulated
//! time, seeded; thousands of hosts.
use mallowseam_fleet::config::MembershipConfig;
use mallowseam_fleet::record::{Name, Zone};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

/// The way of a datagram, and what it may take longer.
const DELAY: Millis = 1;
const SPREAD: u64 = 3;
/// Unix time at which a run begins.
const STARTED: u64 = 1_700_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes { to: usize, from: usize, bytes: Vec<u8> },
    Tick { host: usize, life: u32 },
}

struct Host {
    fleet: Option<Membership>,
    life: u32,
    /// Stopped until then.
    stopped: Millis,
    /// Datagrams pass only between hosts of one side.
    side: u32,
}

pub struct Net {
    pub now: Millis,
    seq: u64,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    hosts: Vec<Host>,
    pub loss: f64,
    pub delay: (Millis, u64),
    /// Ways on which nothing passes: from, to.
    pub cut: Vec<(usize, usize)>,
    pub settings: MembershipConfig,
    rng: Pcg64Mcg,
    pub datagrams: u64,
    pub bytes: u64,
    /// What each host's view heard, with the time.
    pub heard: Vec<(Millis, usize, MembershipEvent)>,
    pub keep_changes: bool,
}

struct Out<'a> {
    sent: &'a mut Vec<(SocketAddr, Vec<u8>)>,
    changes: &'a mut Vec<MembershipEvent>,
}

impl ActionSink for Out<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.sent.push((to, bytes.to_vec()));
    }
    fn notify(&mut self, change: MembershipEvent) {
        self.changes.push(change);
    }
}

pub fn address(host: usize) -> SocketAddr {
    let n = host as u32 + 1;
    SocketAddr::from((Ipv4Addr::from(0x7f00_0000 | n), 7000))
}

fn host_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(a) => (u32::from(*a.ip()) & 0x00ff_ffff).checked_sub(1).map(|n| n as usize),
        SocketAddr::V6(_) => None,
    }
}

pub fn name(host: usize) -> Name {
    Name::try_from(format!("h{host}").as_str()).unwrap_or_default()
}

impl Net {
    /// So many hosts, none started yet; the first `seeds` of them are everybody's seeds.
    pub fn new(hosts: usize, seeds: usize, zones: usize, seed: u64) -> Self {
        let fleet = Name::try_from("model").unwrap_or_default();
        let mut settings = MembershipConfig::new(fleet, Name::new(), address(0));
        settings.seeds = (0..seeds).map(address).collect();
        let host = |_| Host { fleet: None, life: 0, stopped: 0, side: 0 };
        let mut net = Net {
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            hosts: (0..hosts).map(host).collect(),
            loss: 0.0,
            delay: (DELAY, SPREAD),
            cut: Vec::new(),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            datagrams: 0,
            bytes: 0,
            heard: Vec::new(),
            keep_changes: true,
        };
        net.settings.zone = Zone::try_from(format!("{zones}").as_str()).unwrap_or_default();
        net
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub fn start(&mut self, host: usize) {
        self.start_as(host, host);
    }

    /// Starts a host under another one's name: two processes that think they are the same.
    pub fn start_as(&mut self, host: usize, named: usize) {
        let zones = self.settings.zone.parse::<usize>().unwrap_or(1).max(1);
        let mut settings =
            MembershipConfig { name: name(named), address: address(host), ..self.settings.clone() };
        settings.zone = Zone::try_from(format!("z{}", host % zones).as_str()).unwrap_or_default();
        let fleet = Membership::new(settings, self.rng.random(), self.now, STARTED + self.now);
        let place = &mut self.hosts[host];
        place.life += 1;
        (place.fleet, place.stopped) = (Some(fleet), 0);
        let life = place.life;
        self.push(self.now, Event::Tick { host, life });
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].fleet = None;
        self.hosts[host].life += 1;
    }

    /// Told to end; it is gone after half a second.
    pub fn leave(&mut self, host: usize, over: bool) {
        self.with(host, |f, now, out| match over {
            true => f.announce_left(now, out),
            false => f.announce_leaving(now, out),
        });
    }

    pub fn stop(&mut self, host: usize, span: Millis) {
        self.hosts[host].stopped = self.now + span;
    }

    pub fn side(&mut self, host: usize, side: u32) {
        self.hosts[host].side = side;
    }

    pub fn fleet(&self, host: usize) -> Option<&Membership> {
        self.hosts[host].fleet.as_ref()
    }

    pub fn fleet_mut(&mut self, host: usize) -> Option<&mut Membership> {
        self.hosts[host].fleet.as_mut()
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|h| self.hosts[*h].fleet.is_some())
    }

    pub fn stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped > self.now
    }

    /// How a host sees another one.
    pub fn sees(&self, host: usize, other: usize) -> Option<MemberState> {
        let other = name(other);
        self.fleet(host)?.members().find(|(w, _)| w.name == other).map(|(_, s)| s)
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn with(&mut self, host: usize, act: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink)) {
        let (mut sent, mut changes) = (Vec::new(), Vec::new());
        let now = self.now;
        let Some(fleet) = &mut self.hosts[host].fleet else { return };
        act(fleet, now, &mut Out { sent: &mut sent, changes: &mut changes });
        if self.keep_changes {
            self.heard.extend(changes.into_iter().map(|c| (now, host, c)));
        }
        for (to, bytes) in sent {
            self.datagrams += 1;
            self.bytes += bytes.len() as u64;
            let Some(to) = host_of(to).filter(|t| *t < self.hosts.len()) else { continue };
            let passes = self.hosts[host].side == self.hosts[to].side && !self.cut.contains(&(host, to));
            if !passes || self.loss > 0.0 && self.rng.random_bool(self.loss) {
                continue;
            }
            let at = now + self.delay.0 + self.rng.random_range(0..=self.delay.1);
            self.push(at, Event::Comes { to, from: host, bytes });
        }
    }

    /// Goes on until a time.
    pub fn until(&mut self, end: Millis) {
        while self.events.peek().is_some_and(|e| e.0.0 <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = self.now.max(at);
            self.happens(event);
        }
        self.now = self.now.max(end);
    }

    fn happens(&mut self, event: Event) {
        let (Event::Comes { to: host, .. } | Event::Tick { host, .. }) = event;
        let stopped = self.hosts[host].stopped;
        if stopped > self.now {
            return self.push(stopped, event);
        }
        match event {
            Event::Comes { to, from, bytes } => {
                self.with(to, |f, now, out| f.receive(address(from), &bytes, now, out));
            }
            Event::Tick { host, life } if life == self.hosts[host].life => {
                self.with(host, |f, now, out| f.tick(now, out));
                if let Some(due) = self.hosts[host].fleet.as_ref().map(Membership::next_tick) {
                    self.push(due.max(self.now + 1), Event::Tick { host, life });
                }
            }
            Event::Tick { .. } => {}
        }
    }

    /// Whether all running hosts hold the same view, in which just they are up.
    pub fn settled(&self) -> bool {
        let mut running: Vec<Name> = self.running().map(name).collect();
        running.sort();
        let up = |f: &Membership| {
            let mut up: Vec<Name> =
                f.members().filter(|(_, s)| *s == MemberState::Alive).map(|(w, _)| w.name.clone()).collect();
            up.sort();
            up
        };
        let doubted = |f: &Membership| {
            f.members()
                .any(|(_, s)| matches!(s, MemberState::Suspect | MemberState::Joining | MemberState::Leaving))
        };
        // Sums last: where it has not settled, some host shows it before all are reckoned.
        let mut fleets = self.running().filter_map(|h| self.fleet(h));
        if !fleets.all(|f| !doubted(f) && up(f) == running) {
            return false;
        }
        let mut sums = self.running().filter_map(|h| self.fleet(h)).map(Membership::digest);
        let first = sums.next();
        sums.all(|s| Some(s) == first)
    }

    /// Goes on until the view has settled, so long at most: how long it took.
    pub fn settles(&mut self, most: Millis) -> Option<Millis> {
        let from = self.now;
        while self.now < from + most {
            if self.settled() {
                return Some(self.now - from);
            }
            self.until(self.now + 100);
        }
        self.settled().then(|| self.now - from)
    }
}

#[cfg(test)]
mod tests;
