//! Nodes whose entry in the endpoint list changes: draining, removed, forgotten and returning nodes. Block I/Os would
//! be sent to a node that is no longer in service, or an index would be reused while an attempt still refers to it.
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio, EndpointEvent, NodeEndpoint, NodeState};
use support::{Action, Harness, config, node};
use test_case::test_case;

#[test_case(EndpointEvent::Incremental, &[node(0, NodeState::Draining, None)]; "draining")]
#[test_case(EndpointEvent::Incremental, &[node(0, NodeState::Removed, None)]; "removed")]
#[test_case(EndpointEvent::FullSnapshot, &[node(1, NodeState::Active, None)]; "missing from the full snapshot")]
fn inactive_node_gets_no_new_block_io(event: EndpointEvent, endpoints: &[NodeEndpoint]) {
    let mut harness = Harness::new(&config());
    (0..6).for_each(|id| harness.arrive(harness.bio(id)));
    let before = harness.forwarded();
    harness.on_endpoints(event, endpoints);
    for id in &before {
        harness.finish_attempt(*id, 0, AttemptResult::Completed, 50);
    }
    harness.arrive(harness.bio(7));
    assert_eq!(
        (harness.forwarded(), harness.count(Action::Shed(7))),
        (before, 1),
        "the block I/O is answered at once, not queued"
    );
}

#[test]
fn new_object_queued_for_a_removed_node_moves_to_another() {
    let mut harness = Harness::new(&config());
    (0..12).for_each(|id| {
        harness.arrive(Bio {
            shard: None,
            ..harness.bio(id)
        });
    });
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(0, NodeState::Removed, None)],
    );
    for _ in 0..40 {
        let forwarded = harness.forwarded();
        let sent_to_node_1 = harness
            .host
            .actions
            .iter()
            .filter(|d| matches!(d.1, Action::Forwarded(_, 1)))
            .count();
        assert!(sent_to_node_1 <= forwarded.len());
        if let Some(id) = forwarded
            .iter()
            .rev()
            .find(|id| harness.count(Action::ReleasedBio(**id)) == 0)
            .copied()
        {
            harness.finish_attempt(id, 1, AttemptResult::Completed, 100);
        }
    }
    assert!(
        (0..12).all(|id| harness.forwarded().contains(&id) && harness.count(Action::Shed(id)) == 0)
    );
}

#[test]
fn removed_node_is_forgotten_once_it_has_no_attempt_in_flight() {
    let mut harness = Harness::new(&config());
    harness.arrive(harness.bio(0));
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[
            node(0, NodeState::Removed, None),
            node(1, NodeState::Removed, None),
        ],
    );
    harness.advance(599_000);
    assert_eq!(harness.count(Action::ReleasedNode(1)), 0);
    harness.advance(3_000);
    assert_eq!(
        (
            harness.count(Action::ReleasedNode(1)),
            harness.count(Action::ReleasedNode(0))
        ),
        (1, 0),
        "node 0 still has an attempt in flight"
    );
    harness.finish_attempt(0, 0, AttemptResult::TimedOut, 602_000);
    harness.advance(2_000);
    assert_eq!(harness.count(Action::ReleasedNode(0)), 1);
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(0, NodeState::Active, None)],
    );
    harness.advance(3_000);
    harness.arrive(harness.bio(1));
    assert!(
        harness.forwarded().contains(&1),
        "the index of the forgotten node is usable again"
    );
}

#[test]
fn node_that_returns_within_a_minute_keeps_its_index() {
    let mut harness = Harness::new(&config());
    for _ in 0..3 {
        harness.on_endpoints(
            EndpointEvent::Incremental,
            &[node(1, NodeState::Removed, None)],
        );
        harness.advance(500_000);
        harness.on_endpoints(
            EndpointEvent::Incremental,
            &[node(1, NodeState::Active, None)],
        );
        harness.advance(2_000);
    }
    assert_eq!(harness.count(Action::ReleasedNode(1)), 0);
}
