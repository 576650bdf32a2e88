//! Reports to a scheduler and its timer, with a host that records requested actions. A report made while a scheduler
//! call is running would need the borrowed host, a late withdrawal would let an answered block I/O be sent, and a timer
//! fired early would never be set again.
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    AttemptResult, Bio, BioId, EndpointEvent, Host, Idempotency, IoClass, KeyId, NodeEndpoint,
    NodeId, NodeState, Plan, SchedulerConfig, Tick, VolumeId,
};
use mallowseam_scheduler_driver::{DrivenHost, FinishedAttempt, SchedulerDriver};

const LATENCY_OBJECTIVE: Tick = 2_000;
const DEADLINE: Tick = 10_000;
const MAX_ATTEMPTS: u32 = 3;
const ORDERED_CLASS: u16 = 1;
const NODE: NodeId = NodeId(0);

/// A host that records the actions that the scheduler requests.
#[derive(Default)]
struct RecordingHost {
    now: Tick,
    driver: SchedulerDriver<(), NodeId>,
    /// Whether every attempt fails while it is forwarded.
    fails_attempts: bool,
    forwarded: Vec<BioId>,
    cancelled: Vec<BioId>,
    answered: Vec<BioId>,
    released: Vec<BioId>,
}

impl Host for RecordingHost {
    fn forward(&mut self, bio: BioId, node: NodeId, _timeout: Tick) {
        self.forwarded.push(bio);
        let io = self
            .driver
            .in_flight_mut()
            .get_mut(bio)
            .expect("the block I/O is in flight");
        io.count_attempt();
        io.set_attempt(node);
        if self.fails_attempts {
            self.finish(bio, AttemptResult::ConnectFailed);
        }
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let io = self
            .driver
            .in_flight()
            .get(bio)
            .expect("the block I/O is in flight");
        if io.attempt_numbered(attempt).is_some() {
            self.cancelled.push(bio);
            self.finish(bio, AttemptResult::Cancelled);
        }
    }

    fn shed(&mut self, bio: BioId, _retry_after: Option<Tick>) {
        self.answer(bio);
    }

    fn fail(&mut self, bio: BioId) {
        self.answer(bio);
    }

    fn set_timer(&mut self, after: Tick) {
        self.driver.set_timer(self.now, after);
    }

    fn poll_endpoints(&mut self) {
        self.driver.request_endpoints();
    }

    fn release_bio(&mut self, bio: BioId) {
        self.released.push(bio);
        self.driver.in_flight_mut().release(bio);
    }

    fn release_key(&mut self, _key: KeyId) {}

    fn release_volume(&mut self, _volume: VolumeId) {}

    fn release_node(&mut self, _node: NodeId) {}
}

impl DrivenHost for RecordingHost {
    type BlockIo = ();
    type Attempt = NodeId;

    fn now(&self) -> Tick {
        self.now
    }

    fn driver_mut(&mut self) -> &mut SchedulerDriver<(), NodeId> {
        &mut self.driver
    }
}

impl RecordingHost {
    fn answer(&mut self, bio: BioId) {
        let io = self
            .driver
            .in_flight_mut()
            .get_mut(bio)
            .expect("the block I/O is in flight");
        if io.mark_answered() {
            self.answered.push(bio);
        }
    }

    fn finish(&mut self, bio: BioId, result: AttemptResult) {
        self.driver
            .queue_finished(FinishedAttempt::new(bio, NODE, result, 10));
    }
}

fn config() -> SchedulerConfig {
    let class = |ordered| IoClass {
        idempotency: Idempotency::Idempotent,
        latency_objective: LATENCY_OBJECTIVE,
        late_weight_ratio: 0.1,
        priority_weight: 2.0,
        ordered,
        writes: false,
    };
    SchedulerConfig {
        hosts: 1,
        classes: vec![class(false), class(true)],
        plans: vec![Plan {
            weight: 1.0,
            priority_factor: 1.0,
            ..Plan::default()
        }],
        mean_io_units: 1.0,
        max_io_units: 8.0,
        share_weight_factor: 0.5,
        spare_weight_factor: 0.1,
        max_attempts: MAX_ATTEMPTS,
        allow_cancel: true,
        endpoints_polled: true,
        ..SchedulerConfig::default()
    }
}

/// A host with its scheduler.
struct Fixture {
    host: RecordingHost,
    scheduler: Scheduler,
}

impl Fixture {
    /// Creates a host that knows one node and has run long enough to use it.
    fn new() -> Self {
        let host = RecordingHost {
            now: 100_000,
            ..RecordingHost::default()
        };
        let mut fixture = Fixture {
            scheduler: Scheduler::new(&config(), 7, host.now),
            host,
        };
        let endpoint = NodeEndpoint {
            node: NODE,
            zone: 0,
            shard: 0,
            state: NodeState::Active,
            started_at: None,
        };
        let now = fixture.host.now;
        fixture.scheduler.on_endpoints(
            &mut fixture.host,
            now,
            EndpointEvent::FullSnapshot,
            &[endpoint],
        );
        fixture.advance(12_000);
        fixture
    }

    /// Advances the clock by this duration, and fires every timer that becomes due.
    fn advance(&mut self, span: Tick) {
        let end = self.host.now + span;
        while let Some(due) = self.host.driver.timer_due().filter(|due| *due <= end) {
            self.host.now = due;
            assert!(self.host.fire_timer(&mut self.scheduler));
            self.host.report_all(&mut self.scheduler);
        }
        self.host.now = end;
    }

    fn arrive(&mut self, class: u16) -> BioId {
        let id = self.host.driver.in_flight_mut().insert(());
        let bio = Bio {
            id,
            class,
            key: (class == ORDERED_CLASS).then_some(KeyId(1)),
            volume: VolumeId(0),
            deadline: self.host.now + DEADLINE,
            units: 1.0,
            shard: Some(0),
            hosts: 1,
            ..Bio::default()
        };
        let now = self.host.now;
        self.scheduler.on_arrival(&mut self.host, now, bio);
        id
    }
}

#[test]
fn an_attempt_that_fails_while_it_is_forwarded_is_reported_once_that_call_has_returned() {
    let mut fixture = Fixture::new();
    fixture.host.fails_attempts = true;
    let io = fixture.arrive(0);
    assert_eq!(
        fixture.host.forwarded,
        [io],
        "the failure is not reported while the block I/O is forwarded"
    );
    assert!(fixture.host.report_next(&mut fixture.scheduler));
    fixture.host.report_all(&mut fixture.scheduler);
    fixture.advance(DEADLINE);
    assert!(
        fixture.host.forwarded.len() > 1,
        "the failure is reported, and the block I/O is retried"
    );
    assert!(fixture.host.forwarded.len() <= MAX_ATTEMPTS as usize);
    assert_eq!(fixture.host.answered, [io]);
    assert!(fixture.host.driver.in_flight().is_empty());
    assert!(!fixture.host.report_next(&mut fixture.scheduler));
}

#[test]
fn withdrawals_are_reported_before_attempts_that_finished_earlier() {
    let mut fixture = Fixture::new();
    let sent = fixture.arrive(ORDERED_CLASS);
    let queued = fixture.arrive(ORDERED_CLASS);
    assert_eq!(fixture.host.forwarded, [sent]);
    fixture.host.answer(sent);
    fixture.host.finish(sent, AttemptResult::Completed);
    fixture.host.answer(queued);
    fixture.host.driver.queue_withdrawal(queued);
    fixture.host.report_all(&mut fixture.scheduler);
    assert_eq!(
        fixture.host.forwarded,
        [sent],
        "the withdrawn block I/O is never sent"
    );
    assert_eq!(fixture.host.released, [queued, sent]);
}

#[test]
fn a_withdrawn_block_io_in_flight_is_cancelled_and_released() {
    let mut fixture = Fixture::new();
    let io = fixture.arrive(0);
    fixture.host.answer(io);
    fixture.host.driver.queue_withdrawal(io);
    fixture.host.report_all(&mut fixture.scheduler);
    assert_eq!(fixture.host.cancelled, [io]);
    assert_eq!(fixture.host.released, [io]);
}

#[test]
fn a_failed_attempt_is_not_retried_once_the_client_is_answered_or_the_block_io_withdrawn() {
    for is_answered in [true, false] {
        let mut fixture = Fixture::new();
        let io = fixture.arrive(0);
        fixture.host.finish(io, AttemptResult::ConnectFailed);
        let entry = fixture.host.driver.in_flight_mut().get_mut(io);
        let entry = entry.expect("the block I/O is in flight");
        if is_answered {
            entry.mark_answered();
        } else {
            entry.mark_withdrawn();
        }
        fixture.host.report_all(&mut fixture.scheduler);
        fixture.advance(DEADLINE);
        assert_eq!(fixture.host.forwarded, [io]);
        assert_eq!(fixture.host.released, [io]);
        assert!(fixture.host.answered.is_empty());
    }
}

#[test]
fn reports_of_released_block_ios_are_dropped() {
    let mut fixture = Fixture::new();
    let io = fixture.arrive(0);
    fixture.host.answer(io);
    fixture.host.finish(io, AttemptResult::Completed);
    fixture.host.report_all(&mut fixture.scheduler);
    assert_eq!(fixture.host.released, [io]);
    fixture.host.driver.queue_withdrawal(io);
    fixture.host.finish(io, AttemptResult::TimedOut);
    fixture.host.report_all(&mut fixture.scheduler);
    assert_eq!(fixture.host.released, [io]);
}

#[test]
fn a_finished_attempt_is_no_longer_in_flight_before_it_is_reported() {
    let mut fixture = Fixture::new();
    let io = fixture.arrive(0);
    fixture.host.finish(io, AttemptResult::ConnectFailed);
    let entry = fixture.host.driver.in_flight().get(io);
    assert!(entry.is_some_and(|io| io.attempt().is_none() && io.attempts() == 1));
}

#[test]
fn the_timer_fires_only_when_it_is_due() {
    let mut fixture = Fixture::new();
    let due = fixture.host.driver.timer_due().expect("the timer is set");
    fixture.host.now = due - 1;
    assert!(!fixture.host.fire_timer(&mut fixture.scheduler));
    assert_eq!(fixture.host.driver.timer_due(), Some(due));
    fixture.host.now = due;
    assert!(fixture.host.fire_timer(&mut fixture.scheduler));
    assert!(fixture.host.driver.timer_due() > Some(due));
}

#[test]
fn a_request_for_the_endpoint_list_is_taken_once() {
    let mut driver: SchedulerDriver<(), NodeId> = SchedulerDriver::default();
    assert!(!driver.take_endpoints_request());
    driver.request_endpoints();
    assert!(driver.take_endpoints_request());
    assert!(!driver.take_endpoints_request());
}
