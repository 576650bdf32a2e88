//! The retry budget, retries by clients, and lost answers. Retries would multiply the load on nodes that fail if the
//! budget were exceeded or if a client's retry started a new objective. A lost answer would occupy a node's window
//! until its timeout.
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio, SchedulerConfig, Tick, VolumeId};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config};
use test_case::test_case;

#[test]
fn retry_budget_is_counted_when_retries_are_sent() {
    let (retry_budget_min, retry_budget_ratio, retry_budget_window) = (1.0, 0.5, 3_000);
    let mut harness = Harness::new(&SchedulerConfig {
        retry_budget_min,
        retry_budget_ratio,
        retry_budget_window,
        ..config()
    });
    for round in 0..20 {
        harness.arrive(harness.bio(round));
        for _ in 0..3 {
            if harness.forwarded().last() == Some(&round) {
                harness.finish_attempt(round, 0, AttemptResult::Error, 10);
            }
            harness.advance(700);
        }
    }
    let sends: Vec<(Tick, u32)> = harness
        .host
        .actions
        .iter()
        .filter_map(|d| {
            if let Action::Forwarded(id, _) = d.1 {
                Some((d.0, id))
            } else {
                None
            }
        })
        .collect();
    let is_retry = |i: &usize| sends[..*i].iter().any(|e| e.1 == sends[*i].1);
    let retries: Vec<usize> = (0..sends.len()).filter(is_retry).collect();
    assert!(!retries.is_empty());
    for i in &retries {
        let retries_in_window = retries
            .iter()
            .filter(|j| *j <= i && sends[**j].0 > sends[*i].0 - 3_000)
            .count();
        assert!(
            retries_in_window <= 2,
            "at most two block I/Os arrive in the window"
        );
    }
}

#[test_case(0, true; "a retry after the objective is not given another one")]
#[test_case(-7_000, false; "a block I/O with another deadline is not a retry")]
fn client_retry_keeps_the_objective_of_the_original_request(deadline_offset: Tick, is_retry: bool) {
    let mut harness = Harness::new(&config());
    (0..6).for_each(|id| harness.arrive(harness.bio(id)));
    let deadline = harness.host.now + DEADLINE + deadline_offset;
    harness.advance(OBJECTIVE + 10);
    assert_eq!(harness.count(Action::Shed(5)), 1);
    harness.arrive(Bio {
        deadline: deadline.max(harness.host.now + 900),
        ..harness.bio(9)
    });
    harness.advance(600);
    assert_eq!(harness.count(Action::Shed(9)), usize::from(is_retry));
}

#[test]
fn after_a_lost_answer_the_next_overtaken_attempt_is_cancelled() {
    let mut harness = Harness::new(&config());
    let volume = |id: u32, harness: &Harness| Bio {
        volume: VolumeId(id),
        ..harness.bio(id)
    };
    harness.arrive(volume(0, &harness));
    harness.arrive(volume(1, &harness));
    harness.advance(100);
    harness.finish_attempt(1, 0, AttemptResult::Completed, 50);
    harness.advance(DEADLINE);
    harness.finish_attempt(0, 0, AttemptResult::TimedOut, DEADLINE + 100);
    harness.arrive(volume(2, &harness));
    harness.advance(OBJECTIVE / 2 + 50);
    harness.arrive(volume(3, &harness));
    harness.advance(100);
    harness.finish_attempt(3, 0, AttemptResult::Completed, 50);
    assert_eq!(
        harness.count(Action::Cancelled(2)),
        1,
        "{:?}",
        harness.host.actions
    );
    harness.finish_attempt(2, 0, AttemptResult::Cancelled, OBJECTIVE / 2 + 150);
    assert_eq!(harness.forwarded().iter().filter(|id| **id == 2).count(), 2);
}

#[test]
fn slow_node_alone_does_not_count_as_losing_answers() {
    let mut harness = Harness::new(&config());
    let volume = |id: u32, harness: &Harness| Bio {
        volume: VolumeId(id),
        ..harness.bio(id)
    };
    harness.arrive(volume(0, &harness));
    harness.advance(OBJECTIVE);
    harness.arrive(volume(1, &harness));
    harness.advance(100);
    harness.finish_attempt(1, 0, AttemptResult::Completed, 50);
    assert_eq!(harness.count(Action::Cancelled(0)), 0);
}
