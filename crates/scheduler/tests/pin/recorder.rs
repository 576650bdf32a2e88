//! The host of a simulated scheduler.
use super::nodes::{AttemptEnd, Mode, NODES, SimulatedNode, initial_endpoint};
use super::random::Random;
use mallowseam_scheduler::interface::{
    AttemptResult, Bio, BioId, EndpointEvent, Host, KeyId, NodeId, Tick, VolumeId,
};
use mallowseam_test_support::Digest;
use std::collections::BTreeMap;

/// An action that the scheduler requested. Its number is part of the hash.
#[derive(Clone, Copy, Debug)]
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

/// A future event.
#[derive(Clone, Copy)]
pub enum Event {
    Arrival,
    /// The outcome of the attempt with this serial number.
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

/// An attempt in flight.
pub struct Attempt {
    pub bio: BioId,
    pub node: NodeId,
    pub sent_at: Tick,
    /// Number of the attempt among those of its block I/O, counted from 0.
    pub index: u32,
}

/// A block I/O that the scheduler has not released.
pub struct UnreleasedBio {
    pub bio: Bio,
    pub arrival: u64,
    pub answered: bool,
    pub attempts: u32,
}

/// The host of a simulated scheduler: records each action and schedules the events that follow from it.
pub struct Recorder {
    pub now: Tick,
    pub random: Random,
    pub hash: Digest,
    pub counts: [u32; ACTION_KINDS],
    /// Actions since the last checkpoint, as text.
    pub recent: Vec<String>,
    pub events: BTreeMap<(Tick, u64), Event>,
    next_event: u64,
    pub nodes: Vec<SimulatedNode>,
    pub unreleased: BTreeMap<BioId, UnreleasedBio>,
    pub in_flight: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    free: Vec<u32>,
    next_bio: u32,
    /// Shed block I/Os, which their clients may retry in the remaining time.
    pub shed: Vec<Bio>,
}

impl Recorder {
    pub fn new(now: Tick, random: Random) -> Self {
        let node = |index| SimulatedNode {
            endpoint: initial_endpoint(index),
            mode: Mode::Fast,
        };
        Recorder {
            now,
            random,
            hash: Digest::default(),
            counts: [0; ACTION_KINDS],
            recent: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: (0..NODES).map(node).collect(),
            unreleased: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_attempt: 0,
            free: Vec::new(),
            next_bio: 0,
            shed: Vec::new(),
        }
    }

    pub fn new_id(&mut self) -> BioId {
        BioId(self.free.pop().unwrap_or_else(|| {
            self.next_bio += 1;
            self.next_bio - 1
        }))
    }

    fn record(&mut self, action: Action, numbers: [u64; 3]) {
        self.counts[action as usize] += 1;
        self.recent
            .push(format!("at {}: {action:?} {numbers:?}", self.now));
        self.hash.add(self.now as u64);
        self.hash.add(action as u64);
        for number in numbers {
            self.hash.add(number);
        }
    }

    pub fn schedule(&mut self, after: Tick, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    /// Draws and schedules the end of an attempt.
    fn schedule_attempt_end(&mut self, serial: u64, bio: &Bio, node: NodeId, timeout: Tick) {
        let load = self.in_flight.values().filter(|a| a.node == node).count() as Tick;
        let mode = self.nodes[node.0 as usize].mode;
        let AttemptEnd { latency, result } =
            mode.draw_attempt_end(&mut self.random, bio, load, timeout);
        self.schedule(latency, Event::AttemptOutcome { serial, result });
    }
}

impl Host for Recorder {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        self.record(
            Action::Forward,
            [bio.0.into(), node.0.into(), timeout as u64],
        );
        let unreleased = self
            .unreleased
            .get_mut(&bio)
            .expect("a released block I/O is not forwarded");
        let index = unreleased.attempts;
        unreleased.attempts += 1;
        let request = unreleased.bio;
        self.next_attempt += 1;
        let serial = self.next_attempt;
        self.schedule_attempt_end(serial, &request, node, timeout);
        self.in_flight.insert(
            serial,
            Attempt {
                bio,
                node,
                sent_at: self.now,
                index,
            },
        );
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        self.record(Action::Cancel, [bio.0.into(), attempt.into(), 0]);
        let mut attempts = self
            .in_flight
            .iter()
            .filter(|(_, a)| a.bio == bio && a.index == attempt);
        let found = attempts.next().map(|(serial, _)| *serial);
        if let Some(serial) = found {
            let after = self.random.between(1, 40);
            self.schedule(
                after,
                Event::AttemptOutcome {
                    serial,
                    result: AttemptResult::Cancelled,
                },
            );
        }
    }

    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>) {
        let retry_after = retry_after.unwrap_or(0);
        self.record(Action::Shed, [bio.0.into(), retry_after as u64, 0]);
        let unreleased = self
            .unreleased
            .get_mut(&bio)
            .expect("a released block I/O is not shed");
        assert!(
            !std::mem::replace(&mut unreleased.answered, true),
            "a block I/O gets only one final answer"
        );
        self.shed.push(unreleased.bio);
        if self.shed.len() > 20 {
            self.shed.remove(0);
        }
    }

    fn fail(&mut self, bio: BioId) {
        self.record(Action::Fail, [bio.0.into(), 0, 0]);
        let unreleased = self
            .unreleased
            .get_mut(&bio)
            .expect("a released block I/O does not fail");
        assert!(
            !std::mem::replace(&mut unreleased.answered, true),
            "a block I/O gets only one final answer"
        );
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
        assert!(
            self.unreleased.remove(&bio).is_some(),
            "a block I/O is released only once"
        );
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
