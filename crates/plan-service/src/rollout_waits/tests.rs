//! Tests of when operators who wait for a version are answered.
use super::{MAX_ROLLOUT_WAIT, RolloutWaits};
use mallowseam_plans::rollout::Rollout;

#[test]
fn operators_are_answered_once_all_hosts_have_accepted_the_version() {
    let mut rollout = Rollout::default();
    rollout.on_accepted("gw0", 1, 0);
    let mut waits = RolloutWaits::default();
    waits.add(7, 1, 0);
    waits.add(8, 2, 0);
    let ended = waits.take_ended(&rollout, 10);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].connection, 7);
    assert_eq!(ended[0].answer, "version 1 in force at all 1 hosts");
    rollout.on_accepted("gw0", 2, 20);
    let ended = waits.take_ended(&rollout, 20);
    assert_eq!(ended[0].connection, 8);
    assert!(waits.take_ended(&rollout, 30).is_empty());
}

#[test]
fn a_wait_that_reaches_its_deadline_is_answered_with_the_blockers() {
    let mut rollout = Rollout::default();
    rollout.on_accepted("gw0", 1, MAX_ROLLOUT_WAIT);
    let mut waits = RolloutWaits::default();
    waits.add(7, 2, 0);
    assert!(waits.take_ended(&rollout, MAX_ROLLOUT_WAIT - 1).is_empty());
    let ended = waits.take_ended(&rollout, MAX_ROLLOUT_WAIT);
    assert_eq!(
        ended[0].answer,
        "error: version 2 stands, but is not in force at all hosts: gw0 acts on 1"
    );
}
