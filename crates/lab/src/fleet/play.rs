//! Plays a scene: hosts as processes, the parties round them, trouble as written, then the audit.
use super::audit::{self, Verdict};
use super::processes::{Fleet, Program, Use};
use super::record::{End, Seen, What};
use super::scene::{Event, Scene, Some2, Trouble};
use super::world::{Held, Listed, World};
use crate::trace::Micros;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use std::time::Duration;

/// A turn of the world lasts no longer: processes are looked at in between.
const TURN: Duration = Duration::from_millis(20);
/// After the day, until what is in hand has its answer: past the longest hard limit.
const AFTER: Micros = 4_000_000;
/// A host that was told to end is killed so long after, as on the users' platform: the longest hard limit, counted
/// as 3 s at most, and 0.7 s.
const KILLED_AFTER: Micros = 700_000;
const LONGEST: Micros = 3_000_000;
/// Turns that took longer than this were kept from running by the machine.
const BUSY: Micros = 60_000;

pub struct Outcome {
    pub verdict: Verdict,
    pub seen: Vec<Seen>,
    /// Processes that ended when nobody had told them to.
    pub crashed: Vec<String>,
    /// What hosts used at the end of the day: mean memory and processor time a second.
    pub uses: Vec<Use>,
    /// The longest that a turn of the stand-ins was late.
    pub late: Micros,
    pub watching: usize,
    /// What hosts held of their fleet, look by look; and bytes that they sent each other, a second and host.
    pub held: Vec<Held>,
    pub view_bytes: f64,
    /// The most that came to a cold node, as part of what it bore.
    pub most_cold: f64,
}

impl Outcome {
    /// How many calls may wait: what the service handles in about a second.
    fn may_wait(scene: &Scene) -> u32 {
        (1_000_000 / scene.takes.max(1)).max(1) as u32
    }

    fn fresh(&self) -> (u64, u64) {
        (self.verdict.fresh.len() as u64, self.verdict.starts)
    }

    pub fn good(&self, scene: &Scene) -> bool {
        self.evidence(scene).is_empty()
    }

    /// Rules that were broken, and processes that were.
    pub fn broken(&self) -> Vec<String> {
        let mut out = self.verdict.evidence();
        out.extend(self.crashed.iter().cloned());
        out
    }

    /// What was not as it should be.
    pub fn evidence(&self, scene: &Scene) -> Vec<String> {
        let v = &self.verdict;
        let mut out = self.broken();
        let (fresh, starts) = self.fresh();
        if fresh < starts {
            out.push(format!("{} starts without a list of the service", starts - fresh));
        }
        if v.most_waiting > Self::may_wait(scene) {
            out.push(format!("{} calls waited, of {} at most", v.most_waiting, Self::may_wait(scene)));
        }
        if v.falls > 0 {
            out.push(format!("{} nodes fell", v.falls));
        }
        out
    }

    pub fn last_line(&self, scene: &Scene) -> String {
        let v = &self.verdict;
        let (fresh, starts) = self.fresh();
        format!(
            "hosts fresh {fresh} of {starts}; list calls {} for {starts} hosts, most waiting {} of {}; {v}",
            v.calls,
            v.most_waiting,
            Self::may_wait(scene)
        )
    }

    /// Hosts with a place in the view beside those without, in one run: waits of what was served, and processor time.
    pub fn with_and_without(&self, scene: &Scene) -> Option<String> {
        let view = scene.view.filter(|v| v.hosts.0 > 0 || v.hosts.1 < scene.hosts)?;
        let mut asked = std::collections::BTreeMap::new();
        let mut waits = [Vec::new(), Vec::new()];
        for Seen { at, what } in &self.seen {
            match *what {
                What::Asked { op, host, .. } => drop(asked.insert(op, (*at, host))),
                What::Answered { op, status: 200, .. } => {
                    if let Some((from, host)) = asked.remove(&op) {
                        waits[usize::from(view.of(host))].push(at - from);
                    }
                }
                _ => {}
            }
        }
        let mut group = |with: bool| {
            let waits = &mut waits[usize::from(with)];
            waits.sort_unstable();
            let at =
                |part: f64| waits.get((waits.len() as f64 * part) as usize).map_or(0.0, |w| *w as f64 / 1e3);
            let of = self
                .uses
                .iter()
                .enumerate()
                .filter(|(host, _)| view.of(*host as u32) == with)
                .map(|u| u.1.cpu_ms);
            let (sum, count) = of.fold((0, 0), |(sum, n), ms| (sum + ms, n + 1));
            let cpu = sum as f64 / f64::from(count.max(1)) / (scene.length as f64 / 1e6);
            let served = waits.len();
            format!(
                "{served} served, median {:.1} ms, p99 {:.1} ms, {cpu:.1} ms of processor time a second",
                at(0.5),
                at(0.99)
            )
        };
        Some(format!("hosts with a view: {}\nhosts without: {}", group(true), group(false)))
    }

    pub fn table(&self) -> String {
        use std::fmt::Write;
        let v = &self.verdict;
        let mut out = String::new();
        writeln!(
            out,
            "{:>4}{:>8}{:>9}{:>8}{:>9}{:>9}{:>7}{:>9}{:>8}",
            "s", "asked", "in goal", "served", "refused", "no host", "calls", "waiting", "opened"
        )
        .expect("memory");
        for (s, l) in v.lines.iter().enumerate() {
            let part = 100.0 * f64::from(l.in_goal) / f64::from((l.asked + l.no_host).max(1));
            writeln!(
                out,
                "{s:>4}{:>8}{part:>8.1}%{:>8}{:>9}{:>9}{:>7}{:>9}{:>8}",
                l.asked, l.served, l.refused, l.no_host, l.calls, l.waiting, l.opened
            )
            .expect("memory");
        }
        let ms = |part| v.fresh_within(part).map_or("never".to_owned(), |t| format!("{} ms", t / 1_000));
        writeln!(
            out,
            "fresh list: half of the starts after {}, 95 in 100 after {}, all after {}",
            ms(0.5),
            ms(0.95),
            ms(1.0)
        )
        .expect("memory");
        let usual = v.usual_from().map_or("never".to_owned(), |s| format!("from {s} s on"));
        writeln!(out, "nine tenths of usual service: {usual}").expect("memory");
        let n = self.uses.len().max(1) as f64;
        let mean = |f: fn(&Use) -> f64| self.uses.iter().map(f).sum::<f64>() / n;
        writeln!(
            out,
            "a host at the end: {:.1} MB, {:.0} ms of processor time, {:.0} descriptors; most to a cold node: {:.0} in 100 of what it bears; stand-ins late by {} ms at most",
            mean(|u| u.memory_kb as f64 / 1024.0),
            mean(|u| u.cpu_ms as f64),
            mean(|u| u.descriptors as f64),
            100.0 * self.most_cold,
            self.late / 1_000
        )
        .expect("memory");
        out
    }
}

pub struct Stage {
    scene: Scene,
    pub world: World,
    pub fleet: Fleet,
    seeds: Pcg64Mcg,
    /// Which list service each host is told of.
    lists: Vec<u32>,
    /// Told to end at, and not yet over.
    told: Vec<Option<Micros>>,
    crashed: Vec<String>,
    late: Micros,
    /// Hosts are looked at in turn: the next one, and when.
    looks: Option<(u32, Micros)>,
}

/// Each host's view is asked for so often, where it is: as many looks a second as one loop serves.
const LOOKS: Micros = 1_000_000;
const LOOKS_HOSTS: u32 = 100;

/// Plays a scene. `tell` gets a line for each trouble as it happens.
pub fn run(
    scene: &Scene,
    seed: u64,
    program: &Program,
    dir: &Path,
    tell: &mut dyn FnMut(Micros, &str),
) -> Result<Outcome, String> {
    let mut stage = Stage::open(scene, seed, program, dir)?;
    stage.start_all()?;
    stage.world.clients_ask(true);
    stage.looks = scene.view.map(|_| (0, 0));
    for event in scene.events.iter().filter(|e| e.at < scene.length) {
        stage.until(event.at)?;
        tell(stage.world.now(), &format!("{:?}", event.trouble));
        stage.play(event)?;
    }
    stage.until(scene.length)?;
    stage.close()
}

impl Stage {
    pub fn open(scene: &Scene, seed: u64, program: &Program, dir: &Path) -> Result<Self, String> {
        let hosts = scene.hosts as usize;
        Ok(Stage {
            world: World::open(scene, seed)?,
            fleet: Fleet::new(program.clone(), dir, scene.hosts, scene.sockets),
            seeds: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            lists: vec![0; hosts],
            told: vec![None; hosts],
            crashed: Vec::new(),
            late: 0,
            looks: None,
            scene: scene.clone(),
        })
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        (0..self.scene.hosts).try_for_each(|host| self.start(host))
    }

    pub fn start(&mut self, host: u32) -> Result<(), String> {
        let text = self.world.config(host, self.lists[host as usize], self.seeds.random());
        self.kill(host);
        self.fleet.start(host, &text)?;
        self.told[host as usize] = None;
        self.world.host_up(host);
        Ok(())
    }

    pub fn kill(&mut self, host: u32) {
        if self.fleet.running(host) {
            self.fleet.kill(host);
            self.down(host, End::Killed);
        }
    }

    /// SIGTERM, and SIGKILL once the users' platform would send it.
    pub fn term(&mut self, host: u32) {
        if self.fleet.running(host) {
            self.fleet.signal(host, Signal::SIGTERM);
            self.told[host as usize] = Some(self.world.now());
            self.down(host, End::Told);
        }
    }

    fn down(&mut self, host: u32, by: End) {
        let at = self.world.now();
        self.world.seen.push(Seen { at, what: What::HostDown { host, by } });
        if by != End::Told {
            self.world.host_down(host);
        }
    }

    /// One turn: sockets, then processes.
    pub fn turn(&mut self) {
        self.look();
        let before = self.world.now();
        self.world.turn(TURN);
        let took = self.world.now() - before;
        self.late = self.late.max(took.saturating_sub(TURN.as_micros() as Micros));
        let longest = self.scene.wants.write_wait.max(self.scene.wants.read_wait).min(LONGEST);
        for host in 0..self.scene.hosts {
            if self.told[host as usize].is_some_and(|told| before >= told + longest + KILLED_AFTER) {
                self.told[host as usize] = None;
                self.kill(host);
            }
        }
        for (host, code) in self.fleet.ended() {
            let told = self.told[host as usize].take().is_some();
            if !told || code != 0 {
                self.crashed
                    .push(format!("host {host} ended with {code}, see {}", self.fleet.log(host).display()));
            }
            self.down(host, End::Ended(code));
        }
    }

    /// Asks hosts for their views, each in its turn.
    fn look(&mut self) {
        let Some((mut host, mut at)) = self.looks else { return };
        let now = self.world.now();
        for _ in 0..self.scene.hosts {
            if at > now {
                break;
            }
            if self.fleet.running(host) && self.scene.view.is_some_and(|v| v.of(host)) {
                self.world.look_at(host);
            }
            host = (host + 1) % self.scene.hosts;
            at = at.max(now.saturating_sub(LOOKS)) + LOOKS / Micros::from(self.scene.hosts.min(LOOKS_HOSTS));
        }
        self.looks = Some((host, at));
    }

    /// Goes on until a time of the run.
    pub fn until(&mut self, at: Micros) -> Result<(), String> {
        while self.world.now() < at {
            self.turn();
        }
        Ok(())
    }

    /// Goes on until something holds, for so long at most; whether it does.
    pub fn until_holds(&mut self, within: Duration, mut holds: impl FnMut(&mut Stage) -> bool) -> bool {
        let end = self.world.now() + within.as_micros() as Micros;
        loop {
            if holds(self) {
                return true;
            }
            if self.world.now() >= end {
                return false;
            }
            self.turn();
        }
    }

    fn hosts(&self, some: Some2) -> std::ops::Range<u32> {
        some.0.min(self.scene.hosts)..some.1.min(self.scene.hosts)
    }

    fn nodes(&self, some: Some2) -> std::ops::Range<u32> {
        some.0.min(self.scene.nodes)..some.1.min(self.scene.nodes)
    }

    pub fn play(&mut self, event: &Event) -> Result<(), String> {
        match event.trouble {
            Trouble::Kill(some) => self.hosts(some).for_each(|h| self.kill(h)),
            Trouble::Start(some) => {
                for host in self.hosts(some) {
                    self.start(host)?;
                }
            }
            Trouble::Term(some) => self.hosts(some).for_each(|h| self.term(h)),
            Trouble::Stall(some, stall) => {
                let signal = if stall { Signal::SIGSTOP } else { Signal::SIGCONT };
                for host in self.hosts(some) {
                    self.fleet.signal(host, signal);
                    self.world.stall(host, stall);
                }
            }
            Trouble::Move(some) => {
                for host in self.hosts(some) {
                    self.lists[host as usize] = 1;
                    let text = self.world.config(host, 1, self.seeds.random());
                    std::fs::write(self.fleet.config(host), text).map_err(|e| e.to_string())?;
                    self.fleet.signal(host, Signal::SIGHUP);
                }
            }
            Trouble::NodeStop(some) => self.nodes(some).for_each(|n| self.world.stop_node(n)),
            Trouble::NodeStart(some) => self.nodes(some).for_each(|n| self.world.start_node(n)),
            Trouble::NodeSlow(some, times) => {
                for node in self.nodes(some) {
                    self.world.stores[node as usize].slow = times;
                }
            }
            Trouble::NodeReplace(some) => {
                for node in self.nodes(some) {
                    let old = self.world.listed(node);
                    self.world.add_node(old.shard, true)?;
                    self.world.learns(node, Listed { ready: Some(false), ..old });
                }
            }
            Trouble::NodeGone(some) => self.nodes(some).for_each(|n| self.world.stop_node(n)),
            Trouble::List(mood) => self.world.list_turns(0, mood),
            Trouble::Forget(some) => self.world.forget_watches(self.hosts(some)),
            Trouble::ListSlow(times) => {
                self.world.turns[0].takes = (self.scene.takes as f64 * times) as Micros;
            }
            Trouble::Link(from, to, fault) => self.world.link(from, to, fault),
            Trouble::Load(times) => self.world.callers.load = times,
        }
        Ok(())
    }

    /// No more is asked; what is in hand gets its answers, and hosts are told to end.
    pub fn close(mut self) -> Result<Outcome, String> {
        self.world.clients_ask(false);
        self.until_holds(Duration::from_micros(AFTER), |s| s.world.in_hand() == 0);
        let uses = (0..self.scene.hosts).filter_map(|h| self.fleet.uses(h)).collect();
        let watching = self.world.watching();
        let seen = std::mem::take(&mut self.world.seen);
        (0..self.scene.hosts).for_each(|h| self.term(h));
        let all_over = |s: &mut Stage| (0..s.scene.hosts).all(|h| !s.fleet.running(h));
        if !self.until_holds(Duration::from_micros(AFTER), all_over) {
            let left = (0..self.scene.hosts).filter(|h| self.fleet.running(*h)).count();
            self.crashed.push(format!("{left} hosts did not end when told to"));
        }
        let sent: u64 = self.world.ways_udp.bytes.iter().sum();
        let host_seconds = f64::from(self.scene.hosts) * self.world.now() as f64 / 1e6;
        let busy = if self.late > BUSY { self.late } else { 0 };
        let colds = self.world.stores.iter().map(|s| s.most_cold);
        Ok(Outcome {
            verdict: audit::judge(&self.scene, &seen, busy),
            seen,
            uses,
            late: self.late,
            watching,
            held: std::mem::take(&mut self.world.ways_udp.held),
            view_bytes: sent as f64 / host_seconds,
            most_cold: colds.fold(0.0, f64::max),
            crashed: self.crashed,
        })
    }
}
