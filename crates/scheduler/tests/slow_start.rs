//! Load on nodes that have just started.
mod support;

use mallowseam_scheduler::interface::{
    AttemptResult, Bio, EndpointEvent, NodeEndpoint, NodeId, NodeState, SchedulerConfig, Tick,
    VolumeId,
};
use support::{Action, Harness, OBJECTIVE, node, slow_start_config};

#[test]
fn host_keeps_to_its_share_of_the_slow_start_capacity() {
    let mut harness = Harness::new(&slow_start_config());
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(0, NodeState::Active, harness.host.now)],
    );
    for id in 0..100 {
        harness.arrive(harness.bio(id));
        harness.advance(190);
        harness.finish_attempt(id, 0, AttemptResult::Completed, 50);
    }
    let units = 2.0 * harness.forwarded().len() as f64;
    assert!(units > 0.0 && units <= 24.0 / 3.0);
}

#[test]
fn host_that_has_just_started_counts_its_share_as_spent() {
    let mut harness = Harness::new(&slow_start_config());
    harness.on_endpoints(
        EndpointEvent::Cached,
        &[node(0, NodeState::Active, harness.host.now - 1_000)],
    );
    harness.advance(3_100);
    harness.arrive(harness.bio(0));
    harness.advance(OBJECTIVE);
    assert!(harness.forwarded().is_empty());
}

#[test]
fn warm_node_keeps_serving_while_its_replacement_warms_up() {
    let mut harness = Harness::new(&slow_start_config());
    let next = NodeEndpoint {
        node: NodeId(2),
        ..node(0, NodeState::Active, harness.host.now)
    };
    harness.on_endpoints(EndpointEvent::Incremental, &[next]);
    harness.advance(3_100);
    for id in 0..20 {
        harness.arrive(Bio {
            volume: VolumeId(id),
            ..harness.bio(id)
        });
        harness.advance(100);
        let at = if harness.count(Action::Forwarded(id, 0)) > 0 {
            0
        } else {
            2
        };
        harness.finish_attempt(id, at, AttemptResult::Completed, 100);
    }
    assert_eq!(
        harness.forwarded().len(),
        20,
        "none waits for the warming node's next share"
    );
    assert!(
        harness
            .host
            .actions
            .iter()
            .any(|d| matches!(d.1, Action::Forwarded(_, 2)))
    );
}

/// Units that hosts without a history send to a warming node in its first overload window: so many of 300, each
/// with a block I/O of two units for it at a time of its own, and again so often.
fn units_sent_to_warming_node(askers: u64, again: u32, seed: u64) -> f64 {
    let config = SchedulerConfig {
        hosts: 300,
        overload_multiple: 4.0,
        ..slow_start_config()
    };
    let one = |host: u64| {
        let mut harness = Harness::starting(&config, 1_000 * seed + host);
        harness.on_endpoints(
            EndpointEvent::FullSnapshot,
            &[node(0, NodeState::Active, harness.host.now)],
        );
        harness.advance(3_100 + host as Tick % 7 * 300);
        for id in 0..again {
            harness.arrive(harness.bio(id));
            harness.advance(100);
            harness.finish_attempt(id, 0, AttemptResult::Completed, 100);
            harness.advance(3_000);
        }
        2.0 * harness.forwarded().len() as f64
    };
    (0..askers).map(one).sum()
}

#[test]
fn new_hosts_use_the_slow_start_capacity_though_most_have_nothing_to_send() {
    // It bears 24 units; even shares would be 0.08 each. Four hosts have demand; each sends one at a time or none.
    let sums: Vec<f64> = (0..40)
        .map(|seed| units_sent_to_warming_node(4, 3, seed))
        .collect();
    let mean = sums.iter().sum::<f64>() / 40.0;
    assert!(mean > 1.0, "{mean} of 24 in demand");
    // With demand for all that it does when warm, 30 units in that window: it bears what the draws let through.
    let most = (0..200)
        .map(|seed| units_sent_to_warming_node(15, 1, seed))
        .fold(0.0, f64::max);
    assert!(most <= 24.0, "{most}");
}

#[test]
fn new_host_sends_to_a_warming_node_by_what_warm_nodes_accept() {
    let config = SchedulerConfig {
        hosts: 300,
        overload_multiple: 4.0,
        ..slow_start_config()
    };
    // So many of 400 send their one block I/O to the warming node, after demand for the warm one, which answers or not.
    let sent = |demand: u32, answers: bool| {
        let one = |seed| {
            let mut harness = Harness::starting(&config, seed);
            let up = harness.host.now;
            harness.on_endpoints(
                EndpointEvent::FullSnapshot,
                &[
                    node(0, NodeState::Active, up),
                    node(1, NodeState::Active, None),
                ],
            );
            harness.advance(3_100);
            for id in 1..=demand {
                harness.arrive(Bio {
                    shard: Some(1),
                    volume: VolumeId(1),
                    ..harness.bio(id)
                });
                harness.advance(100);
                if answers {
                    harness.finish_attempt(id, 1, AttemptResult::Completed, 100);
                }
            }
            harness.advance(6_000);
            harness.arrive(harness.bio(0));
            harness.forwarded().contains(&0)
        };
        (0..400).filter(|seed| one(*seed)).count()
    };
    let (unknown, taken, refused) = (sent(0, true), sent(20, true), sent(20, false));
    // By the whole probability 0.8 * 4 * 0.2, by half of it, and by a tenth.
    assert!((200..=300).contains(&taken), "{taken}");
    assert!((90..=165).contains(&unknown), "{unknown}");
    assert!(refused < 80, "{refused}");
}

#[test]
fn host_among_hundreds_sends_whole_block_ios_to_a_warming_node_by_random_draw() {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 160,
        overload_multiple: 4.0,
        ..slow_start_config()
    });
    for id in 0..20 {
        harness.arrive(Bio {
            volume: VolumeId(id),
            ..harness.bio(id)
        });
        harness.advance(100);
        harness.finish_attempt(id, 0, AttemptResult::Completed, 100);
        harness.advance(30_000);
    }
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[NodeEndpoint {
            node: NodeId(2),
            ..node(0, NodeState::Active, harness.host.now)
        }],
    );
    harness.on_endpoints(
        EndpointEvent::Incremental,
        &[node(0, NodeState::Removed, None)],
    );
    harness.host.actions.clear();
    let mut seen = 0;
    for id in 200..300 {
        harness.arrive(Bio {
            volume: VolumeId(id),
            units: 8.0,
            ..harness.bio(id)
        });
        harness.advance(1_800);
        for id in harness.forwarded().split_off(seen) {
            harness.finish_attempt(id, 2, AttemptResult::Completed, 100);
            seen += 1;
        }
    }
    assert!((3..=15).contains(&seen), "{seen} of 100 while it warms up");
}
