//! Holds what hosts told of their views against what was done to them: settled in the end, nobody wrongly held for
//! dead, nobody killed and not seen, nobody back from the dead. Knows nothing of the program's insides.
use super::links::{Links, Party};
use super::record::{End, Seen, What};
use super::scene::{Scene, Trouble};
use super::world::Held;
use crate::trace::Micros;
use mallowseam_fleet::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Periods until one view (docs/fleet.md): T(N).
pub fn settles_within(hosts: u32) -> f64 {
    100.0 + 20.0 * f64::from(hosts.max(10)).log10()
}

/// Periods until a killed host is out of reach for all: a suspicion that nobody confirms, and the way there.
pub fn seen_within(hosts: u32) -> f64 {
    15.0 * f64::from(hosts.max(10)).log10() + 20.0
}

/// Periods within which two that reach each other again have found each other: until then each may be held for dead.
const FOUND: f64 = 75.0;
/// Part of a period that a way may take and still counts as one: a question and its answer must fit into it.
const SLOW: f64 = 0.5;
/// Datagrams lost by a way that still counts as one.
const LOSSY: f64 = 0.15;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// Running hosts whose last view is the one that all share, of all that run at the end.
    pub settled: (usize, usize),
    /// Seconds from the last fault until all views were the same, and the bound.
    pub longest: (f64, f64),
    /// Seconds for which running hosts in reach were held unreachable, over all pairs.
    pub wrongly: f64,
    /// Each such pair, look by look.
    pub wrong: Vec<String>,
    /// How the last views differ from what there is, some of them.
    pub differ: Vec<String>,
    pub unseen: Vec<String>,
    pub back: Vec<String>,
}

impl fmt::Display for Told {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "views settled {} of {}, longest {:.1} s of {:.1}; running hosts wrongly held unreachable: {:.1} s in all; \
             killed hosts unseen: {}; back from the dead: {}",
            self.settled.0,
            self.settled.1,
            self.longest.0,
            self.longest.1,
            self.wrongly,
            self.unseen.len(),
            self.back.len()
        )
    }
}

impl Told {
    pub fn evidence(&self) -> Vec<String> {
        let mut out = Vec::new();
        if self.settled.0 < self.settled.1 {
            out.push(format!(
                "{} running hosts have another view than the rest",
                self.settled.1 - self.settled.0
            ));
        }
        out.extend(self.differ.iter().take(5).cloned());
        if self.longest.0 > self.longest.1 {
            out.push(format!("one view after {:.1} s, of {:.1} at most", self.longest.0, self.longest.1));
        }
        if self.wrongly > 0.0 {
            out.push(format!("running hosts in reach were held unreachable for {:.1} s", self.wrongly));
        }
        out.extend(self.wrong.iter().chain(&self.unseen).chain(&self.back).take(10).cloned());
        out
    }
}

/// From when a host ran, until when; and when it was stopped meanwhile.
#[derive(Clone, Copy, Debug)]
struct Life {
    host: u32,
    from: Micros,
    until: Micros,
    killed: bool,
}

struct Record<'a> {
    scene: &'a Scene,
    period: f64,
    lives: Vec<Life>,
    stops: Vec<(u32, Micros, Micros)>,
    /// Ways as they stood from a time on.
    ways: Vec<(Micros, Links)>,
}

/// Judges what was held. `seen`: when hosts began and ended.
pub fn judge(scene: &Scene, seen: &[Seen], held: &[Held]) -> Told {
    let period = scene.view.map_or(1.0, |v| v.period as f64);
    // Past the day's end all are told to end.
    let held: Vec<Held> = held.iter().filter(|h| h.asked < scene.length).cloned().collect();
    let mut record = Record { scene, period, lives: lives(seen), stops: stops(scene), ways: Vec::new() };
    let mut links = Links::new(scene.zones);
    record.ways.push((0, Links::new(scene.zones)));
    for event in &scene.events {
        if let Trouble::Link(from, to, fault) = event.trouble {
            links.set(from, to, fault);
            record.ways.push((event.at, links.clone()));
        }
    }
    let mut told = Told::default();
    record.settles(&held, &mut told);
    record.wrongly(&held, &mut told);
    record.unseen(&held, &mut told);
    back(seen, &held, &mut told);
    told
}

fn lives(seen: &[Seen]) -> Vec<Life> {
    let mut lives: Vec<Life> = Vec::new();
    for Seen { at, what } in seen {
        match *what {
            What::HostUp { host } => lives.push(Life { host, from: *at, until: Micros::MAX, killed: false }),
            What::HostDown { host, by } => {
                if let Some(life) = lives.iter_mut().rev().find(|l| l.host == host) {
                    life.until = life.until.min(*at);
                    life.killed |= by == End::Killed && life.until == *at;
                }
            }
            _ => {}
        }
    }
    lives
}

fn stops(scene: &Scene) -> Vec<(u32, Micros, Micros)> {
    let mut out: Vec<(u32, Micros, Micros)> = Vec::new();
    for event in &scene.events {
        if let Trouble::Stall(some, stall) = event.trouble {
            for host in some.0..some.1.min(scene.hosts) {
                if stall {
                    out.push((host, event.at, Micros::MAX));
                } else if let Some(stop) = out.iter_mut().rev().find(|s| s.0 == host) {
                    stop.2 = event.at;
                }
            }
        }
    }
    out
}

impl Record<'_> {
    fn periods(&self, n: f64) -> Micros {
        (n * self.period) as Micros
    }

    /// Runs from one time to another without a stop.
    fn ran(&self, host: u32, from: Micros, to: Micros) -> bool {
        self.lives.iter().any(|l| l.host == host && l.from <= from && l.until > to)
            && !self.stops.iter().any(|s| s.0 == host && s.1 < to && s.2 > from)
    }

    /// Two hosts reached each other all the time.
    fn reached(&self, a: u32, b: u32, from: Micros, to: Micros) -> bool {
        let within = self
            .ways
            .iter()
            .enumerate()
            .filter(|(n, w)| w.0 < to && self.ways.get(n + 1).is_none_or(|next| next.0 > from));
        within.map(|(_, w)| &w.1).all(|links| {
            [(a, b), (b, a)].iter().all(|(x, y)| {
                let fault = links.of(Party::Host(*x), Party::Host(*y));
                let slow = (fault.delay + fault.spread) as f64 > SLOW * self.period;
                !fault.silent && !fault.refuses && fault.loss <= LOSSY && !slow
            })
        })
    }

    /// When the last fault was over.
    fn quiet(&self) -> Micros {
        let events = self.scene.events.iter().map(|e| e.at).filter(|at| *at < self.scene.length);
        events.max().unwrap_or(0)
    }

    fn settles(&self, held: &[Held], told: &mut Told) {
        let end = self.scene.length;
        let running: BTreeSet<u32> =
            self.lives.iter().filter(|l| l.from < end && l.until >= end).map(|l| l.host).collect();
        let right = |h: &Held| {
            let up: BTreeSet<u32> =
                h.members.iter().filter(|m| m.1 == MemberState::Alive).map(|m| m.0).collect();
            let open = |s| matches!(s, MemberState::Suspect | MemberState::Joining | MemberState::Leaving);
            up == running && !h.members.iter().any(|m| open(m.1))
        };
        // From the last look that was not right on, or not the one that the last ones share.
        let mut last: BTreeMap<u32, &Held> = BTreeMap::new();
        held.iter().filter(|h| running.contains(&h.host)).for_each(|h| _ = last.insert(h.host, h));
        let mut sums: BTreeMap<u64, usize> = BTreeMap::new();
        last.values().filter(|h| right(h)).for_each(|h| *sums.entry(h.sum).or_default() += 1);
        let shared = sums.iter().max_by_key(|s| s.1).map(|s| *s.0);
        let same = |h: &Held| right(h) && Some(h.sum) == shared;
        for h in last.values().filter(|h| !same(h)) {
            let wrong = |host: u32| {
                let seen = h.members.iter().find(|m| m.0 == host).map(|m| m.1);
                let is = running.contains(&host);
                let fits = is == (seen == Some(MemberState::Alive));
                let open =
                    matches!(seen, Some(MemberState::Suspect | MemberState::Joining | MemberState::Leaving));
                (!fits || open)
                    .then(|| format!("{host} {}: {seen:?}", if is { "runs" } else { "does not run" }))
            };
            let wrong: Vec<String> = (0..self.scene.hosts).filter_map(wrong).collect();
            told.differ.push(format!("host {} last told {:016x} with {}", h.host, h.sum, wrong.join(", ")));
        }
        told.settled = (last.values().filter(|h| same(h)).count(), running.len());
        let quiet = self.quiet();
        let wrong = held.iter().filter(|h| h.asked >= quiet && running.contains(&h.host) && !same(h));
        let longest = wrong.map(|h| h.asked - quiet).max().unwrap_or(0);
        told.longest = (longest as f64 / 1e6, settles_within(self.scene.hosts) * self.period / 1e6);
    }

    fn wrongly(&self, held: &[Held], told: &mut Told) {
        let found = self.periods(FOUND);
        let mut last: BTreeMap<u32, Micros> = BTreeMap::new();
        for h in held {
            let before = last.insert(h.host, h.asked).unwrap_or(h.asked);
            let from = h.asked.saturating_sub(found);
            if h.asked < found || !self.ran(h.host, from, h.asked) {
                continue;
            }
            let out = h.members.iter().filter(|m| m.1 == MemberState::Unreachable && m.0 != h.host);
            let wrong =
                out.filter(|m| self.ran(m.0, from, h.asked) && self.reached(h.host, m.0, from, h.asked));
            told.wrongly += wrong.count() as f64 * (h.asked - before) as f64 / 1e6;
        }
    }

    /// Killed for good, or for longer than it takes to see it, and still held alive by one that ran all the while.
    fn unseen(&self, held: &[Held], told: &mut Told) {
        let within = self.periods(seen_within(self.scene.hosts));
        for life in self.lives.iter().filter(|l| l.killed) {
            let next =
                self.lives.iter().filter(|l| l.host == life.host && l.from > life.from).map(|l| l.from).min();
            let until = next.unwrap_or(Micros::MAX);
            let holds = |h: &&Held| {
                h.asked > life.until + within
                    && h.asked < until
                    && self.ran(h.host, life.until, h.asked)
                    && self.reached(h.host, life.host, life.until, h.asked)
                    && h.members.iter().any(|m| m.0 == life.host && m.1 == MemberState::Alive)
            };
            if let Some(h) = held.iter().find(holds) {
                told.unseen.push(format!(
                    "host {} was killed at {:.1} s, and host {} holds it alive at {:.1} s",
                    life.host,
                    life.until as f64 / 1e6,
                    h.host,
                    h.asked as f64 / 1e6
                ));
            }
        }
    }
}

/// What one life of a host has seen as left it never holds as anything else.
fn back(seen: &[Seen], held: &[Held], told: &mut Told) {
    let mut ups = seen.iter().filter(|s| matches!(s.what, What::HostUp { .. })).peekable();
    let mut left: BTreeSet<(u32, u32, u64)> = BTreeSet::new();
    for h in held {
        while let Some(up) = ups.next_if(|u| u.at <= h.asked) {
            if let What::HostUp { host } = up.what {
                left.retain(|l| l.0 != host);
            }
        }
        for (member, state, generation) in &h.members {
            let key = (h.host, *member, *generation);
            match state {
                MemberState::Left => drop(left.insert(key)),
                _ if left.contains(&key) => {
                    told.back.push(format!("host {} has {member} as {state:?}, which had left", h.host));
                }
                _ => {}
            }
        }
    }
}
