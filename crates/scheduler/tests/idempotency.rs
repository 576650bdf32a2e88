//! Block I/Os that may have run are repeated only where that is harmless. A repeat would run twice if the block I/O is
//! not idempotent, or if the node does not share the idempotency key or has forgotten it.
mod support;

use mallowseam_scheduler::interface::{
    AttemptResult, Bio, DeduplicationScope, EndpointEvent, Idempotency, NodeState,
};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config, node, with_key};
use test_case::test_case;

#[test_case(AttemptResult::Rejected, true; "rejected")]
#[test_case(AttemptResult::ConnectFailed, true; "connection failed")]
#[test_case(AttemptResult::TimedOut, false; "timed out")]
#[test_case(AttemptResult::ConnectionReset, false; "reset")]
#[test_case(AttemptResult::Error, false; "error")]
fn non_idempotent_block_io_is_retried_only_if_it_never_ran(
    result: AttemptResult,
    is_retried: bool,
) {
    let mut harness = Harness::new(&config());
    harness.arrive(with_key(&harness, 0, 1));
    harness.finish_attempt(0, 0, result, 20);
    harness.advance(OBJECTIVE / 2);
    assert_eq!(harness.forwarded().len(), 1 + usize::from(is_retried));
    assert_eq!(harness.count(Action::Failed(0)), usize::from(!is_retried));
    assert_eq!(harness.count(Action::Shed(0)), 0);
}

#[test]
fn idempotency_key_is_not_relied_on_after_its_window() {
    let mut settings = config();
    settings.classes[3].latency_objective = 8_000;
    let mut harness = Harness::new(&settings);
    harness.arrive(Bio {
        class: 3,
        ..harness.bio(0)
    });
    harness.advance(2_990);
    harness.finish_attempt(0, 0, AttemptResult::ConnectionReset, 2_990);
    harness.advance(DEADLINE);
    assert_eq!(harness.forwarded(), [0]);
    assert_eq!(
        (
            harness.count(Action::Failed(0)),
            harness.count(Action::Shed(0))
        ),
        (1, 0)
    );
}

#[test]
fn keyed_block_io_whose_window_ends_in_the_queue_is_answered_then_and_not_at_its_objective() {
    let mut settings = config();
    settings.classes[3].latency_objective = 8_000;
    settings.classes[3].idempotency = Idempotency::IdempotentByKey {
        scope: DeduplicationScope::Shard,
        window: 1_000,
    };
    let mut harness = Harness::new(&settings);
    let start = harness.host.now;
    harness.arrive(Bio {
        class: 3,
        ..harness.bio(0)
    });
    (1..5).for_each(|id| harness.arrive(harness.bio(id)));
    harness.advance(500);
    // The node fails repeatedly, and is paused for longer than it remembers keys.
    (1..5).for_each(|id| harness.finish_attempt(id, 0, AttemptResult::Error, 500));
    harness.finish_attempt(0, 0, AttemptResult::ConnectionReset, 500);
    harness.advance(DEADLINE);
    assert_eq!(
        (harness.count(Action::Failed(0)), harness.nodes_of(0)),
        (1, vec![0])
    );
    assert!(
        harness.answered_at(0)[0] <= start + 1_000,
        "{:?} from {start}",
        harness.answered_at(0)
    );
}

#[test]
fn new_object_that_may_have_run_is_retried_in_its_shard_or_answered_at_once() {
    for others in 0..20 {
        let mut harness = Harness::new(&config());
        let new = |harness: &Harness, id| Bio {
            class: 3,
            shard: None,
            ..harness.bio(id)
        };
        (0..others).for_each(|id| {
            harness.arrive(Bio {
                class: 0,
                ..new(&harness, id)
            });
        });
        harness.host.actions.clear();
        harness.arrive(new(&harness, 100));
        let Some(first) = harness.nodes_of(100).first().copied() else {
            continue;
        };
        // The only node of the shard starts to drain before the outcome arrives.
        harness.on_endpoints(
            EndpointEvent::Incremental,
            &[node(first, NodeState::Draining, None)],
        );
        let now = harness.host.now;
        harness.finish_attempt(100, first, AttemptResult::ConnectionReset, 10);
        assert_eq!(
            (harness.nodes_of(100), harness.answered_at(100)),
            (vec![first], vec![now]),
            "after {others} other block I/Os"
        );
    }
}
