//! Hosts' parts in a fleet's view on a network of figures: delay, loss, cuts one way and both, stops, kills. Simulated
//! time, seeded; thousands of hosts.
use mallowseam_fleet::settings::Settings;
use mallowseam_fleet::word::{Name, Zone};
use mallowseam_fleet::{Carrier, Change, Fleet, Millis, State};
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
    fleet: Option<Fleet>,
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
    pub settings: Settings,
    rng: Pcg64Mcg,
    pub datagrams: u64,
    pub bytes: u64,
    /// What each host's view heard, with the time.
    pub heard: Vec<(Millis, usize, Change)>,
    pub keep_changes: bool,
}

struct Out<'a> {
    sent: &'a mut Vec<(SocketAddr, Vec<u8>)>,
    changes: &'a mut Vec<Change>,
}

impl Carrier for Out<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.sent.push((to, bytes.to_vec()));
    }
    fn changed(&mut self, change: Change) {
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
        let mut settings = Settings::new(fleet, Name::new(), address(0));
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
        let mut settings = Settings { name: name(named), address: address(host), ..self.settings.clone() };
        settings.zone = Zone::try_from(format!("z{}", host % zones).as_str()).unwrap_or_default();
        let fleet = Fleet::new(settings, self.rng.random(), self.now, STARTED + self.now);
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
        self.with(host, |f, now, out| f.leave(over, now, out));
    }

    pub fn stop(&mut self, host: usize, span: Millis) {
        self.hosts[host].stopped = self.now + span;
    }

    pub fn side(&mut self, host: usize, side: u32) {
        self.hosts[host].side = side;
    }

    pub fn fleet(&self, host: usize) -> Option<&Fleet> {
        self.hosts[host].fleet.as_ref()
    }

    pub fn fleet_mut(&mut self, host: usize) -> Option<&mut Fleet> {
        self.hosts[host].fleet.as_mut()
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|h| self.hosts[*h].fleet.is_some())
    }

    pub fn stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped > self.now
    }

    /// How a host sees another one.
    pub fn sees(&self, host: usize, other: usize) -> Option<State> {
        let other = name(other);
        self.fleet(host)?.view().find(|(w, _)| w.name == other).map(|(_, s)| s)
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn with(&mut self, host: usize, act: impl FnOnce(&mut Fleet, Millis, &mut dyn Carrier)) {
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
                self.with(to, |f, now, out| f.heard(address(from), &bytes, now, out));
            }
            Event::Tick { host, life } if life == self.hosts[host].life => {
                self.with(host, |f, now, out| f.tick(now, out));
                if let Some(due) = self.hosts[host].fleet.as_ref().map(Fleet::due) {
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
        let up = |f: &Fleet| {
            let mut up: Vec<Name> =
                f.view().filter(|(_, s)| *s == State::Alive).map(|(w, _)| w.name.clone()).collect();
            up.sort();
            up
        };
        let doubted =
            |f: &Fleet| f.view().any(|(_, s)| matches!(s, State::Suspect | State::Joining | State::Leaving));
        // Sums last: where it has not settled, some host shows it before all are reckoned.
        let mut fleets = self.running().filter_map(|h| self.fleet(h));
        if !fleets.all(|f| !doubted(f) && up(f) == running) {
            return false;
        }
        let mut sums = self.running().filter_map(|h| self.fleet(h)).map(Fleet::sum);
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
mod tests {
    use super::*;

    fn five(seed: u64) -> Net {
        let mut net = Net::new(5, 2, 2, seed);
        (0..5).for_each(|h| net.start(h));
        assert!(net.settles(10_000).is_some(), "five start");
        net
    }

    #[test]
    fn five_that_start_at_once_see_each_other_and_one_that_is_killed_is_out_of_reach_for_all() {
        for seed in 0..20 {
            let mut net = five(seed);
            net.kill(3);
            let took = net.settles(60_000).expect("all see it");
            assert!(took >= 5_000, "{took}");
            assert!((0..3).all(|h| net.sees(h, 3) == Some(State::Unreachable)));
        }
    }

    #[test]
    fn one_that_ends_is_seen_as_leaving_at_once_and_one_that_starts_again_as_alive() {
        for seed in 0..20 {
            let mut net = five(seed);
            net.leave(2, false);
            net.until(net.now + 50);
            assert!([0, 1, 3, 4].iter().all(|h| net.sees(*h, 2) == Some(State::Leaving)), "seed {seed}");
            net.leave(2, true);
            net.until(net.now + 50);
            net.kill(2);
            assert!([0, 1, 3, 4].iter().all(|h| net.sees(*h, 2) == Some(State::Left)), "seed {seed}");
            net.start(2);
            assert!(net.settles(20_000).is_some(), "seed {seed}");
        }
    }

    #[test]
    fn two_sides_of_a_partition_find_each_other_without_seeds() {
        for seed in 0..20 {
            let mut net = five(seed);
            (0..5).for_each(|h| net.side(h, (h as u32) % 2));
            net.until(net.now + 120_000);
            assert_eq!(net.sees(0, 1), Some(State::Unreachable), "seed {seed}");
            (0..5).for_each(|h| {
                net.side(h, 0);
                net.fleet_mut(h).expect("up").seeds(Vec::new());
            });
            assert!(net.settles(90_000).is_some(), "seed {seed}");
        }
    }

    #[test]
    fn a_host_that_was_cut_off_does_not_say_that_all_others_were_dead() {
        for seed in 0..20 {
            let mut net = five(seed);
            net.side(4, 1);
            net.until(net.now + 60_000);
            assert!(net.fleet(4).is_some_and(Fleet::alone), "seed {seed}");
            net.heard.clear();
            net.side(4, 0);
            assert!(net.settles(90_000).is_some(), "seed {seed}");
            let wrong = |c: &Change| matches!(c, Change::Member { name: n, now: State::Suspect | State::Unreachable, .. } if *n != name(4));
            let wrong: Vec<_> = net.heard.iter().filter(|(_, h, c)| *h != 4 && wrong(c)).collect();
            assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        }
    }

    #[test]
    fn of_two_under_one_name_the_later_one_stays_and_an_earlier_life_ahead_of_time_does_not_stand_in_the_way()
    {
        for seed in 0..20 {
            let mut net = Net::new(6, 2, 2, seed);
            (0..5).for_each(|h| net.start(h));
            net.until(10_000);
            net.start_as(5, 3);
            net.until(net.now + 20_000);
            assert_eq!(net.fleet(3).and_then(Fleet::displaced), Some(address(5)), "seed {seed}");
            assert_eq!(net.fleet(5).and_then(Fleet::displaced), None, "seed {seed}");
            let at = |h: usize| {
                net.fleet(h).and_then(|f| f.view().find(|(w, _)| w.name == name(3)).map(|(w, _)| w.address))
            };
            assert!([0, 1, 2, 4].iter().all(|h| at(*h) == Some(address(5))), "seed {seed}");
        }
    }

    #[test]
    fn a_host_that_was_stopped_for_five_seconds_holds_nobody_for_dead_and_nobody_holds_it() {
        for seed in 0..20 {
            let mut net = five(seed);
            net.heard.clear();
            net.stop(1, 5_000);
            net.until(net.now + 30_000);
            let out = |c: &Change| matches!(c, Change::Member { now: State::Unreachable, .. });
            assert!(!net.heard.iter().any(|(_, _, c)| out(c)), "seed {seed}: {:?}", net.heard);
            assert!(net.settled(), "seed {seed}");
        }
    }

    #[test]
    fn ways_slower_than_a_period_make_false_words_and_ways_of_less_than_half_of_it_make_none() {
        let false_words = |period| {
            let mut net = Net::new(60, 3, 3, 4);
            net.settings.period = period;
            (0..60).for_each(|h| net.start(h));
            assert!(net.settles(100 * period).is_some());
            net.heard.clear();
            net.delay = (300, 100);
            net.until(net.now + 60 * period);
            let out = |c: &Change| matches!(c, Change::Member { now: State::Unreachable, .. });
            net.heard.iter().filter(|(_, _, c)| out(c)).count()
        };
        assert_eq!(false_words(1_000), 0);
        let slow = false_words(250);
        assert!(slow > 0, "{slow}");
    }
}
