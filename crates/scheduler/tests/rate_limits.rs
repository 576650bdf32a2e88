//! Rate limits, quotas and plans. A volume would exceed its limit if its hosts together spent more than their shares,
//! or if a lower limit, a smaller quota or another plan took effect late.
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio, Plan, SchedulerConfig, Tick, VolumeId};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config, limited};
use test_case::test_case;

#[test]
fn host_spends_no_more_than_its_share_of_a_limit() {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 2,
        ..config()
    });
    (0..4).for_each(|id| harness.arrive(limited(&harness, id)));
    harness.advance(100);
    assert_eq!(
        harness.forwarded().len(),
        1,
        "half of the limit was refilled for a second"
    );
}

#[test_case(10.0, 10.0, 1; "unchanged")]
#[test_case(40.0, 10.0, 1; "a lowered limit applies at once")]
#[test_case(10.0, 40.0, 2; "a raised limit refills from then on")]
fn changed_limit_is_never_exceeded(before: f64, after: f64, sends: usize) {
    let mut settings = config();
    let limit = |rate_limit: f64| Plan {
        rate_limit,
        burst_units: rate_limit * 1.6,
        ..config().plans[1].clone()
    };
    settings.plans[1] = limit(before);
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 2,
        ..settings
    });
    // The time is long enough for any token bucket to fill.
    harness.arrive(Bio {
        units: 0.1,
        ..limited(&harness, 0)
    });
    harness.advance(20_000);
    harness.change_plans(&[config().plans[0].clone(), limit(after)], &[]);
    harness.advance(10_000 * usize::from(after > before) as Tick);
    let sent = harness.forwarded().len();
    (10..20).for_each(|id| {
        harness.arrive(Bio {
            units: 8.0,
            ..limited(&harness, id)
        });
    });
    assert_eq!(harness.forwarded().len() - sent, sends);
}

#[test_case(None, 20; "the even share")]
#[test_case(Some(2.0), 8; "less than the even share")]
#[test_case(Some(10.0), 40; "the whole limit")]
fn quota_applies_as_soon_as_it_is_granted(quota: Option<f64>, units: usize) {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 2,
        ..config()
    });
    harness.arrive(Bio {
        units: 0.1,
        ..limited(&harness, 0)
    });
    harness.change_quota(VolumeId(5), quota);
    let before = harness.forwarded().len();
    let mut finished = 0;
    // The demand is 20 units per second for 4 s.
    for id in 10..90 {
        harness.arrive(Bio {
            units: 1.0,
            ..limited(&harness, id)
        });
        harness.advance(500);
        for sent in harness.forwarded().split_off(finished) {
            harness.finish_attempt(sent, 0, AttemptResult::Completed, 200);
            finished += 1;
        }
    }
    // In addition to what the quota refills, up to 8 units accumulated before.
    let sent = harness.forwarded().len() - before;
    assert!(
        (units.saturating_sub(2)..=units + 9).contains(&sent),
        "{sent} block I/Os sent, {units} expected"
    );
}

#[test]
fn volume_that_moves_to_another_plan_is_served_by_it_at_once() {
    let mut settings = config();
    settings.plans.push(Plan {
        priority_factor: 0.5,
        ..settings.plans[0].clone()
    });
    let mut harness = Harness::new(&settings);
    (0..8).for_each(|id| {
        harness.arrive(Bio {
            plan: 2,
            volume: VolumeId(3),
            units: 1.0,
            ..harness.bio(id)
        });
    });
    harness.arrive(harness.bio(9));
    harness.change_plans(
        &settings.plans,
        &[(VolumeId(3), 0), (harness.bio(9).volume, 2)],
    );
    let first = harness.forwarded().len();
    let id = harness.forwarded()[0];
    harness.finish_attempt(id, 0, AttemptResult::Completed, 200);
    assert_ne!(
        harness.forwarded().get(first),
        Some(&9),
        "the volume has a lower priority than the others now"
    );
}

#[test]
fn tokens_that_run_short_serve_the_class_of_the_highest_weight() {
    let mut settings = config();
    settings.classes[1].priority_weight = 1.0;
    let mut harness = Harness::new(&settings);
    let bio = |harness: &Harness, id, class, units| Bio {
        class,
        plan: 1,
        volume: VolumeId(5),
        units,
        ..harness.bio(id)
    };
    harness.arrive(bio(&harness, 0, 0, 8.0));
    harness.arrive(bio(&harness, 1, 0, 8.0));
    harness.advance(OBJECTIVE + 10);
    assert_eq!(
        (harness.forwarded(), harness.count(Action::Shed(1))),
        (vec![0], 1),
        "there are too few tokens for the second block I/O"
    );
    harness.finish_attempt(0, 0, AttemptResult::Completed, 100);
    harness.arrive(bio(&harness, 2, 1, 2.0));
    harness.advance(100);
    harness.arrive(bio(&harness, 3, 0, 2.0));
    harness.advance(100);
    assert_eq!(harness.forwarded(), [0, 3]);
}

#[test_case(3, 1_000; "more hosts than configured")]
#[test_case(0, 1_000; "no host count configured")]
fn host_count_of_a_block_io_is_bounded_by_the_config(configured: u32, stated: u32) {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: configured,
        ..config()
    });
    harness.arrive(Bio {
        hosts: stated,
        ..limited(&harness, 0)
    });
    harness.advance(DEADLINE);
    assert_eq!(
        (harness.forwarded().len(), harness.count(Action::Shed(0))),
        if configured > 0 { (1, 0) } else { (0, 1) }
    );
}
