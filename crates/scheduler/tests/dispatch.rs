//! Which queued block I/O is sent to a node next, and which waits so that other hosts can use the node. Low priorities
//! would delay high ones if they filled a node that is overloaded or answers late.
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio, Plan, SchedulerConfig, VolumeId};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config};
use test_case::test_case;

#[test]
fn block_io_with_the_highest_priority_is_sent_first() {
    let mut settings = config();
    settings.plans[1] = Plan {
        priority_factor: 0.5,
        ..settings.plans[0].clone()
    };
    let mut harness = Harness::new(&settings);
    (0..8).for_each(|id| {
        harness.arrive(Bio {
            plan: 1,
            volume: VolumeId(3),
            units: 1.0,
            ..harness.bio(id)
        });
    });
    harness.arrive(harness.bio(9));
    let first = harness.forwarded().len();
    let id = harness.forwarded()[0];
    harness.finish_attempt(id, 0, AttemptResult::Completed, 200);
    assert_eq!(harness.forwarded().get(first), Some(&9));
}

#[test_case(4.0, 1; "high priority is sent")]
#[test_case(0.2, 0; "low priority leaves the node to other hosts")]
fn overloaded_node_is_left_to_the_highest_priority(priority_factor: f64, sends: usize) {
    let mut settings = SchedulerConfig {
        hosts: 9,
        ..config()
    };
    settings.plans[0].priority_factor = 4.0;
    settings.plans[1] = Plan {
        priority_factor,
        ..settings.plans[0].clone()
    };
    let mut harness = Harness::new(&settings);
    harness.complete_each(0..60, 900);
    harness.advance(1_500);
    harness.host.actions.clear();
    harness.arrive(Bio {
        plan: 1,
        volume: VolumeId(1),
        ..harness.bio(500)
    });
    harness.advance(1);
    assert_eq!(harness.forwarded().len(), sends);
}

#[test]
fn one_slow_answer_after_an_idle_period_keeps_low_priority_away() {
    let mut settings = SchedulerConfig {
        hosts: 160,
        ..config()
    };
    settings.plans[1] = Plan {
        priority_factor: 0.02,
        ..settings.plans[0].clone()
    };
    let mut harness = Harness::new(&settings);
    harness.complete_each(0..3, 200);
    harness.advance(30_000);
    harness.arrive(harness.bio(30));
    harness.advance(1_500);
    harness.finish_attempt(30, 0, AttemptResult::Completed, 1_500);
    harness.arrive(Bio {
        plan: 1,
        volume: VolumeId(9),
        ..harness.bio(31)
    });
    harness.advance(300);
    assert_eq!(harness.count(Action::Forwarded(31, 0)), 0);
    harness.arrive(Bio {
        volume: VolumeId(8),
        ..harness.bio(32)
    });
    harness.advance(300);
    assert_eq!(harness.count(Action::Forwarded(32, 0)), 1);
}

#[test]
fn block_io_that_would_be_late_is_not_sent_even_with_nothing_in_flight() {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 160,
        ..config()
    });
    harness.complete_each(0..20, 1_000);
    harness.host.actions.clear();
    harness.arrive(Bio {
        deadline: harness.host.now + 600,
        ..harness.bio(40)
    });
    harness.advance(DEADLINE);
    assert_eq!(
        (
            harness.count(Action::Forwarded(40, 0)),
            harness.count(Action::Shed(40))
        ),
        (0, 1)
    );
}

#[test]
fn late_answers_from_one_node_keep_low_priority_from_another() {
    let mut settings = SchedulerConfig {
        hosts: 160,
        ..config()
    };
    settings.plans[1] = Plan {
        priority_factor: 0.02,
        ..settings.plans[0].clone()
    };
    let mut harness = Harness::new(&settings);
    for id in 0..8 {
        harness.arrive(Bio {
            shard: Some(1),
            ..harness.bio(id)
        });
        harness.advance(OBJECTIVE + 100);
        harness.finish_attempt(id, 1, AttemptResult::Completed, OBJECTIVE + 100);
        harness.advance(5_000);
    }
    harness.complete_each(100..150, 50);
    harness.arrive(Bio {
        plan: 1,
        volume: VolumeId(9),
        ..harness.bio(31)
    });
    harness.arrive(Bio {
        volume: VolumeId(8),
        ..harness.bio(32)
    });
    harness.advance(300);
    assert_eq!(
        (
            harness.count(Action::Forwarded(31, 0)),
            harness.count(Action::Forwarded(32, 0))
        ),
        (0, 1)
    );
}
