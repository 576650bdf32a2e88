//! Idle timeout of connections to nodes, and selection of the idle connection for the next attempt.
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::keep_alive::{
    DEFAULT_IDLE_TIMEOUT, KeepAlivePolicy, MIN_IDLE_TIMEOUT, RECOVERY_INTERVAL, RESET_WITHIN,
    Reusability, SETTLING_TIME, keep_after_response, reusability, select_idle_connection,
};

#[test]
fn most_recently_used_settled_connection_carries_the_next_attempt() {
    let select = |idle: &[Millis]| select_idle_connection(idle.iter().copied(), 30_000);
    assert_eq!(select(&[9_000, 300, 40]), Some(2));
    assert_eq!(
        select(&[9_000, 300, SETTLING_TIME - 1]),
        Some(1),
        "stray bytes may still arrive on the most recently used connection"
    );
    assert_eq!(
        select(&[30_000, 1]),
        None,
        "an expired connection and one that has not settled are not used"
    );
    assert_eq!(select(&[]), None);
}

#[test]
fn idle_connection_expires_well_before_its_node_closes_it() {
    assert_eq!(
        KeepAlivePolicy::new(Some(30_000), 0).idle_timeout(99),
        15_000
    );
    assert_eq!(reusability(14_999, 15_000), Reusability::Reusable);
    assert_eq!(reusability(15_000, 15_000), Reusability::Expired);
    let unknown = KeepAlivePolicy::new(None, 0).idle_timeout(99);
    assert_eq!(
        unknown, DEFAULT_IDLE_TIMEOUT,
        "the default applies if the settings state no idle timeout"
    );
}

#[test]
fn lost_connections_lower_the_idle_timeout_until_none_is_lost() {
    let mut policy = KeepAlivePolicy::new(Some(30_000), 0);
    policy.connection_lost(400, 1, 1_000);
    assert_eq!(policy.idle_timeout(1_000), 200);
    policy.connection_lost(120, 0, 2_000);
    assert_eq!(policy.idle_timeout(2_000), 60);
    for after in 0..5 {
        policy.connection_lost(40, 0, 3_000 + after);
    }
    assert_eq!(policy.idle_timeout(3_100), MIN_IDLE_TIMEOUT);
    assert_eq!(
        policy.idle_timeout(3_004 + RECOVERY_INTERVAL),
        2 * MIN_IDLE_TIMEOUT
    );
    assert_eq!(policy.idle_timeout(900_000), 15_000);
}

#[test]
fn rejected_new_connections_halve_the_idle_timeout_once_a_second() {
    let mut policy = KeepAlivePolicy::new(Some(30_000), 0);
    for now in [5_000, 5_010, 5_999, 6_000, 7_100] {
        policy.new_connection_rejected(now);
    }
    assert_eq!(policy.idle_timeout(7_200), 15_000 / 8);
    let recovered = policy.idle_timeout(7_100 + RECOVERY_INTERVAL);
    assert_eq!(
        recovered,
        15_000 / 4,
        "the idle timeout doubles after an interval without a rejection"
    );
    (8_000..30_000)
        .step_by(1_000)
        .for_each(|now| policy.new_connection_rejected(now));
    assert_eq!(policy.idle_timeout(30_000), MIN_IDLE_TIMEOUT);
    assert!(keep_after_response(false) && !keep_after_response(true));
}

#[test]
fn reset_of_a_running_request_or_recently_used_connection_does_not_lower_the_idle_timeout() {
    let mut policy = KeepAlivePolicy::new(Some(30_000), 0);
    policy.connection_lost(400, RESET_WITHIN + 1, 10);
    policy.connection_lost(MIN_IDLE_TIMEOUT - 1, 0, 10);
    assert_eq!(policy.idle_timeout(20), 15_000);
}
