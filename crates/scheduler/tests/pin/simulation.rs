//! Runs a scheduler through the events of one seeded run.
use super::checkpoints::{Checkpoints, Divergence, EVENTS_PER_CHECKPOINT};
use super::nodes::{ALWAYS_WARMING_UP, Mode, NODES, Pattern};
use super::random::Random;
use super::recorder::{ACTION_KINDS, Event, Recorder, UnreleasedBio};
use super::settings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    AttemptOutcome, AttemptResult, Bio, EndpointEvent, KeyId, LoadReport, NodeEndpoint, NodeId,
    NodeState, SchedulerConfig, Tick, VolumeId,
};

/// Number of arrivals in one run.
const ARRIVALS: usize = 2_300;
const KEYS: u64 = 4;
const VOLUMES: u64 = 14;

/// The result of a run.
pub struct Outcome {
    /// Hash of all actions.
    pub hash: u64,
    /// Number of actions of each kind.
    pub counts: [u32; ACTION_KINDS],
    /// First difference from the recorded run.
    pub divergence: Option<Divergence>,
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
        let plans = if pattern == Pattern::Mixed {
            settings::PLANS
        } else {
            1
        };
        let now = 50_000 + 7 * seed as Tick;
        let recorder = Recorder::new(now, random);
        Simulation {
            scheduler: Scheduler::new(&config, seed, now),
            recorder,
            config,
            pattern,
            arrivals: 0,
            volume_plans: (0..VOLUMES).map(|v| (v % plans) as u16).collect(),
        }
    }

    /// Runs all events, and compares the digest with the recorded one every [`EVENTS_PER_CHECKPOINT`] events.
    pub fn run(mut self, recorded: &Checkpoints) -> Outcome {
        self.schedule_first_events();
        let mut divergence = None;
        let mut events = 0;
        while let Some(((at, number), event)) = self.recorder.events.pop_first() {
            self.recorder.now = at;
            self.step(event);
            if number.is_multiple_of(16) {
                self.record_node_status();
            }
            events += 1;
            if events % EVENTS_PER_CHECKPOINT == 0 {
                let actions = std::mem::take(&mut self.recorder.recent);
                let digest = self.recorder.hash.value();
                if divergence.is_none() {
                    divergence = recorded.compare(events, digest, actions);
                }
            }
            // Timers continue forever, so the run ends once no block I/O is left after the last arrival.
            if self.arrivals == ARRIVALS && self.recorder.unreleased.is_empty() {
                break;
            }
        }
        Outcome {
            hash: self.recorder.hash.value(),
            counts: self.recorder.counts,
            divergence,
        }
    }

    fn schedule_first_events(&mut self) {
        let r = &mut self.recorder;
        r.schedule(0, Event::PollAnswer(EndpointEvent::Cached));
        r.schedule(0, Event::Timer);
        r.schedule(2_000, Event::Arrival);
        r.schedule(9_000, Event::EndpointChange);
        r.schedule(70_000, Event::DiscoveryMove);
        r.schedule(4_000, Event::QuotaChange);
        r.schedule(100_000, Event::PlanChange);
        (0..NODES).for_each(|n| r.schedule(5_000, Event::NodeMode(n)));
    }

    fn step(&mut self, event: Event) {
        let now = self.recorder.now;
        match event {
            Event::Arrival => self.arrive(),
            Event::AttemptOutcome { serial, result } => self.finish_attempt(serial, result),
            Event::Disconnect { bio, arrival } => {
                if self
                    .recorder
                    .unreleased
                    .get(&bio)
                    .is_some_and(|c| c.arrival == arrival)
                {
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
        let mode = if self.pattern == Pattern::Mixed {
            Mode::draw(random)
        } else {
            Mode::VeryFast
        };
        let after = random.between(8_000, 40_000);
        self.recorder.nodes[node as usize].mode = mode;
        self.recorder.schedule(after, Event::NodeMode(node));
    }

    /// Adds the status of each node to the hash.
    fn record_node_status(&mut self) {
        for node in 0..NODES {
            let Some(status) = self.scheduler.node_status(self.recorder.now, NodeId(node)) else {
                continue;
            };
            let hash = &mut self.recorder.hash;
            hash.add(u64::from(status.active) | u64::from(status.warming_up) << 1);
            hash.add(u64::from(status.in_flight) | u64::from(status.queued) << 32);
            hash.add(u64::from(status.consecutive_failures));
            for value in [
                status.concurrency_window,
                status.mean_latency,
                status.cost_multiplier,
            ] {
                hash.add(value.to_bits());
            }
        }
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let bio = self.draw_bio();
        let arrival = self.arrivals as u64;
        self.recorder.unreleased.insert(
            bio.id,
            UnreleasedBio {
                bio,
                arrival,
                answered: false,
                attempts: 0,
            },
        );
        let now = self.recorder.now;
        self.scheduler.on_arrival(&mut self.recorder, now, bio);
        if self.recorder.random.percent(4) {
            let after = self.recorder.random.between(10, 3_000);
            self.recorder.schedule(
                after,
                Event::Disconnect {
                    bio: bio.id,
                    arrival,
                },
            );
        }
        if self.arrivals < ARRIVALS {
            let after = self.draw_gap();
            self.recorder.schedule(after, Event::Arrival);
        }
    }

    /// Draws the time to the next arrival. The load consists of surges, steady phases and pauses that are long enough
    /// for idle volumes, and sometimes inactive nodes, to be forgotten.
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
        let id = r.new_id();
        if r.random.percent(20)
            && let Some(original) = r.shed.pop()
            && original.deadline > r.now
        {
            let deadline = original.deadline + r.random.between(-7, 7);
            return Bio {
                id,
                deadline,
                ..original
            };
        }
        let class = r.random.below(self.config.classes.len() as u64) as u16;
        // The active volumes rotate, so that some are idle for a long time.
        let active = VOLUMES - 4;
        let turn = self.arrivals as u64 / 400;
        let volume = (r.random.below(active) + turn) % VOLUMES;
        let key = (self.config.classes[usize::from(class)].ordered || r.random.percent(10))
            .then(|| KeyId(r.random.below(KEYS) as u32));
        let (shards, min_deadline, max_deadline) = match self.pattern {
            Pattern::Mixed => (7, 40, 12_000),
            Pattern::RareLoss => (4, 70_000, 100_000),
        };
        Bio {
            id,
            class,
            plan: self.volume_plans[volume as usize],
            volume: VolumeId(volume as u32),
            key,
            deadline: r.now + r.random.between(min_deadline, max_deadline),
            units: r.random.between(1, 32) as f64 / 4.0,
            shard: r
                .random
                .percent(75)
                .then(|| r.random.below(shards).min(3) as u32),
            hosts: r.random.below(5) as u32,
        }
    }

    fn finish_attempt(&mut self, serial: u64, result: AttemptResult) {
        let r = &mut self.recorder;
        // A cancelled attempt has two outcome events; only the first one counts.
        let Some(attempt) = r.in_flight.remove(&serial) else {
            return;
        };
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
            latency: r.now - attempt.sent_at,
            units_by_other_hosts: random.fraction() - 0.25,
            volume_usage: 1.0 + random.fraction() * 100.0,
            load_report,
        };
        let now = r.now;
        self.scheduler.on_attempt_finished(r, now, id, &outcome);
        let has_attempt_in_flight = self.recorder.in_flight.values().any(|s| s.bio == id);
        if self.recorder.random.percent(2) && !has_attempt_in_flight {
            // The scheduler must ignore a duplicate outcome, because no attempt is in flight.
            self.scheduler
                .on_attempt_finished(&mut self.recorder, now, id, &outcome);
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
        self.scheduler
            .on_endpoints(&mut self.recorder, now, event, &entries);
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
                let node = if choice >= 12 {
                    ALWAYS_WARMING_UP as usize
                } else {
                    r.random.below(6) as usize
                };
                let endpoint = &mut r.nodes[node].endpoint;
                match (choice, endpoint.state) {
                    (12..15, NodeState::Active) => {
                        endpoint.started_at = Some(now - r.random.between(0, 20_000));
                    }
                    (4, NodeState::Active) => endpoint.state = NodeState::Draining,
                    (_, NodeState::Draining) => endpoint.state = NodeState::Removed,
                    (_, NodeState::Removed) if choice < 7 => {}
                    _ => {
                        endpoint.state = NodeState::Active;
                        endpoint.started_at = Some(now - r.random.between(0, 20_000));
                    }
                }
                let entry = *endpoint;
                self.scheduler.on_endpoints(
                    &mut self.recorder,
                    now,
                    EndpointEvent::Incremental,
                    &[entry],
                );
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
            (plan.reserved_rate, plan.rate_limit) =
                (plan.reserved_rate * factor, plan.rate_limit * factor);
        }
        let volume = r.random.below(VOLUMES);
        let plan = r.random.below(settings::PLANS) as u16;
        self.volume_plans[volume as usize] = plan;
        let moved = [
            (VolumeId(volume as u32), plan),
            (VolumeId(VOLUMES as u32), 0),
        ];
        self.scheduler
            .on_plans_changed(now, &self.config.plans, &moved);
    }
}
