//! What the outcomes of attempts imply about nodes. A failing or overloaded node would get more load if its fast
//! failures, its missing answers or its outdated latency made it look fast.
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio, Plan, SchedulerConfig, VolumeId};
use support::{Action, Harness, OBJECTIVE, config};
use test_case::test_case;

#[test]
fn node_that_was_slow_is_tried_again() {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 9,
        ..config()
    });
    harness.complete_each(0..40, 2_500);
    harness.advance(80_000);
    harness.host.actions.clear();
    harness.arrive(harness.bio(50));
    assert_eq!(harness.forwarded(), [50]);
}

#[test]
fn fast_failures_do_not_make_a_node_count_as_fast() {
    let mut harness = Harness::new(&config());
    for id in 0..100 {
        harness.arrive(harness.bio(id));
        for _ in 0..10 {
            harness.advance(10);
            if harness.forwarded().last() == Some(&id) {
                harness.finish_attempt(id, 0, AttemptResult::ConnectFailed, 5);
            }
        }
    }
    assert!(
        harness.forwarded().len() < 20,
        "{} attempts in a second at an unreachable node",
        harness.forwarded().len()
    );
}

#[test]
fn new_objects_avoid_a_node_with_an_unanswered_attempt() {
    let mut harness = Harness::new(&config());
    harness.arrive(Bio {
        volume: VolumeId(20),
        ..harness.bio(0)
    });
    harness.advance(1_500);
    for id in 1..17 {
        harness.arrive(Bio {
            volume: VolumeId(id),
            shard: None,
            ..harness.bio(id)
        });
        harness.advance(20);
        if harness
            .host
            .actions
            .contains(&(harness.host.now - 20, Action::Forwarded(id, 1)))
        {
            harness.finish_attempt(id, 1, AttemptResult::Completed, 20);
        }
    }
    let sent_to_node_1 = harness
        .host
        .actions
        .iter()
        .filter(|d| matches!(d.1, Action::Forwarded(_, 1)))
        .count();
    assert!(
        sent_to_node_1 >= 10,
        "node 1 got {sent_to_node_1} of 16 block I/Os; node 0 may get only those that draw it twice"
    );
}

#[test]
fn node_that_answers_nothing_in_time_does_not_count_as_fast() {
    let mut settings = SchedulerConfig {
        hosts: 160,
        max_attempts: 1,
        ..config()
    };
    settings.plans[1] = Plan {
        priority_factor: 0.02,
        ..settings.plans[0].clone()
    };
    let mut harness = Harness::new(&settings);
    harness.complete_each(0..3, 100);
    for id in 30..33 {
        harness.arrive(harness.bio(id));
        harness.advance(OBJECTIVE);
        harness.finish_attempt(id, 0, AttemptResult::TimedOut, OBJECTIVE);
    }
    harness.arrive(Bio {
        plan: 1,
        volume: VolumeId(9),
        ..harness.bio(40)
    });
    harness.advance(OBJECTIVE / 2);
    assert_eq!(harness.count(Action::Forwarded(40, 0)), 0);
}

#[test_case(4, 3..6; "four hosts")]
#[test_case(160, 0..2; "hundreds of hosts")]
fn backoff_from_an_unreachable_node_grows_with_the_host_count(
    hosts: u32,
    attempts: std::ops::Range<usize>,
) {
    let mut harness = Harness::new(&SchedulerConfig { hosts, ..config() });
    let mut finished = 0;
    for id in 0..400 {
        harness.arrive(harness.bio(id));
        harness.advance(100);
        for id in harness.forwarded().split_off(finished) {
            harness.finish_attempt(id, 0, AttemptResult::ConnectFailed, 5);
            finished += 1;
        }
        if id == 200 {
            harness.host.actions.clear();
            finished = 0;
        }
    }
    assert!(attempts.contains(&finished), "{finished} attempts");
}
