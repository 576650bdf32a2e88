//! Tests of when a version is effective at all hosts, and of what blocks it until then.
use mallowseam_plans::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use mallowseam_plans::rollout::{Rollout, RolloutBlocker, SILENT_AFTER};

#[test]
fn a_version_is_effective_once_every_host_has_accepted_it() {
    let mut rollout = Rollout::default();
    rollout.on_accepted("a", 4, 0);
    rollout.on_accepted("b", 3, 0);
    let behind = RolloutBlocker::Behind {
        host: "b".into(),
        accepted_version: 3,
    };
    assert_eq!(rollout.blockers(4, 10), [behind]);
    assert_eq!(rollout.effective_version(4, 10), 3);
    rollout.on_accepted("b", 4, 20);
    assert_eq!(
        (rollout.blockers(4, 20), rollout.effective_version(4, 20)),
        (vec![], 4)
    );
    rollout.on_accepted("b", 2, 30);
    assert_eq!(
        rollout.effective_version(4, 30),
        4,
        "a stale message must not return a host to an older version"
    );
}

#[test]
fn a_lowered_limit_also_waits_for_older_leases_to_expire() {
    let mut rollout = Rollout::default();
    rollout.mark_limit_lowered(2);
    rollout.on_accepted("a", 2, 0);
    rollout.on_accepted("b", 2, 500);
    let until = 500 + LOAN_DURATION + CLOCK_SKEW_MARGIN;
    assert_eq!(
        rollout.blockers(2, 600),
        [RolloutBlocker::UnexpiredLeases { until }]
    );
    assert_eq!(
        (
            rollout.blockers(2, until),
            rollout.effective_version(3, until)
        ),
        (vec![], 2)
    );
}

#[test]
fn a_silent_host_blocks_until_it_answers_or_is_declared_removed() {
    let mut rollout = Rollout::default();
    rollout.on_accepted("a", 1, 0);
    rollout.on_accepted("b", 1, 0);
    rollout.on_accepted("a", 2, 100);
    assert!(
        !rollout.declare_removed("b", 1_000),
        "a host that has sent something recently must not be removable"
    );
    let silent = RolloutBlocker::Silent {
        host: "b".into(),
        accepted_version: 1,
        last_contact: 0,
    };
    assert_eq!(rollout.blockers(2, SILENT_AFTER), [silent]);
    assert!(rollout.declare_removed("b", SILENT_AFTER));
    assert!(rollout.blockers(2, SILENT_AFTER).is_empty());
    rollout.on_contact("b", SILENT_AFTER + 1);
    assert_eq!(
        rollout.blockers(2, SILENT_AFTER + 1).len(),
        1,
        "a removed host that sends something must be a member again"
    );
}

#[test]
fn a_host_that_rejects_a_version_blocks_with_its_reason() {
    let mut rollout = Rollout::default();
    rollout.on_accepted("a", 1, 0);
    rollout.on_rejected("a", 2, "no such node", 10);
    let rejected = RolloutBlocker::Rejected {
        host: "a".into(),
        reason: "no such node".into(),
    };
    assert_eq!(rollout.blockers(2, 10), [rejected]);
    rollout.on_accepted("a", 3, 20);
    assert!(rollout.blockers(2, 20).is_empty());
}
