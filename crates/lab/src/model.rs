//! A cold start in simulated time: thousands of schedulers, the same code that hosts run, before a list service that
//! handles calls in turn, the same as the rig's. No sockets, no processes, no clocks.
use crate::fleet::turns::{Handled, Mood, Turns};
use crate::plots;
use crate::trace::Micros;
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::Path;

/// Microseconds in a tick of the scheduler.
const TICK: Micros = 100;
/// The way from a host to the service, and the spread of it.
const WAY: Micros = 300;
/// Processes of one machine start within so long of one another.
const STARTS: Micros = 1_000_000;
const STEP: Micros = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub hosts: u32,
    /// What a call takes of the service, and what hosts are told that it takes (none: not told).
    pub takes: Micros,
    pub told: Option<Micros>,
    /// The service is down until then.
    pub down: Micros,
    /// Hosts had a list before, and lose it together when the service goes down.
    pub running: bool,
}

/// What a second showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Second {
    pub second: u64,
    pub calls: u64,
    pub waiting: usize,
    pub fresh: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Came {
    pub calls: u64,
    pub turned_away: u64,
    pub most_waiting: usize,
    /// When each host had its list, from the moment at which the service was there for it, in order.
    pub fresh: Vec<Micros>,
    pub seconds: Vec<Second>,
}

impl Came {
    pub fn fresh_at(&self, part: f64) -> Option<Micros> {
        let at = (self.fresh.len() as f64 * part).ceil() as usize;
        self.fresh.get(at.max(1) - 1).copied()
    }

    /// How many hosts had their list by then.
    pub fn fresh_by(&self, by: Micros) -> usize {
        self.fresh.partition_point(|at| *at <= by)
    }
}

/// What a scheduler asked for.
#[derive(Default)]
struct Asks {
    wake: Option<Tick>,
    list: bool,
}

impl Host for Asks {
    fn forward(&mut self, _: BioId, _: NodeId, _: Tick) {}
    fn cancel(&mut self, _: BioId, _: u32) {}
    fn shed(&mut self, _: BioId, _: Tick) {}
    fn fail(&mut self, _: BioId) {}
    fn set_timer(&mut self, after: Tick) {
        self.wake = Some(after);
    }
    fn poll_endpoints(&mut self) {
        self.list = true;
    }
    fn release_bio(&mut self, _: BioId) {}
    fn release_key(&mut self, _: KeyId) {}
    fn release_volume(&mut self, _: VolumeId) {}
    fn release_node(&mut self, _: NodeId) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(u32),
    Wake(u32),
    /// A call reaches the service; its answer reaches its host; its host gives it up.
    Arrives(u32, u64),
    Answered(u32, u64, bool),
    GivesUp(u32, u64),
    /// The service is there; the next call is over.
    Up,
    Turn,
}

struct One {
    scheduler: Option<Scheduler>,
    /// Its open call.
    call: Option<u64>,
    fresh: bool,
}

struct Model {
    case: Case,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    hosts: Vec<One>,
    turns: Turns<(u32, u64)>,
    calls: u64,
    came: Came,
    rng: Pcg64Mcg,
}

/// Plays a case until all hosts have a list, or for so long at most.
pub fn run(case: Case, seed: u64, most: Micros) -> Came {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut turns = Turns::new(case.takes, 1_000_000);
    if case.down > 0 {
        turns.turns(0, Mood::Down);
    }
    let hosts = (0..case.hosts).map(|_| One { scheduler: None, call: None, fresh: false }).collect();
    let mut events = BinaryHeap::new();
    for host in 0..case.hosts {
        let at = if case.running { 0 } else { rng.random_range(0..STARTS) };
        events.push(Reverse((at, Event::Start(host))));
    }
    events.push(Reverse((case.down, Event::Up)));
    let mut model = Model { case, now: 0, events, hosts, turns, calls: 0, came: Came::default(), rng };
    while let Some(Reverse((at, event))) = model.events.pop() {
        if at > most || model.came.fresh.len() == case.hosts as usize {
            break;
        }
        model.now = at;
        model.happens(event);
    }
    let mut came = model.came;
    (came.turned_away, came.most_waiting) = (model.turns.turned_away, model.turns.most_waiting);
    came.fresh.sort_unstable();
    came
}

impl Model {
    fn after(&mut self, span: Micros, event: Event) {
        self.events.push(Reverse((self.now + span, event)));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Start(host) => {
                let poll_service_time = self.case.told.map(|t| (t / TICK) as Tick);
                let hosts = self.case.hosts;
                let config = SchedulerConfig {
                    hosts,
                    endpoints_polled: true,
                    poll_service_time,
                    ..SchedulerConfig::default()
                };
                let scheduler = Scheduler::new(&config, self.rng.random(), (self.now / TICK) as Tick);
                self.hosts[host as usize].scheduler = Some(scheduler);
                if self.case.running {
                    self.tell(host, EndpointEvent::FullSnapshot);
                    self.tell(host, EndpointEvent::PollFailed);
                }
                self.with(host, |s, asks, now| s.on_timer(asks, now));
            }
            Event::Wake(host) => self.with(host, |s, asks, now| s.on_timer(asks, now)),
            Event::Arrives(host, call) => self.arrives(host, call),
            Event::Answered(host, call, well) if self.hosts[host as usize].call == Some(call) => {
                self.hosts[host as usize].call = None;
                if well && !std::mem::replace(&mut self.hosts[host as usize].fresh, true) {
                    self.came.fresh.push(self.now.saturating_sub(self.case.down));
                    self.second().fresh += 1;
                }
                self.tell(host, if well { EndpointEvent::FullSnapshot } else { EndpointEvent::PollFailed });
            }
            Event::GivesUp(host, call) if self.hosts[host as usize].call == Some(call) => {
                self.hosts[host as usize].call = None;
                self.turns.gone((host, call));
                self.tell(host, EndpointEvent::PollFailed);
            }
            Event::Answered(..) | Event::GivesUp(..) => {}
            Event::Up => self.turns.turns(self.now, Mood::Well),
            Event::Turn => {
                while let Some(((host, call), how)) = self.turns.next(self.now) {
                    self.after(WAY, Event::Answered(host, call, how == Handled::Served));
                }
                self.next_turn();
            }
        }
    }

    fn next_turn(&mut self) {
        if let Some(due) = self.turns.due() {
            self.events.push(Reverse((due, Event::Turn)));
        }
    }

    fn arrives(&mut self, host: u32, call: u64) {
        if self.turns.mood == Mood::Down {
            return self.after(WAY, Event::Answered(host, call, false));
        }
        self.came.calls += 1;
        let idle = self.turns.due().is_none();
        if let Some(how) = self.turns.call(self.now, (host, call), &mut self.rng) {
            self.after(WAY, Event::Answered(host, call, how == Handled::Served));
        }
        let waiting = self.turns.waiting();
        let second = self.second();
        second.calls += 1;
        second.waiting = second.waiting.max(waiting);
        if idle {
            self.next_turn();
        }
    }

    fn second(&mut self) -> &mut Second {
        let at = (self.now / STEP) as usize;
        for second in self.came.seconds.len()..=at {
            self.came.seconds.push(Second { second: second as u64, ..Second::default() });
        }
        &mut self.came.seconds[at]
    }

    fn tell(&mut self, host: u32, form: EndpointEvent) {
        self.with(host, |s, asks, now| s.on_endpoints(asks, now, form, &[]));
    }

    /// Lets a scheduler act, and does what it asks for.
    fn with(&mut self, host: u32, act: impl FnOnce(&mut Scheduler, &mut Asks, Tick)) {
        let mut asks = Asks::default();
        let Some(scheduler) = &mut self.hosts[host as usize].scheduler else { return };
        act(scheduler, &mut asks, (self.now / TICK) as Tick);
        if let Some(after) = asks.wake {
            // Woken at the tick, not before it.
            self.after(after as Micros * TICK, Event::Wake(host));
        }
        if asks.list {
            self.calls += 1;
            let call = self.calls;
            self.hosts[host as usize].call = Some(call);
            let way = WAY + self.rng.random_range(0..WAY);
            self.after(way, Event::Arrives(host, call));
            self.after(WatchLiveness::new(0).fails_at() * 1_000, Event::GivesUp(host, call));
        }
    }
}

/// Writes seconds of several cases as CSV and as one sheet of two plots: calls waiting, and hosts with a list.
pub fn write(dir: &Path, name: &str, cases: &[(&str, &Came)]) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(|e| failed(&e))?;
    for (case, came) in cases {
        let mut out =
            csv::Writer::from_path(dir.join(format!("{name}-{case}.csv"))).map_err(|e| failed(&e))?;
        for second in &came.seconds {
            out.serialize(second).map_err(|e| failed(&e))?;
        }
        out.flush().map_err(|e| failed(&e))?;
    }
    let lines = |series: Series| -> Vec<plots::Line<'_>> {
        let numbered = |c: &Came| series(c).into_iter().enumerate().map(|(s, v)| (s as f64, v)).collect();
        cases.iter().map(|(name, came)| (*name, numbered(came))).collect()
    };
    let waiting: Series = |c| c.seconds.iter().map(|s| s.waiting as f64).collect();
    let listed: Series = |c| {
        let mut sum = 0.0;
        let mut add = |s: &Second| {
            sum += f64::from(s.fresh);
            sum
        };
        c.seconds.iter().map(&mut add).collect()
    };
    let sheet = [("calls waiting", lines(waiting)), ("hosts with a list", lines(listed))];
    plots::write(&dir.join(format!("{name}.svg")), "s", false, &sheet)
}

/// What a plot shows of a case, second by second.
type Series = fn(&Came) -> Vec<f64>;

#[cfg(test)]
mod tests;
