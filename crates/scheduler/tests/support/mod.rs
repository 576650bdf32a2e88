//! A scheduler with a host that records the requested actions without carrying them out, and simulates time.
#![allow(dead_code, reason = "each test binary uses only some of it")]

use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    AttemptOutcome, AttemptResult, Bio, BioId, DeduplicationScope, EndpointEvent, Host,
    Idempotency, IoClass, KeyId, LoadReport, NodeEndpoint, NodeId, NodeState, NodeStatus, Plan,
    SchedulerConfig, Tick, VolumeId,
};
use std::ops::Range;

/// An action that the scheduler requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// A block I/O, by its index, was forwarded to a node.
    Forwarded(u32, u32),
    Cancelled(u32),
    Shed(u32),
    Failed(u32),
    PolledEndpoints,
    ReleasedBio(u32),
    ReleasedNode(u32),
}

/// A host with a simulated clock that records the requested actions.
#[derive(Default)]
pub struct RecordingHost {
    pub now: Tick,
    pub actions: Vec<(Tick, Action)>,
    /// The Retry-After of each shed block I/O that stated one.
    pub retry_after: Vec<Tick>,
    timers: Vec<Tick>,
}

impl RecordingHost {
    fn record(&mut self, action: Action) {
        self.actions.push((self.now, action));
    }
}

impl Host for RecordingHost {
    fn forward(&mut self, bio: BioId, node: NodeId, _timeout: Tick) {
        self.record(Action::Forwarded(bio.0, node.0));
    }

    fn cancel(&mut self, bio: BioId, _attempt: u32) {
        self.record(Action::Cancelled(bio.0));
    }

    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>) {
        self.record(Action::Shed(bio.0));
        self.retry_after.extend(retry_after);
    }

    fn fail(&mut self, bio: BioId) {
        self.record(Action::Failed(bio.0));
    }

    fn set_timer(&mut self, after: Tick) {
        self.timers.push(self.now + after);
    }

    fn poll_endpoints(&mut self) {
        self.record(Action::PolledEndpoints);
    }

    fn release_bio(&mut self, bio: BioId) {
        self.record(Action::ReleasedBio(bio.0));
    }

    fn release_key(&mut self, _key: KeyId) {}

    fn release_volume(&mut self, _volume: VolumeId) {}

    fn release_node(&mut self, node: NodeId) {
        self.record(Action::ReleasedNode(node.0));
    }
}

/// Latency objective of all classes, in ticks.
pub const OBJECTIVE: Tick = 2_000;
/// Time from arrival to deadline, in ticks.
pub const DEADLINE: Tick = 10_000;

/// Returns a configuration. Class 0 is idempotent, class 1 is non-idempotent and ordered, class 2 is idempotent and
/// ordered, and class 3 is idempotent by key within a shard. Plan 0 has a reservation; plan 1 has none and a rate limit
/// of 10 units per second.
pub fn config() -> SchedulerConfig {
    let class = |idempotency, ordered| IoClass {
        idempotency,
        latency_objective: OBJECTIVE,
        late_weight_ratio: 0.1,
        priority_weight: 2.0,
        ordered,
        writes: ordered,
    };
    let by_key = Idempotency::IdempotentByKey {
        scope: DeduplicationScope::Shard,
        window: 3_000,
    };
    let reserved = Plan {
        usual_rate: 20.0,
        reserved_rate: 20.0,
        weight: 3.0,
        priority_factor: 1.0,
        ..Plan::default()
    };
    let limited = Plan {
        usual_rate: 10.0,
        rate_limit: 10.0,
        burst_units: 16.0,
        weight: 1.0,
        priority_factor: 1.0,
        ..Plan::default()
    };
    SchedulerConfig {
        hosts: 1,
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::NonIdempotent, true),
            class(Idempotency::Idempotent, true),
            class(by_key, false),
        ],
        plans: vec![reserved, limited],
        mean_io_units: 2.0,
        max_io_units: 8.0,
        share_weight_factor: 0.35,
        spare_weight_factor: 0.1,
        max_attempts: 3,
        allow_cancel: true,
        endpoints_polled: true,
        ordering_cooldown: 2_000,
        ..SchedulerConfig::default()
    }
}

/// Returns a configuration with three hosts and nodes that have a slow start of 18 s and sustain 24 units in its first
/// two seconds.
pub fn slow_start_config() -> SchedulerConfig {
    SchedulerConfig {
        hosts: 3,
        slow_start_capacity: 24.0,
        slow_start_initial_rate: 0.2,
        slow_start_duration: 180_000,
        overload_window: 20_000,
        ..config()
    }
}

/// Returns the entry of a node whose shard has the same number. Without a start time, the node started long ago.
pub fn node(node: u32, state: NodeState, started_at: impl Into<Option<Tick>>) -> NodeEndpoint {
    NodeEndpoint {
        node: NodeId(node),
        zone: 0,
        shard: node,
        state,
        started_at: started_at.into(),
    }
}

/// A scheduler and its host.
pub struct Harness {
    pub host: RecordingHost,
    scheduler: Scheduler,
}

impl Harness {
    /// Creates a host that started 1.2 s ago and knows two nodes, each of which holds the shard of its own number.
    pub fn new(config: &SchedulerConfig) -> Self {
        let host = RecordingHost {
            now: 100_000,
            ..RecordingHost::default()
        };
        let mut harness = Harness {
            scheduler: Scheduler::new(config, 7, host.now),
            host,
        };
        let both = [
            node(0, NodeState::Active, None),
            node(1, NodeState::Active, None),
        ];
        harness.on_endpoints(EndpointEvent::Cached, &both);
        harness.advance(12_000);
        harness.on_endpoints(EndpointEvent::Incremental, &[]);
        harness.host.actions.clear();
        harness
    }

    /// Creates a host that starts now with this seed and knows no nodes.
    pub fn starting(config: &SchedulerConfig, seed: u64) -> Self {
        let host = RecordingHost {
            now: 100_000,
            ..RecordingHost::default()
        };
        let mut harness = Harness {
            scheduler: Scheduler::new(config, seed, host.now),
            host,
        };
        harness.scheduler.on_timer(&mut harness.host, 100_000);
        harness
    }

    pub fn move_discovery(&mut self) {
        let now = self.host.now;
        self.scheduler.on_discovery_moved(&mut self.host, now);
    }

    pub fn on_endpoints(&mut self, event: EndpointEvent, endpoints: &[NodeEndpoint]) {
        let now = self.host.now;
        self.scheduler
            .on_endpoints(&mut self.host, now, event, endpoints);
    }

    /// Returns a block I/O of two units for node 0.
    pub fn bio(&self, id: u32) -> Bio {
        Bio {
            id: BioId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(0),
            key: None,
            deadline: self.host.now + DEADLINE,
            units: 2.0,
            shard: Some(0),
            hosts: 1,
        }
    }

    pub fn arrive(&mut self, bio: Bio) {
        let now = self.host.now;
        self.scheduler.on_arrival(&mut self.host, now, bio);
    }

    pub fn finish_attempt(&mut self, id: u32, node: u32, result: AttemptResult, latency: Tick) {
        let outcome = AttemptOutcome {
            result,
            node: NodeId(node),
            client_answered: result == AttemptResult::Completed,
            latency,
            units_by_other_hosts: 0.0,
            volume_usage: 0.0,
            load_report: LoadReport::default(),
        };
        let now = self.host.now;
        self.scheduler
            .on_attempt_finished(&mut self.host, now, BioId(id), &outcome);
    }

    pub fn change_plans(&mut self, plans: &[Plan], moved: &[(VolumeId, u16)]) {
        self.scheduler.on_plans_changed(self.host.now, plans, moved);
    }

    pub fn change_quota(&mut self, volume: VolumeId, quota: Option<f64>) {
        self.scheduler
            .on_quota_changed(self.host.now, volume, quota);
    }

    pub fn disconnect(&mut self, id: u32) {
        let now = self.host.now;
        self.scheduler.on_disconnect(&mut self.host, now, BioId(id));
    }

    pub fn node_status(&self, node: u32) -> NodeStatus {
        self.scheduler
            .node_status(self.host.now, NodeId(node))
            .expect("the scheduler knows the node")
    }

    /// Advances the clock by this duration, and fires every timer that becomes due.
    pub fn advance(&mut self, span: Tick) {
        let end = self.host.now + span;
        while let Some(time) = self
            .host
            .timers
            .iter()
            .copied()
            .min()
            .filter(|time| *time <= end)
        {
            self.host.timers.retain(|timer| *timer != time);
            self.host.now = time;
            self.scheduler.on_timer(&mut self.host, time);
        }
        self.host.now = end;
    }

    pub fn count(&self, action: Action) -> usize {
        self.host
            .actions
            .iter()
            .filter(|(_, taken)| *taken == action)
            .count()
    }

    /// Returns the forwarded block I/Os, one entry per attempt.
    pub fn forwarded(&self) -> Vec<u32> {
        let id = |(_, action): &(Tick, Action)| match action {
            Action::Forwarded(id, _) => Some(*id),
            _ => None,
        };
        self.host.actions.iter().filter_map(id).collect()
    }

    /// Returns the times at which a block I/O got a final answer.
    pub fn answered_at(&self, id: u32) -> Vec<Tick> {
        let answers = [Action::Shed(id), Action::Failed(id)];
        let answered = self
            .host
            .actions
            .iter()
            .filter(|(_, action)| answers.contains(action));
        answered.map(|(time, _)| *time).collect()
    }

    /// Returns the nodes that a block I/O was forwarded to, one entry per attempt.
    pub fn nodes_of(&self, id: u32) -> Vec<u32> {
        let node = |(_, action): &(Tick, Action)| match action {
            Action::Forwarded(bio, node) if *bio == id => Some(*node),
            _ => None,
        };
        self.host.actions.iter().filter_map(node).collect()
    }

    /// Lets block I/Os arrive one after another, and completes each attempt after `latency`.
    pub fn complete_each(&mut self, ids: Range<u32>, latency: Tick) {
        for id in ids {
            self.arrive(self.bio(id));
            for _ in 0..40 {
                self.advance(latency);
                let released = self.count(Action::ReleasedBio(id)) > 0;
                if self.forwarded().contains(&id) && !released {
                    self.finish_attempt(id, 0, AttemptResult::Completed, latency);
                }
                if self.count(Action::ReleasedBio(id)) > 0 {
                    break;
                }
            }
        }
    }
}

/// Returns a block I/O of this class with ordering key 1.
pub fn with_key(harness: &Harness, id: u32, class: u16) -> Bio {
    Bio {
        class,
        key: Some(KeyId(1)),
        ..harness.bio(id)
    }
}

/// Returns a block I/O of a volume with a rate limit that is used through two hosts.
pub fn limited(harness: &Harness, id: u32) -> Bio {
    Bio {
        plan: 1,
        volume: VolumeId(5),
        hosts: 2,
        units: 4.0,
        ..harness.bio(id)
    }
}
