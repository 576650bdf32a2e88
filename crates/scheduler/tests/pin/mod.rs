//! A seeded simulation that drives a `Scheduler` through thousands of events and hashes every action it takes.
mod hash;
mod random;
mod settings;

use hash::ActionHash;
use mallowseam_scheduler::host::*;
use mallowseam_scheduler::scheduler::Scheduler;
use random::Random;
use std::collections::BTreeMap;

/// Arrivals in one run.
const ARRIVALS: usize = 2_300;
const KEYS: u64 = 4;
const VOLUMES: u64 = 14;
const NODES: u32 = 7;
/// This one starts anew so often that it is never warm, and no other has its shard.
const ALWAYS_COLD: u32 = 6;

/// What the scheduler asked for; the numbers go into the hash.
#[derive(Clone, Copy)]
pub enum Action {
    Submit = 1,
    Cancel,
    Shed,
    Fail,
    Wake,
    WatchList,
    ReleaseBio,
    ReleaseKey,
    ReleaseVolume,
    ReleaseNode,
}

pub const ACTION_KINDS: usize = Action::ReleaseNode as usize + 1;

enum Event {
    Arrival,
    /// The outcome of one submit of a block I/O, by the serial number of that submit.
    Outcome {
        serial: u64,
        ending: Ending,
    },
    Disconnect {
        bio: BioId,
        arrival: u64,
    },
    Timer,
    ListAnswer(ListForm),
    ListChange,
    ListMoved,
    QuotaChange,
    PlanChange,
    NodeMode(u32),
}

/// How a simulated node answers for a while.
#[derive(Clone, Copy)]
enum Mode {
    /// So quick that nothing times out but what is lost: a few idempotent block I/Os, and hardly any others.
    Prompt,
    Quick,
    Middle,
    Slow,
    Full,
    Broken,
    Lossy,
}

/// How the nodes' modes follow each other in a run.
#[derive(Clone, Copy, PartialEq)]
enum Pattern {
    /// Each node changes on its own.
    Mixed,
    /// All nodes are quick, and now and then one loses a submit whose client waits for long.
    RareLoss,
}

impl Pattern {
    fn of(seed: u64) -> Self {
        if seed % 4 == 3 { Pattern::RareLoss } else { Pattern::Mixed }
    }
}

struct SimulatedNode {
    listed: Listed,
    mode: Mode,
}

struct Submit {
    bio: BioId,
    node: NodeId,
    sent: Tick,
    nth: u32,
}

/// A block I/O that the scheduler still holds.
struct Current {
    bio: Bio,
    arrival: u64,
    answered: bool,
    submits: u32,
}

/// The program around the scheduler: records each action, and makes the events that follow from it.
struct Recorder {
    now: Tick,
    random: Random,
    hash: ActionHash,
    counts: [u32; ACTION_KINDS],
    events: BTreeMap<(Tick, u64), Event>,
    next_event: u64,
    nodes: Vec<SimulatedNode>,
    current: BTreeMap<BioId, Current>,
    out: BTreeMap<u64, Submit>,
    next_submit: u64,
    free: Vec<u32>,
    next_bio: u32,
    /// Block I/Os that were shed: their clients may try again with what is left of their time.
    turned_away: Vec<Bio>,
}

impl Recorder {
    fn record(&mut self, action: Action, numbers: [u64; 3]) {
        self.counts[action as usize] += 1;
        self.hash.add(self.now as u64);
        self.hash.add(action as u64);
        numbers.iter().for_each(|n| self.hash.add(*n));
    }

    fn schedule(&mut self, after: Tick, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    /// When and how a submit to this node ends.
    fn draw_ending(&mut self, bio: &Bio, node: NodeId, limit: Tick) -> (Tick, Ending) {
        let load = self.out.values().filter(|s| s.node == node).count() as Tick;
        let random = &mut self.random;
        let (wait, ending) = match self.nodes[node.0 as usize].mode {
            Mode::Prompt if random.below(400) < if bio.group < 2 { 24 } else { 1 } => {
                (limit, Ending::TimedOut)
            }
            Mode::Prompt => (random.between(5, 35), Ending::Done),
            Mode::Quick => (random.between(30, 400) + 10 * load, Ending::Done),
            Mode::Middle => (random.between(400, 640) + 5 * load, Ending::Done),
            Mode::Slow => (random.between(500, 2_600) + 20 * load, Ending::Done),
            Mode::Full if random.chance(40) => (random.between(5, 30), Ending::Busy),
            Mode::Full => (random.between(200, 900), Ending::Done),
            Mode::Broken => match random.below(7) {
                0 => (random.between(5, 40), Ending::Busy),
                1 => (random.between(20, 300), Ending::Reset),
                2 => (random.between(20, 300), Ending::Error),
                3 => (1, Ending::Moot),
                _ => (random.between(2, 20), Ending::NoConnect),
            },
            Mode::Lossy if random.chance(30) => (limit, Ending::TimedOut),
            Mode::Lossy => (random.between(10, 300), Ending::Done),
        };
        match ending {
            Ending::Done if random.chance(2) => (wait.min(limit), Ending::Error),
            _ if wait >= limit => (limit, Ending::TimedOut),
            _ => (wait, ending),
        }
    }
}

impl Host for Recorder {
    fn submit(&mut self, bio: BioId, node: NodeId, limit: Tick) {
        self.record(Action::Submit, [bio.0.into(), node.0.into(), limit as u64]);
        let current = self.current.get_mut(&bio).expect("a block I/O that was released is not submitted");
        let nth = current.submits;
        current.submits += 1;
        let bio_now = current.bio;
        let (wait, ending) = self.draw_ending(&bio_now, node, limit);
        self.next_submit += 1;
        let serial = self.next_submit;
        self.out.insert(serial, Submit { bio, node, sent: self.now, nth });
        self.schedule(wait, Event::Outcome { serial, ending });
    }

    fn cancel(&mut self, bio: BioId, nth: u32) {
        self.record(Action::Cancel, [bio.0.into(), nth.into(), 0]);
        let found = self.out.iter().find(|(_, s)| s.bio == bio && s.nth == nth).map(|(serial, _)| *serial);
        if let Some(serial) = found {
            let after = self.random.between(1, 40);
            self.schedule(after, Event::Outcome { serial, ending: Ending::Cancelled });
        }
    }

    fn shed(&mut self, bio: BioId, come_back: Tick) {
        self.record(Action::Shed, [bio.0.into(), come_back as u64, 0]);
        let current = self.current.get_mut(&bio).expect("a block I/O in use is shed");
        assert!(!std::mem::replace(&mut current.answered, true), "answered once");
        self.turned_away.push(current.bio);
        if self.turned_away.len() > 20 {
            self.turned_away.remove(0);
        }
    }

    fn fail(&mut self, bio: BioId) {
        self.record(Action::Fail, [bio.0.into(), 0, 0]);
        let current = self.current.get_mut(&bio).expect("a block I/O in use fails");
        assert!(!std::mem::replace(&mut current.answered, true), "answered once");
    }

    fn wake(&mut self, after: Tick) {
        self.record(Action::Wake, [after as u64, 0, 0]);
        self.schedule(after, Event::Timer);
    }

    fn probe(&mut self, _node: NodeId) {}

    fn watch_list(&mut self) {
        self.record(Action::WatchList, [0; 3]);
        let form = match self.random.below(10) {
            0..4 => ListForm::Whole,
            4 => ListForm::Silent,
            _ => ListForm::Failed,
        };
        let after = self.random.between(5, 3_000);
        self.schedule(after, Event::ListAnswer(form));
    }

    fn fetch_list(&mut self) {}

    fn tell_peers(&mut self, _bytes: &[u8]) {}

    fn release_bio(&mut self, bio: BioId) {
        self.record(Action::ReleaseBio, [bio.0.into(), 0, 0]);
        assert!(self.current.remove(&bio).is_some(), "released once");
        self.free.push(bio.0);
    }

    fn release_key(&mut self, key: KeyId) {
        self.record(Action::ReleaseKey, [key.0.into(), 0, 0]);
    }

    fn release_volume(&mut self, vol: VolId) {
        self.record(Action::ReleaseVolume, [vol.0.into(), 0, 0]);
    }

    fn release_node(&mut self, node: NodeId) {
        self.record(Action::ReleaseNode, [node.0.into(), 0, 0]);
    }
}

pub struct Simulation {
    recorder: Recorder,
    scheduler: Scheduler,
    terms: Terms,
    pattern: Pattern,
    arrivals: usize,
    volume_plans: Vec<u16>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let terms = settings::terms(seed, &mut random);
        let pattern = Pattern::of(seed);
        let plans = if pattern == Pattern::Mixed { settings::PLANS } else { 1 };
        let now = 50_000 + 7 * seed as Tick;
        let nodes = (0..NODES).map(|n| SimulatedNode { listed: first_entry(n), mode: Mode::Quick }).collect();
        let recorder = Recorder {
            now,
            random,
            hash: ActionHash::default(),
            counts: [0; ACTION_KINDS],
            events: BTreeMap::new(),
            next_event: 0,
            nodes,
            current: BTreeMap::new(),
            out: BTreeMap::new(),
            next_submit: 0,
            free: Vec::new(),
            next_bio: 0,
            turned_away: Vec::new(),
        };
        Simulation {
            scheduler: Scheduler::new(&terms, seed, now),
            recorder,
            terms,
            pattern,
            arrivals: 0,
            volume_plans: (0..VOLUMES).map(|v| (v % plans) as u16).collect(),
        }
    }

    /// Runs all events; the hash of the actions, and how many of each kind there were.
    pub fn run(mut self) -> (u64, [u32; ACTION_KINDS]) {
        let r = &mut self.recorder;
        r.schedule(0, Event::ListAnswer(ListForm::Kept));
        r.schedule(0, Event::Timer);
        r.schedule(2_000, Event::Arrival);
        r.schedule(9_000, Event::ListChange);
        r.schedule(70_000, Event::ListMoved);
        r.schedule(4_000, Event::QuotaChange);
        r.schedule(100_000, Event::PlanChange);
        (0..NODES).for_each(|n| r.schedule(5_000, Event::NodeMode(n)));
        while let Some(((at, number), event)) = self.recorder.events.pop_first() {
            self.recorder.now = at;
            self.step(event);
            if number.is_multiple_of(16) {
                self.record_views();
            }
            // Timers go on for ever: a while after the last arrival is enough.
            if self.arrivals == ARRIVALS && self.recorder.current.is_empty() {
                break;
            }
        }
        (self.recorder.hash.value(), self.recorder.counts)
    }

    fn step(&mut self, event: Event) {
        let now = self.recorder.now;
        match event {
            Event::Arrival => self.arrive(),
            Event::Outcome { serial, ending } => self.end(serial, ending),
            Event::Disconnect { bio, arrival } => {
                if self.recorder.current.get(&bio).is_some_and(|c| c.arrival == arrival) {
                    self.scheduler.gone(&mut self.recorder, now, bio);
                }
            }
            Event::Timer => self.scheduler.woken(&mut self.recorder, now),
            Event::ListAnswer(form) => self.answer_list(form),
            Event::ListChange => self.change_list(),
            Event::ListMoved => {
                self.scheduler.list_moved(&mut self.recorder, now);
                self.recorder.schedule(90_000, Event::ListMoved);
            }
            Event::QuotaChange => self.change_quota(),
            Event::PlanChange => self.change_plans(),
            Event::NodeMode(node) => self.change_mode(node),
        }
    }

    fn change_mode(&mut self, node: u32) {
        let random = &mut self.recorder.random;
        let mode = if self.pattern == Pattern::Mixed { mixed_mode(random) } else { Mode::Prompt };
        let after = random.between(8_000, 40_000);
        self.recorder.nodes[node as usize].mode = mode;
        self.recorder.schedule(after, Event::NodeMode(node));
    }

    /// Hashes how each node stands.
    fn record_views(&mut self) {
        for node in 0..NODES {
            let Some(view) = self.scheduler.view(self.recorder.now, NodeId(node)) else { continue };
            let hash = &mut self.recorder.hash;
            hash.add(u64::from(view.open) | u64::from(view.cold) << 1);
            hash.add(u64::from(view.out) | u64::from(view.held) << 32);
            hash.add(u64::from(view.failures));
            [view.window, view.wait, view.multiplier].iter().for_each(|f| hash.add(f.to_bits()));
        }
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let bio = self.draw_bio();
        let arrival = self.arrivals as u64;
        self.recorder.current.insert(bio.id, Current { bio, arrival, answered: false, submits: 0 });
        let now = self.recorder.now;
        self.scheduler.take(&mut self.recorder, now, bio);
        if self.recorder.random.chance(4) {
            let after = self.recorder.random.between(10, 3_000);
            self.recorder.schedule(after, Event::Disconnect { bio: bio.id, arrival });
        }
        if self.arrivals < ARRIVALS {
            let after = self.draw_gap();
            self.recorder.schedule(after, Event::Arrival);
        }
    }

    /// Surges, steady load, and pauses: long enough for idle volumes, sometimes for closed nodes, to be forgotten.
    fn draw_gap(&mut self) -> Tick {
        let random = &mut self.recorder.random;
        match self.arrivals {
            _ if self.pattern == Pattern::RareLoss => random.between(20, 380),
            n if n % 1_300 == 1_200 => 640_000,
            n if n % 400 == 399 => 130_000,
            n if n % 400 < 100 => random.between(1, 20),
            n if n % 400 < 250 => random.between(20, 180),
            _ => random.between(50, 500),
        }
    }

    fn draw_bio(&mut self) -> Bio {
        let r = &mut self.recorder;
        let id = BioId(r.free.pop().unwrap_or_else(|| {
            r.next_bio += 1;
            r.next_bio - 1
        }));
        if r.random.chance(20)
            && let Some(first) = r.turned_away.pop()
            && first.hard_limit > r.now
        {
            let hard_limit = first.hard_limit + r.random.between(-7, 7);
            return Bio { id, hard_limit, ..first };
        }
        let group = r.random.below(self.terms.groups.len() as u64) as u16;
        // Volumes take turns, so that some are idle for long.
        let active = VOLUMES - 4;
        let turn = self.arrivals as u64 / 400;
        let volume = (r.random.below(active) + turn) % VOLUMES;
        let key = (self.terms.groups[usize::from(group)].ordered || r.random.chance(10))
            .then(|| KeyId(r.random.below(KEYS) as u32));
        let (shards, least, most) = match self.pattern {
            Pattern::Mixed => (7, 40, 12_000),
            Pattern::RareLoss => (4, 70_000, 100_000),
        };
        Bio {
            id,
            group,
            plan: self.volume_plans[volume as usize],
            vol: VolId(volume as u32),
            key,
            hard_limit: r.now + r.random.between(least, most),
            units: r.random.between(1, 32) as f64 / 4.0,
            shard: r.random.chance(75).then(|| r.random.below(shards).min(3) as u32),
            hosts: r.random.below(5) as u32,
        }
    }

    fn end(&mut self, serial: u64, ending: Ending) {
        let r = &mut self.recorder;
        // After a cancel there are two outcomes: the first counts.
        let Some(submit) = r.out.remove(&serial) else { return };
        let (id, random) = (submit.bio, &mut r.random);
        let report =
            Report { waiting: Some(random.fraction()), service_ms: None, busy: Some(random.fraction()) };
        let outcome = Outcome {
            ending,
            node: submit.node,
            closed: ending == Ending::Done || random.chance(3),
            wait: r.now - submit.sent,
            by_others: random.fraction() - 0.25,
            used: 1.0 + random.fraction() * 100.0,
            report,
        };
        let now = r.now;
        self.scheduler.ended(r, now, id, &outcome);
        let sent_again = self.recorder.out.values().any(|s| s.bio == id);
        if self.recorder.random.chance(2) && !sent_again {
            // A repeated outcome finds no submit out.
            self.scheduler.ended(&mut self.recorder, now, id, &outcome);
        }
    }

    fn answer_list(&mut self, form: ListForm) {
        let entries: Vec<Listed> = match form {
            ListForm::Failed | ListForm::Silent => Vec::new(),
            _ => {
                self.recorder.nodes.iter().map(|n| n.listed).filter(|l| l.state != NodeState::Left).collect()
            }
        };
        let now = self.recorder.now;
        self.scheduler.listed(&mut self.recorder, now, form, &entries);
    }

    fn change_list(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(3_000, 25_000));
        r.schedule(after, Event::ListChange);
        let choice = r.random.below(16);
        match choice {
            0 => self.answer_list(ListForm::Whole),
            1 => self.answer_list(ListForm::Failed),
            2 => self.answer_list(ListForm::Silent),
            3 => self.answer_list(ListForm::Kept),
            _ => {
                let node = if choice >= 12 { ALWAYS_COLD as usize } else { r.random.below(6) as usize };
                let listed = &mut r.nodes[node].listed;
                match (choice, listed.state) {
                    (12..15, NodeState::Active) => listed.came_up = now - r.random.between(0, 20_000),
                    (4, NodeState::Active) => listed.state = NodeState::Leaving,
                    (_, NodeState::Leaving) => listed.state = NodeState::Left,
                    (_, NodeState::Left) if choice < 7 => {}
                    _ => {
                        listed.state = NodeState::Active;
                        listed.came_up = now - r.random.between(0, 20_000);
                    }
                }
                let entry = *listed;
                self.scheduler.listed(&mut self.recorder, now, ListForm::Changes, &[entry]);
            }
        }
    }

    fn change_quota(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(10_000, 60_000));
        r.schedule(after, Event::QuotaChange);
        let volume = VolId(r.random.below(VOLUMES) as u32);
        let quota = r.random.chance(60).then(|| r.random.fraction() * 40.0);
        self.scheduler.parted(now, volume, quota);
    }

    fn change_plans(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(80_000, 160_000));
        r.schedule(after, Event::PlanChange);
        let factor = 0.75 + r.random.fraction() / 2.0;
        for plan in &mut self.terms.plans {
            (plan.reserve, plan.limit) = (plan.reserve * factor, plan.limit * factor);
        }
        let volume = r.random.below(VOLUMES);
        let plan = r.random.below(settings::PLANS) as u16;
        self.volume_plans[volume as usize] = plan;
        let moved = [(VolId(volume as u32), plan), (VolId(VOLUMES as u32), 0)];
        self.scheduler.planned(now, &self.terms.plans, &moved);
    }
}

fn mixed_mode(random: &mut Random) -> Mode {
    match random.below(12) {
        0..3 => Mode::Quick,
        3..7 => Mode::Middle,
        7..9 => Mode::Slow,
        9 => Mode::Full,
        10 => Mode::Broken,
        _ => Mode::Lossy,
    }
}

/// Nodes 0 to 3 hold a shard each; 4 holds the shard of 0 as well, 5 that of 1. Two zones.
fn first_entry(node: u32) -> Listed {
    let state = if node < 5 { NodeState::Active } else { NodeState::Left };
    let shard = if node == ALWAYS_COLD { 9 } else { node % 4 };
    Listed { node: NodeId(node), zone: node % 2, shard, state, came_up: 0 }
}
