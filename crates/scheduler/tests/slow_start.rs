//! Load on nodes that have just started. A node in slow start fails if all hosts together send more than it sustains,
//! and stays unused if hosts keep to even shares that are smaller than a block I/O.
mod support;

use mallowseam_scheduler::interface::{
    AttemptResult, Bio, EndpointEvent, NodeEndpoint, NodeId, NodeState, SchedulerConfig, Tick,
    VolumeId,
};
use support::{Action, Harness, OBJECTIVE, node, slow_start_config};

#[test]
fn host_does_not_exceed_its_share_of_the_slow_start_capacity() {
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
fn host_that_has_just_started_counts_its_share_as_used() {
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
        "every block I/O is sent without waiting for the next share of the node in slow start"
    );
    assert!(
        harness
            .host
            .actions
            .iter()
            .any(|d| matches!(d.1, Action::Forwarded(_, 2)))
    );
}

/// Returns the units that hosts without a history send to a node in slow start during its first overload window.
/// `active_hosts` of 300 hosts each send `block_ios` block I/Os of two units, starting at different times.
fn units_sent_to_warming_node(active_hosts: u64, block_ios: u32, seed: u64) -> f64 {
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
        for id in 0..block_ios {
            harness.arrive(harness.bio(id));
            harness.advance(100);
            harness.finish_attempt(id, 0, AttemptResult::Completed, 100);
            harness.advance(3_000);
        }
        2.0 * harness.forwarded().len() as f64
    };
    (0..active_hosts).map(one).sum()
}

#[test]
fn new_hosts_use_the_slow_start_capacity_although_most_have_nothing_to_send() {
    // The node sustains 24 units, so an even share is 0.08 units. Four hosts have demand; each sends one block I/O at a
    // time, or none.
    let sums: Vec<f64> = (0..40)
        .map(|seed| units_sent_to_warming_node(4, 3, seed))
        .collect();
    let mean = sums.iter().sum::<f64>() / 40.0;
    assert!(
        mean > 1.0,
        "a mean of {mean} units was sent out of 24 in demand"
    );
    // The demand is 30 units in the window, all that the node serves when warm. The random draws must not let through
    // more than it sustains.
    let highest = (0..200)
        .map(|seed| units_sent_to_warming_node(15, 1, seed))
        .fold(0.0, f64::max);
    assert!(
        highest <= 24.0,
        "{highest} units were sent to a node that sustains 24"
    );
}

#[test]
fn new_host_sends_to_a_warming_node_in_proportion_to_what_warm_nodes_accept() {
    let config = SchedulerConfig {
        hosts: 300,
        overload_multiple: 4.0,
        ..slow_start_config()
    };
    // Returns how many of 400 hosts send their one block I/O to the node in slow start, after `demand` block I/Os for
    // the warm node, which answers them or not.
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
    let (without_demand, accepted, unanswered) = (sent(0, true), sent(20, true), sent(20, false));
    // The probability is 0.8 * 4 * 0.2 if warm nodes accept all demand, half of that without any demand, and a tenth of
    // it if they accept little.
    assert!(
        (200..=300).contains(&accepted),
        "{accepted} of 400 after accepted demand"
    );
    assert!(
        (90..=165).contains(&without_demand),
        "{without_demand} of 400 without demand"
    );
    assert!(
        unanswered < 80,
        "{unanswered} of 400 after unanswered demand"
    );
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
    let mut finished = 0;
    for id in 200..300 {
        harness.arrive(Bio {
            volume: VolumeId(id),
            units: 8.0,
            ..harness.bio(id)
        });
        harness.advance(1_800);
        for id in harness.forwarded().split_off(finished) {
            harness.finish_attempt(id, 2, AttemptResult::Completed, 100);
            finished += 1;
        }
    }
    assert!(
        (3..=15).contains(&finished),
        "{finished} of 100 block I/Os were sent to the node in slow start"
    );
}
