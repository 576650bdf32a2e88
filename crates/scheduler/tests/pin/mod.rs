//! A seeded simulation that drives a `Scheduler` through thousands of events and hashes every action it takes.
mod hash;
mod random;
mod settings;

use hash::ActionHash;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::*;
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
    Forward = 1,
    Cancel,
    Shed,
    Fail,
    SetTimer,
    PollEndpoints,
    ReleaseBio,
    ReleaseKey,
    ReleaseVolume,
    ReleaseNode,
}

pub const ACTION_KINDS: usize = Action::ReleaseNode as usize + 1;

enum Event {
    Arrival,
    /// The outcome of an attempt, by its serial number.
    AttemptOutcome {
        serial: u64,
        result: AttemptResult,
    },
    Disconnect {
        bio: BioId,
        arrival: u64,
    },
    Timer,
    PollAnswer(EndpointEvent),
    EndpointChange,
    DiscoveryMove,
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
    /// All nodes are quick, and now and then one loses an attempt whose client waits for long.
    RareLoss,
}

impl Pattern {
    fn of(seed: u64) -> Self {
        if seed % 4 == 3 { Pattern::RareLoss } else { Pattern::Mixed }
    }
}

struct SimulatedNode {
    endpoint: NodeEndpoint,
    mode: Mode,
}

struct Attempt {
    bio: BioId,
    node: NodeId,
    sent: Tick,
    attempt: u32,
}

/// A block I/O that the scheduler still holds.
struct Current {
    bio: Bio,
    arrival: u64,
    answered: bool,
    attempts: u32,
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
    in_flight: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    free: Vec<u32>,
    next_bio: u32,
    /// Block I/Os that were shed: their clients may retry with the time left.
    shed: Vec<Bio>,
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

    /// When and how an attempt to this node ends.
    fn draw_ending(&mut self, bio: &Bio, node: NodeId, timeout: Tick) -> (Tick, AttemptResult) {
        let load = self.in_flight.values().filter(|s| s.node == node).count() as Tick;
        let random = &mut self.random;
        let (wait, result) = match self.nodes[node.0 as usize].mode {
            Mode::Prompt if random.below(400) < if bio.class < 2 { 24 } else { 1 } => {
                (timeout, AttemptResult::TimedOut)
            }
            Mode::Prompt => (random.between(5, 35), AttemptResult::Completed),
            Mode::Quick => (random.between(30, 400) + 10 * load, AttemptResult::Completed),
            Mode::Middle => (random.between(400, 640) + 5 * load, AttemptResult::Completed),
            Mode::Slow => (random.between(500, 2_600) + 20 * load, AttemptResult::Completed),
            Mode::Full if random.percent(40) => (random.between(5, 30), AttemptResult::Rejected),
            Mode::Full => (random.between(200, 900), AttemptResult::Completed),
            Mode::Broken => match random.below(7) {
                0 => (random.between(5, 40), AttemptResult::Rejected),
                1 => (random.between(20, 300), AttemptResult::ConnectionReset),
                2 => (random.between(20, 300), AttemptResult::Error),
                3 => (1, AttemptResult::NotSent),
                _ => (random.between(2, 20), AttemptResult::ConnectFailed),
            },
            Mode::Lossy if random.percent(30) => (timeout, AttemptResult::TimedOut),
            Mode::Lossy => (random.between(10, 300), AttemptResult::Completed),
        };
        match result {
            AttemptResult::Completed if random.percent(2) => (wait.min(timeout), AttemptResult::Error),
            _ if wait >= timeout => (timeout, AttemptResult::TimedOut),
            _ => (wait, result),
        }
    }
}

impl Host for Recorder {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        self.record(Action::Forward, [bio.0.into(), node.0.into(), timeout as u64]);
        let current = self.current.get_mut(&bio).expect("a block I/O that was released is not submitted");
        let attempt = current.attempts;
        current.attempts += 1;
        let bio_now = current.bio;
        let (wait, result) = self.draw_ending(&bio_now, node, timeout);
        self.next_attempt += 1;
        let serial = self.next_attempt;
        self.in_flight.insert(serial, Attempt { bio, node, sent: self.now, attempt });
        self.schedule(wait, Event::AttemptOutcome { serial, result });
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        self.record(Action::Cancel, [bio.0.into(), attempt.into(), 0]);
        let found = self
            .in_flight
            .iter()
            .find(|(_, s)| s.bio == bio && s.attempt == attempt)
            .map(|(serial, _)| *serial);
        if let Some(serial) = found {
            let after = self.random.between(1, 40);
            self.schedule(after, Event::AttemptOutcome { serial, result: AttemptResult::Cancelled });
        }
    }

    fn shed(&mut self, bio: BioId, come_back: Tick) {
        self.record(Action::Shed, [bio.0.into(), come_back as u64, 0]);
        let current = self.current.get_mut(&bio).expect("a block I/O in use is shed");
        assert!(!std::mem::replace(&mut current.answered, true), "answered once");
        self.shed.push(current.bio);
        if self.shed.len() > 20 {
            self.shed.remove(0);
        }
    }

    fn fail(&mut self, bio: BioId) {
        self.record(Action::Fail, [bio.0.into(), 0, 0]);
        let current = self.current.get_mut(&bio).expect("a block I/O in use fails");
        assert!(!std::mem::replace(&mut current.answered, true), "answered once");
    }

    fn set_timer(&mut self, after: Tick) {
        self.record(Action::SetTimer, [after as u64, 0, 0]);
        self.schedule(after, Event::Timer);
    }

    fn poll_endpoints(&mut self) {
        self.record(Action::PollEndpoints, [0; 3]);
        let event = match self.random.below(10) {
            0..4 => EndpointEvent::FullSnapshot,
            4 => EndpointEvent::WatchSilent,
            _ => EndpointEvent::PollFailed,
        };
        let after = self.random.between(5, 3_000);
        self.schedule(after, Event::PollAnswer(event));
    }

    fn release_bio(&mut self, bio: BioId) {
        self.record(Action::ReleaseBio, [bio.0.into(), 0, 0]);
        assert!(self.current.remove(&bio).is_some(), "released once");
        self.free.push(bio.0);
    }

    fn release_key(&mut self, key: KeyId) {
        self.record(Action::ReleaseKey, [key.0.into(), 0, 0]);
    }

    fn release_volume(&mut self, volume: VolumeId) {
        self.record(Action::ReleaseVolume, [volume.0.into(), 0, 0]);
    }

    fn release_node(&mut self, node: NodeId) {
        self.record(Action::ReleaseNode, [node.0.into(), 0, 0]);
    }
}

pub struct Simulation {
    recorder: Recorder,
    scheduler: Scheduler,
    config: SchedulerConfig,
    pattern: Pattern,
    arrivals: usize,
    volume_plans: Vec<u16>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let config = settings::config(seed, &mut random);
        let pattern = Pattern::of(seed);
        let plans = if pattern == Pattern::Mixed { settings::PLANS } else { 1 };
        let now = 50_000 + 7 * seed as Tick;
        let nodes =
            (0..NODES).map(|n| SimulatedNode { endpoint: first_entry(n), mode: Mode::Quick }).collect();
        let recorder = Recorder {
            now,
            random,
            hash: ActionHash::default(),
            counts: [0; ACTION_KINDS],
            events: BTreeMap::new(),
            next_event: 0,
            nodes,
            current: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_attempt: 0,
            free: Vec::new(),
            next_bio: 0,
            shed: Vec::new(),
        };
        Simulation {
            scheduler: Scheduler::new(&config, seed, now),
            recorder,
            config,
            pattern,
            arrivals: 0,
            volume_plans: (0..VOLUMES).map(|v| (v % plans) as u16).collect(),
        }
    }

    /// Runs all events; the hash of the actions, and how many of each kind there were.
    pub fn run(mut self) -> (u64, [u32; ACTION_KINDS]) {
        let r = &mut self.recorder;
        r.schedule(0, Event::PollAnswer(EndpointEvent::Cached));
        r.schedule(0, Event::Timer);
        r.schedule(2_000, Event::Arrival);
        r.schedule(9_000, Event::EndpointChange);
        r.schedule(70_000, Event::DiscoveryMove);
        r.schedule(4_000, Event::QuotaChange);
        r.schedule(100_000, Event::PlanChange);
        (0..NODES).for_each(|n| r.schedule(5_000, Event::NodeMode(n)));
        while let Some(((at, number), event)) = self.recorder.events.pop_first() {
            self.recorder.now = at;
            self.step(event);
            if number.is_multiple_of(16) {
                self.record_node_status();
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
            Event::AttemptOutcome { serial, result } => self.end(serial, result),
            Event::Disconnect { bio, arrival } => {
                if self.recorder.current.get(&bio).is_some_and(|c| c.arrival == arrival) {
                    self.scheduler.on_disconnect(&mut self.recorder, now, bio);
                }
            }
            Event::Timer => self.scheduler.on_timer(&mut self.recorder, now),
            Event::PollAnswer(event) => self.send_endpoints(event),
            Event::EndpointChange => self.change_endpoint(),
            Event::DiscoveryMove => {
                self.scheduler.on_discovery_moved(&mut self.recorder, now);
                self.recorder.schedule(90_000, Event::DiscoveryMove);
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
    fn record_node_status(&mut self) {
        for node in 0..NODES {
            let Some(status) = self.scheduler.node_status(self.recorder.now, NodeId(node)) else { continue };
            let hash = &mut self.recorder.hash;
            hash.add(u64::from(status.active) | u64::from(status.warming_up) << 1);
            hash.add(u64::from(status.in_flight) | u64::from(status.queued) << 32);
            hash.add(u64::from(status.consecutive_failures));
            [status.concurrency_window, status.mean_latency, status.cost_multiplier]
                .iter()
                .for_each(|f| hash.add(f.to_bits()));
        }
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let bio = self.draw_bio();
        let arrival = self.arrivals as u64;
        self.recorder.current.insert(bio.id, Current { bio, arrival, answered: false, attempts: 0 });
        let now = self.recorder.now;
        self.scheduler.on_arrival(&mut self.recorder, now, bio);
        if self.recorder.random.percent(4) {
            let after = self.recorder.random.between(10, 3_000);
            self.recorder.schedule(after, Event::Disconnect { bio: bio.id, arrival });
        }
        if self.arrivals < ARRIVALS {
            let after = self.draw_gap();
            self.recorder.schedule(after, Event::Arrival);
        }
    }

    /// Surges, steady load, and pauses: long enough for idle volumes, sometimes for inactive nodes, to be forgotten.
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
        if r.random.percent(20)
            && let Some(first) = r.shed.pop()
            && first.deadline > r.now
        {
            let deadline = first.deadline + r.random.between(-7, 7);
            return Bio { id, deadline, ..first };
        }
        let class = r.random.below(self.config.classes.len() as u64) as u16;
        // Volumes take turns, so that some are idle for long.
        let active = VOLUMES - 4;
        let turn = self.arrivals as u64 / 400;
        let volume = (r.random.below(active) + turn) % VOLUMES;
        let key = (self.config.classes[usize::from(class)].ordered || r.random.percent(10))
            .then(|| KeyId(r.random.below(KEYS) as u32));
        let (shards, least, most) = match self.pattern {
            Pattern::Mixed => (7, 40, 12_000),
            Pattern::RareLoss => (4, 70_000, 100_000),
        };
        Bio {
            id,
            class,
            plan: self.volume_plans[volume as usize],
            volume: VolumeId(volume as u32),
            key,
            deadline: r.now + r.random.between(least, most),
            units: r.random.between(1, 32) as f64 / 4.0,
            shard: r.random.percent(75).then(|| r.random.below(shards).min(3) as u32),
            hosts: r.random.below(5) as u32,
        }
    }

    fn end(&mut self, serial: u64, result: AttemptResult) {
        let r = &mut self.recorder;
        // After a cancel there are two events: the first counts.
        let Some(attempt) = r.in_flight.remove(&serial) else { return };
        let (id, random) = (attempt.bio, &mut r.random);
        let load_report = LoadReport {
            backlog: Some(random.fraction()),
            service_time_ms: None,
            utilization: Some(random.fraction()),
        };
        let outcome = AttemptOutcome {
            result,
            node: attempt.node,
            client_answered: result == AttemptResult::Completed || random.percent(3),
            latency: r.now - attempt.sent,
            units_by_other_hosts: random.fraction() - 0.25,
            volume_usage: 1.0 + random.fraction() * 100.0,
            load_report,
        };
        let now = r.now;
        self.scheduler.on_attempt_finished(r, now, id, &outcome);
        let sent_again = self.recorder.in_flight.values().any(|s| s.bio == id);
        if self.recorder.random.percent(2) && !sent_again {
            // A repeated outcome finds no attempt in flight.
            self.scheduler.on_attempt_finished(&mut self.recorder, now, id, &outcome);
        }
    }

    fn send_endpoints(&mut self, event: EndpointEvent) {
        let entries: Vec<NodeEndpoint> = match event {
            EndpointEvent::PollFailed | EndpointEvent::WatchSilent => Vec::new(),
            _ => self
                .recorder
                .nodes
                .iter()
                .map(|n| n.endpoint)
                .filter(|l| l.state != NodeState::Removed)
                .collect(),
        };
        let now = self.recorder.now;
        self.scheduler.on_endpoints(&mut self.recorder, now, event, &entries);
    }

    fn change_endpoint(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(3_000, 25_000));
        r.schedule(after, Event::EndpointChange);
        let choice = r.random.below(16);
        match choice {
            0 => self.send_endpoints(EndpointEvent::FullSnapshot),
            1 => self.send_endpoints(EndpointEvent::PollFailed),
            2 => self.send_endpoints(EndpointEvent::WatchSilent),
            3 => self.send_endpoints(EndpointEvent::Cached),
            _ => {
                let node = if choice >= 12 { ALWAYS_COLD as usize } else { r.random.below(6) as usize };
                let endpoint = &mut r.nodes[node].endpoint;
                match (choice, endpoint.state) {
                    (12..15, NodeState::Active) => endpoint.started_at = now - r.random.between(0, 20_000),
                    (4, NodeState::Active) => endpoint.state = NodeState::Draining,
                    (_, NodeState::Draining) => endpoint.state = NodeState::Removed,
                    (_, NodeState::Removed) if choice < 7 => {}
                    _ => {
                        endpoint.state = NodeState::Active;
                        endpoint.started_at = now - r.random.between(0, 20_000);
                    }
                }
                let entry = *endpoint;
                self.scheduler.on_endpoints(&mut self.recorder, now, EndpointEvent::Incremental, &[entry]);
            }
        }
    }

    fn change_quota(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(10_000, 60_000));
        r.schedule(after, Event::QuotaChange);
        let volume = VolumeId(r.random.below(VOLUMES) as u32);
        let quota = r.random.percent(60).then(|| r.random.fraction() * 40.0);
        self.scheduler.on_quota_changed(now, volume, quota);
    }

    fn change_plans(&mut self) {
        let r = &mut self.recorder;
        let (now, after) = (r.now, r.random.between(80_000, 160_000));
        r.schedule(after, Event::PlanChange);
        let factor = 0.75 + r.random.fraction() / 2.0;
        for plan in &mut self.config.plans {
            (plan.reserved_rate, plan.rate_limit) = (plan.reserved_rate * factor, plan.rate_limit * factor);
        }
        let volume = r.random.below(VOLUMES);
        let plan = r.random.below(settings::PLANS) as u16;
        self.volume_plans[volume as usize] = plan;
        let moved = [(VolumeId(volume as u32), plan), (VolumeId(VOLUMES as u32), 0)];
        self.scheduler.on_plans_changed(now, &self.config.plans, &moved);
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
fn first_entry(node: u32) -> NodeEndpoint {
    let state = if node < 5 { NodeState::Active } else { NodeState::Removed };
    let shard = if node == ALWAYS_COLD { 9 } else { node % 4 };
    NodeEndpoint { node: NodeId(node), zone: node % 2, shard, state, started_at: 0 }
}
