//! Cold start of a fleet in simulated time: thousands of schedulers, which run the same code as hosts, poll a discovery
//! service that serves one poll at a time.
mod files;

pub use files::{NamedOutcome, write};

use crate::Micros;
use crate::discovery_queue::{DiscoveryQueue, PollOutcome, ServiceBehavior};
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    BioId, EndpointEvent, Host, KeyId, NodeId, SchedulerConfig, Tick, VolumeId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a scheduler tick, in microseconds.
const TICK: Micros = 100;
/// Latency between a host and the service, in microseconds; also the upper bound of the jitter that is added for polls.
const LINK_LATENCY: Micros = 300;
/// Period within which all hosts start, in microseconds.
const START_SPREAD: Micros = 1_000_000;
/// Time after which the service rejects a queued poll, in microseconds.
const QUEUE_TIMEOUT: Micros = 1_000_000;
/// Microseconds in a second.
const SECOND: Micros = 1_000_000;

/// Parameters of a cold start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartCase {
    /// Number of hosts.
    pub hosts: u32,
    /// Time that the service takes for a poll, in microseconds.
    pub service_time: Micros,
    /// Service time that hosts are configured to assume, in microseconds; `None` for their default.
    pub advertised_service_time: Option<Micros>,
    /// Simulated time at which the service comes up, in microseconds.
    pub down_until: Micros,
    /// Whether the hosts already run with a list, and lose their watches together when the service goes down at time 0.
    pub already_running: bool,
}

/// Statistics of one second of a cold start, written as a row of a CSV file.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Second {
    /// Number of the second, from 0.
    pub second: u64,
    /// Number of polls that arrived in this second while the service was up.
    #[serde(rename = "calls")]
    pub polls: u64,
    /// Maximum number of queued polls in this second.
    #[serde(rename = "waiting")]
    pub queued: usize,
    /// Number of hosts that received their first list in this second.
    pub fresh: u32,
}

/// Results of a cold start.
#[derive(Clone, Debug, Default)]
pub struct ColdStartOutcome {
    /// Number of polls that arrived while the service was up.
    pub polls: u64,
    /// Number of polls that were rejected while the service was up.
    pub rejected: u64,
    /// Maximum number of polls that were queued at one time.
    pub max_queued: usize,
    /// Time from the start of the service until each host received its first list, in microseconds, ascending.
    pub list_delays: Vec<Micros>,
    /// Statistics of each second.
    pub seconds: Vec<Second>,
}

impl ColdStartOutcome {
    /// Returns the time within which `fraction` of the hosts that received a list had received it, in microseconds.
    pub fn list_delay_within(&self, fraction: f64) -> Option<Micros> {
        let count = (self.list_delays.len() as f64 * fraction).ceil() as usize;
        self.list_delays.get(count.max(1) - 1).copied()
    }

    /// Returns the number of hosts that had received a list by `time`, in microseconds from the start of the service.
    pub fn hosts_with_list_by(&self, time: Micros) -> usize {
        self.list_delays.partition_point(|delay| *delay <= time)
    }
}

/// Actions that a scheduler requested during one call.
#[derive(Default)]
struct RequestedActions {
    timer_after: Option<Tick>,
    poll: bool,
}

impl Host for RequestedActions {
    fn forward(&mut self, _: BioId, _: NodeId, _: Tick) {}
    fn cancel(&mut self, _: BioId, _: u32) {}
    fn shed(&mut self, _: BioId, _: Option<Tick>) {}
    fn fail(&mut self, _: BioId) {}
    fn set_timer(&mut self, after: Tick) {
        self.timer_after = Some(after);
    }
    fn poll_endpoints(&mut self) {
        self.poll = true;
    }
    fn release_bio(&mut self, _: BioId) {}
    fn release_key(&mut self, _: KeyId) {}
    fn release_volume(&mut self, _: VolumeId) {}
    fn release_node(&mut self, _: NodeId) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    /// A host starts.
    Start(u32),
    /// A host's timer fires.
    Timer(u32),
    /// A poll of a host, given by its number, reaches the service.
    PollArrives(u32, u64),
    /// The response to a poll reaches the host. The flag tells whether the response contains the list.
    Response(u32, u64, bool),
    /// The timeout of a host's poll elapses.
    PollTimeout(u32, u64),
    /// The service comes up.
    ServiceUp,
    /// The service finishes a poll.
    PollFinished,
}

#[derive(Default)]
struct ModelHost {
    scheduler: Option<Scheduler>,
    /// Number of the host's poll in flight.
    poll: Option<u64>,
    has_list: bool,
}

struct Model {
    case: ColdStartCase,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, ModelEvent)>>,
    hosts: Vec<ModelHost>,
    /// Queue of the discovery service; a poll is identified by host and number.
    queue: DiscoveryQueue<(u32, u64)>,
    last_poll: u64,
    outcome: ColdStartOutcome,
    rng: Pcg64Mcg,
}

/// Runs a cold start until all hosts have received a list or `max_duration` has elapsed, in microseconds.
pub fn run(case: ColdStartCase, seed: u64, max_duration: Micros) -> ColdStartOutcome {
    let mut model = Model::new(case, seed);
    while let Some(Reverse((at, event))) = model.events.pop() {
        if at > max_duration || model.outcome.list_delays.len() == case.hosts as usize {
            break;
        }
        model.now = at;
        model.handle(event);
    }
    let mut outcome = model.outcome;
    outcome.rejected = model.queue.rejected;
    outcome.max_queued = model.queue.max_queued;
    outcome.list_delays.sort_unstable();
    outcome
}

impl Model {
    fn new(case: ColdStartCase, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut queue = DiscoveryQueue::new(case.service_time, QUEUE_TIMEOUT);
        if case.down_until > 0 {
            queue.set_behavior(0, ServiceBehavior::Down);
        }
        let mut events = BinaryHeap::new();
        for host in 0..case.hosts {
            let at = if case.already_running {
                0
            } else {
                rng.random_range(0..START_SPREAD)
            };
            events.push(Reverse((at, ModelEvent::Start(host))));
        }
        events.push(Reverse((case.down_until, ModelEvent::ServiceUp)));
        let hosts = (0..case.hosts).map(|_| ModelHost::default()).collect();
        let outcome = ColdStartOutcome::default();
        Model {
            case,
            now: 0,
            events,
            hosts,
            queue,
            last_poll: 0,
            outcome,
            rng,
        }
    }

    fn schedule(&mut self, after: Micros, event: ModelEvent) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Start(host) => self.start(host),
            ModelEvent::Timer(host) => self.step(host, |s, actions, now| s.on_timer(actions, now)),
            ModelEvent::PollArrives(host, poll) => self.on_poll(host, poll),
            ModelEvent::Response(host, poll, has_list) => {
                if self.end_poll(host, poll) {
                    self.on_response(host, has_list);
                }
            }
            ModelEvent::PollTimeout(host, poll) => {
                if self.end_poll(host, poll) {
                    self.queue.cancel((host, poll));
                    self.notify(host, EndpointEvent::PollFailed);
                }
            }
            ModelEvent::ServiceUp => self.queue.set_behavior(self.now, ServiceBehavior::Normal),
            ModelEvent::PollFinished => {
                while let Some(((host, poll), outcome)) = self.queue.complete_next(self.now) {
                    self.respond(host, poll, outcome);
                }
                self.schedule_poll_finished();
            }
        }
    }

    fn start(&mut self, host: u32) {
        let config = SchedulerConfig {
            hosts: self.case.hosts,
            endpoints_polled: true,
            poll_service_time: self
                .case
                .advertised_service_time
                .map(|t| (t / TICK) as Tick),
            ..SchedulerConfig::default()
        };
        let scheduler = Scheduler::new(&config, self.rng.random(), (self.now / TICK) as Tick);
        self.hosts[host as usize].scheduler = Some(scheduler);
        if self.case.already_running {
            self.notify(host, EndpointEvent::FullSnapshot);
            self.notify(host, EndpointEvent::PollFailed);
        }
        self.step(host, |s, actions, now| s.on_timer(actions, now));
    }

    /// Ends a poll if it is the host's poll in flight. Returns whether it was.
    fn end_poll(&mut self, host: u32, poll: u64) -> bool {
        self.hosts[host as usize]
            .poll
            .take_if(|p| *p == poll)
            .is_some()
    }

    fn on_response(&mut self, host: u32, has_list: bool) {
        if has_list && !std::mem::replace(&mut self.hosts[host as usize].has_list, true) {
            self.outcome
                .list_delays
                .push(self.now.saturating_sub(self.case.down_until));
            self.current_second().fresh += 1;
        }
        let event = if has_list {
            EndpointEvent::FullSnapshot
        } else {
            EndpointEvent::PollFailed
        };
        self.notify(host, event);
    }

    fn respond(&mut self, host: u32, poll: u64, outcome: PollOutcome) {
        let has_list = outcome == PollOutcome::Served;
        self.schedule(LINK_LATENCY, ModelEvent::Response(host, poll, has_list));
    }

    fn schedule_poll_finished(&mut self) {
        if let Some(due) = self.queue.next_due() {
            self.events.push(Reverse((due, ModelEvent::PollFinished)));
        }
    }

    fn on_poll(&mut self, host: u32, poll: u64) {
        if self.queue.behavior() == ServiceBehavior::Down {
            return self.respond(host, poll, PollOutcome::Rejected);
        }
        self.outcome.polls += 1;
        let was_idle = self.queue.next_due().is_none();
        if let Some(outcome) = self.queue.enqueue(self.now, (host, poll), &mut self.rng) {
            self.respond(host, poll, outcome);
        }
        let queued = self.queue.queued();
        let second = self.current_second();
        second.polls += 1;
        second.queued = second.queued.max(queued);
        if was_idle {
            self.schedule_poll_finished();
        }
    }

    fn current_second(&mut self) -> &mut Second {
        let index = (self.now / SECOND) as usize;
        for second in self.outcome.seconds.len()..=index {
            self.outcome.seconds.push(Second {
                second: second as u64,
                ..Second::default()
            });
        }
        &mut self.outcome.seconds[index]
    }

    fn notify(&mut self, host: u32, event: EndpointEvent) {
        self.step(host, |s, actions, now| {
            s.on_endpoints(actions, now, event, &[]);
        });
    }

    /// Calls the scheduler of a host and carries out the actions that it requests.
    fn step(&mut self, host: u32, act: impl FnOnce(&mut Scheduler, &mut RequestedActions, Tick)) {
        let mut actions = RequestedActions::default();
        let Some(scheduler) = &mut self.hosts[host as usize].scheduler else {
            return;
        };
        act(scheduler, &mut actions, (self.now / TICK) as Tick);
        if let Some(after) = actions.timer_after {
            self.schedule(after as Micros * TICK, ModelEvent::Timer(host));
        }
        if actions.poll {
            self.send_poll(host);
        }
    }

    fn send_poll(&mut self, host: u32) {
        self.last_poll += 1;
        let poll = self.last_poll;
        self.hosts[host as usize].poll = Some(poll);
        let latency = LINK_LATENCY + self.rng.random_range(0..LINK_LATENCY);
        self.schedule(latency, ModelEvent::PollArrives(host, poll));
        self.schedule(
            WatchLiveness::new(0).fails_at() * 1_000,
            ModelEvent::PollTimeout(host, poll),
        );
    }
}
