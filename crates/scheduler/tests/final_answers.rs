//! Each block I/O gets exactly one final answer, in time. An answer could be missing, repeated or late if a block I/O
//! is queued again, its index is reused or its node is removed while events for it are pending.
mod support;

use mallowseam_scheduler::interface::{
    AttemptResult, Bio, EndpointEvent, NodeState, Plan, SchedulerConfig, VolumeId,
};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config, limited, node};
use test_case::test_case;

#[test]
fn queued_block_io_at_an_unresponsive_node_gets_one_answer_when_its_objective_ends() {
    let mut harness = Harness::new(&config());
    let start = harness.host.now;
    (0..6).for_each(|id| harness.arrive(harness.bio(id)));
    harness.advance(OBJECTIVE + 10);
    let queued: Vec<u32> = (0..6)
        .filter(|id| !harness.forwarded().contains(id))
        .collect();
    assert!(!queued.is_empty());
    assert!(
        queued
            .iter()
            .all(|id| harness.count(Action::Shed(*id)) == 1)
    );
    harness.advance(DEADLINE);
    assert!(
        queued
            .iter()
            .all(|id| harness.answered_at(*id) == [start + OBJECTIVE]),
        "answered when the objective ends, not near the deadline"
    );
}

#[test]
fn block_io_queued_again_after_a_failed_attempt_still_gets_one_answer() {
    let mut harness = Harness::new(&config());
    harness.arrive(harness.bio(0));
    harness.advance(OBJECTIVE + 100);
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(1, NodeState::Active, None)],
    );
    harness.arrive(harness.bio(1));
    harness.finish_attempt(0, 0, AttemptResult::Rejected, 10);
    harness.advance(DEADLINE);
    let answers = harness.count(Action::Shed(0)) + harness.count(Action::Failed(0));
    assert!(answers == 1 || harness.forwarded().iter().filter(|id| **id == 0).count() > 1);
    assert!(harness.count(Action::Shed(1)) + harness.count(Action::Failed(1)) <= 1);
}

#[test]
fn events_for_a_released_block_io_change_nothing_even_when_its_index_is_reused() {
    let mut harness = Harness::new(&config());
    harness.arrive(harness.bio(0));
    harness.finish_attempt(0, 0, AttemptResult::Completed, 200);
    harness.finish_attempt(0, 0, AttemptResult::TimedOut, 200);
    harness.disconnect(0);
    (1..9).for_each(|id| {
        harness.arrive(Bio {
            volume: VolumeId(id),
            ..harness.bio(id)
        });
    });
    harness.arrive(harness.bio(0));
    harness.finish_attempt(0, 0, AttemptResult::Completed, 200);
    harness.advance(DEADLINE);
    assert_eq!(
        (
            harness.count(Action::ReleasedBio(0)),
            harness.count(Action::Shed(0))
        ),
        (2, 1)
    );
}

#[test]
fn disconnected_client_is_not_answered_and_its_index_is_kept_until_the_outcome() {
    let mut harness = Harness::new(&config());
    harness.arrive(harness.bio(0));
    harness.disconnect(0);
    assert_eq!(
        (
            harness.count(Action::Cancelled(0)),
            harness.count(Action::ReleasedBio(0))
        ),
        (1, 0)
    );
    harness.finish_attempt(0, 0, AttemptResult::Cancelled, 30);
    assert_eq!(
        (
            harness.count(Action::ReleasedBio(0)),
            harness.count(Action::Shed(0))
        ),
        (1, 0)
    );
}

#[test]
fn zero_values_in_the_config_and_in_block_ios_are_tolerated() {
    let classes = config().classes;
    let mut harness = Harness::new(&SchedulerConfig {
        classes,
        plans: vec![Plan::default()],
        ..SchedulerConfig::default()
    });
    harness.arrive(Bio {
        units: 0.0,
        hosts: 0,
        ..harness.bio(0)
    });
    harness.advance(1_000);
    assert_eq!(harness.forwarded(), [0]);
    harness.finish_attempt(0, 0, AttemptResult::Completed, 0);
    let mut harness = Harness::new(&config());
    (0..4).for_each(|id| {
        harness.arrive(Bio {
            hosts: 0,
            units: 8.0,
            ..limited(&harness, id)
        });
    });
    harness.advance(1_000);
    assert_eq!(harness.forwarded().len(), 1);
}

#[test]
fn unsent_block_io_is_shed_at_half_of_its_deadline() {
    let mut harness = Harness::new(&SchedulerConfig {
        shed_at_half_deadline: true,
        ..config()
    });
    (0..6).for_each(|id| harness.arrive(harness.bio(id)));
    // The deadline is only a little later than the end of the objective.
    let short_deadline = Bio {
        deadline: harness.host.now + OBJECTIVE + 200,
        ..harness.bio(9)
    };
    harness.arrive(short_deadline);
    assert!(!harness.forwarded().contains(&9));
    harness.advance(OBJECTIVE / 2);
    assert_eq!(harness.count(Action::Shed(9)), 0);
    harness.advance(150);
    assert_eq!(harness.count(Action::Shed(9)), 1);
}

#[test_case(0, AttemptResult::Rejected; "rejected by the node")]
#[test_case(0, AttemptResult::ConnectionReset; "connection reset")]
#[test_case(1, AttemptResult::TimedOut; "non-idempotent and may have run")]
fn block_io_without_attempts_left_is_answered_as_the_last_one_finishes(
    class: u16,
    result: AttemptResult,
) {
    let mut settings = SchedulerConfig {
        max_attempts: 1,
        allow_retry_after: true,
        max_retry_after: 5_000,
        ..config()
    };
    settings.classes[0].latency_objective = DEADLINE;
    let mut harness = Harness::new(&settings);
    harness.arrive(Bio {
        class,
        ..harness.bio(0)
    });
    harness.advance(700);
    let now = harness.host.now;
    harness.finish_attempt(0, 0, result, 700);
    assert_eq!(
        harness.answered_at(0),
        [now],
        "answered at once, not queued again while its client could retry"
    );
    let shed = class == 0;
    assert_eq!(
        harness.host.retry_after,
        if shed { vec![1_000] } else { vec![] },
        "a shed block I/O states a Retry-After"
    );
}

#[test]
fn block_io_that_cannot_be_served_is_answered_at_once() {
    let mut harness = Harness::new(&config());
    let start = harness.host.now;
    harness.arrive(Bio {
        shard: Some(9),
        ..harness.bio(0)
    });
    harness.arrive(Bio {
        deadline: start + 50,
        ..harness.bio(1)
    });
    assert_eq!(
        (harness.answered_at(0), harness.answered_at(1)),
        (vec![start], vec![start]),
        "no node holds the shard of the first block I/O, and the second one has no time left"
    );
    (2..9).for_each(|id| harness.arrive(harness.bio(id)));
    let queued: Vec<u32> = (2..9)
        .filter(|id| !harness.forwarded().contains(id))
        .collect();
    harness.advance(900);
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(0, NodeState::Removed, None)],
    );
    assert!(!queued.is_empty());
    assert!(
        queued
            .iter()
            .all(|id| harness.answered_at(*id) == [start + 900]),
        "queued block I/Os are answered when their node is removed"
    );
}
