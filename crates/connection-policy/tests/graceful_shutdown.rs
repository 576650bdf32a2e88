//! How long a host that shuts down admits clients, and by when it answers them.
use mallowseam_connection_policy::graceful_shutdown::{GracefulShutdown, OPERATOR_GRACE};

#[test]
fn only_requests_never_attempted_are_safe_to_retry() {
    assert!(GracefulShutdown::is_safe_to_retry(0) && !GracefulShutdown::is_safe_to_retry(1));
}

#[test]
fn operator_shutdown_admits_clients_for_a_while_and_waits_for_their_answers() {
    let shutdown = GracefulShutdown::by_operator(1_000);
    assert!(shutdown.admits_clients(999 + OPERATOR_GRACE));
    assert!(!shutdown.admits_clients(1_000 + OPERATOR_GRACE));
    assert!(!shutdown.is_complete(999 + OPERATOR_GRACE, 0));
    assert!(shutdown.is_complete(1_000 + OPERATOR_GRACE, 0));
    assert!(
        !shutdown.is_complete(9_000, 1),
        "the host waits until admitted requests are answered"
    );
    assert_eq!(shutdown.answer_deadline(), None);
}

#[test]
fn platform_shutdown_admits_requests_that_can_be_answered_before_sigkill() {
    for (longest_deadline, killed_after) in
        [(200, 900), (1_000, 1_700), (2_000, 2_700), (60_000, 3_700)]
    {
        let shutdown = GracefulShutdown::by_platform(10_000, longest_deadline, 250);
        let answer_deadline = shutdown
            .answer_deadline()
            .expect("a shutdown by the platform has an answer deadline");
        assert!(
            answer_deadline < 10_000 + killed_after,
            "{longest_deadline}"
        );
        let last = (0..9_000)
            .rfind(|after| shutdown.admits_clients(10_000 + after))
            .expect("clients are admitted for a while");
        assert_eq!(
            10_000 + last + 250.min(longest_deadline),
            answer_deadline - 1
        );
    }
    assert!(GracefulShutdown::by_platform(0, 2_000, 250).admits_clients(2_300));
}
