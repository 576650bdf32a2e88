//! Opening of connections to nodes, and closing on their timeouts.
use mallowseam_connection_policy::node_connection::{
    ABORT_TIMEOUT, CloseReason, LOGIN_TIMEOUT, NodeConnection,
};

fn ready_connection() -> NodeConnection {
    let mut connection = NodeConnection::default();
    connection.open_if_closed(0);
    connection.login_finished();
    connection
}

#[test]
fn hanging_connect_times_out_and_the_next_attempt_reopens_the_connection() {
    let mut connection = NodeConnection::default();
    assert!(connection.open_if_closed(10) && !connection.open_if_closed(11));
    assert_eq!(connection.check_timeouts(10 + LOGIN_TIMEOUT - 1, 1), None);
    assert_eq!(
        connection.check_timeouts(10 + LOGIN_TIMEOUT, 1),
        Some(CloseReason::LoginTimeout)
    );
    connection.closed();
    assert!(connection.open_if_closed(2_000));
    connection.login_finished();
    assert_eq!(connection.check_timeouts(9_000, 1), None);
}

#[test]
fn connection_is_closed_on_unanswered_aborts_but_not_while_aborts_are_answered() {
    let mut connection = ready_connection();
    assert_eq!(connection.check_timeouts(100_000, 30), None);
    connection.abort_sent(100);
    connection.abort_sent(200);
    connection.abort_answered(900);
    assert_eq!(connection.check_timeouts(900 + ABORT_TIMEOUT - 1, 1), None);
    assert_eq!(
        connection.check_timeouts(900 + ABORT_TIMEOUT, 1),
        Some(CloseReason::AbortTimeout)
    );
    connection.abort_answered(1_000);
    assert_eq!(connection.check_timeouts(100_000, 1), None);
}

#[test]
fn connection_of_a_removed_node_is_closed_once_nothing_is_in_flight() {
    let mut connection = ready_connection();
    connection.set_node_removed(true);
    assert_eq!(connection.check_timeouts(1, 1), None);
    assert_eq!(
        connection.check_timeouts(1, 0),
        Some(CloseReason::NodeRemoved)
    );
    connection.set_node_removed(false);
    assert_eq!(connection.check_timeouts(1, 0), None);
}
