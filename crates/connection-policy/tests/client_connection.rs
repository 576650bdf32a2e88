//! Timeouts, backoff and eviction of client connections.
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::{
    ClientConnection, LINGER_TIMEOUT, MAX_DISCARDED_BYTES, Phase, REQUEST_TIMEOUT,
    RESPONSE_TIMEOUT, TimeoutAction, eviction_candidate,
};
use mallowseam_connection_policy::graceful_shutdown::{GracefulShutdown, OPERATOR_GRACE};

fn connection_in(phase: Phase, since: Millis) -> ClientConnection {
    let mut connection = ClientConnection::new(since);
    connection.enter_phase(phase, since);
    connection
}

#[test]
fn connection_without_complete_request_is_closed_within_three_seconds() {
    let mut connection = ClientConnection::new(0);
    assert_eq!(
        connection.check_timeouts(REQUEST_TIMEOUT - 1, None),
        TimeoutAction::Nothing
    );
    assert_eq!(
        connection.check_timeouts(REQUEST_TIMEOUT, None),
        TimeoutAction::Close
    );
    connection.enter_phase(Phase::ReceivingRequest, 1_500);
    let late = connection.check_timeouts(REQUEST_TIMEOUT, None);
    assert_eq!(
        late,
        TimeoutAction::RejectLateRequest,
        "the timeout of the first request counts from the connect"
    );
    const { assert!(REQUEST_TIMEOUT < 3_000) }
}

#[test]
fn request_that_arrives_byte_by_byte_has_the_same_timeout() {
    let mut connection = connection_in(Phase::Idle, 0);
    for now in (10_000..11_900).step_by(100) {
        connection.enter_phase(Phase::ReceivingRequest, now);
    }
    assert_eq!(
        connection.check_timeouts(11_999, None),
        TimeoutAction::Nothing
    );
    assert_eq!(
        connection.check_timeouts(12_000, None),
        TimeoutAction::RejectLateRequest
    );
}

#[test]
fn request_in_flight_never_times_out_and_unread_response_does() {
    let in_flight = connection_in(Phase::InFlight, 0);
    let shutdown = Some(GracefulShutdown::by_operator(5));
    assert_eq!(
        in_flight.check_timeouts(1_000_000, shutdown),
        TimeoutAction::Nothing
    );
    let responding = connection_in(Phase::SendingResponse, 0);
    assert_eq!(
        responding.check_timeouts(RESPONSE_TIMEOUT - 1, None),
        TimeoutAction::Nothing
    );
    assert_eq!(
        responding.check_timeouts(RESPONSE_TIMEOUT, None),
        TimeoutAction::Close
    );
}

#[test]
fn eviction_order_is_lingering_then_long_idle_then_awaiting_first_request_then_recently_idle() {
    let mut connections = vec![
        (0, connection_in(Phase::InFlight, 0)),
        (1, connection_in(Phase::ReceivingRequest, 0)),
        (2, connection_in(Phase::AwaitingFirstRequest, 9_000)),
        (3, connection_in(Phase::AwaitingFirstRequest, 9_998)),
        (4, connection_in(Phase::Idle, 7_000)),
        (5, connection_in(Phase::Idle, 6_000)),
        (6, connection_in(Phase::Idle, 9_000)),
        (7, connection_in(Phase::Lingering, 9_999)),
    ];
    let mut order = Vec::new();
    while let Some(evicted) =
        eviction_candidate(connections.iter().map(|(index, c)| (*index, c)), 10_000)
    {
        order.push(evicted);
        connections.retain(|(index, _)| *index != evicted);
    }
    assert_eq!(
        order,
        [7, 5, 4, 2, 3, 6],
        "connections with a request in flight or begun are never evicted"
    );
}

#[test]
fn backoff_doubles_with_each_rejection_up_to_its_maximum() {
    let mut connection = connection_in(Phase::Idle, 0);
    let mut now = 0;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        connection.request_rejected(now);
        let rejected_at = now;
        while !connection.may_read(now) {
            now += 10;
        }
        backoffs.push(now - rejected_at);
    }
    assert_eq!(backoffs, [50, 100, 200, 400, 800, 1_600, 1_600, 1_600]);
    connection.request_accepted();
    connection.request_rejected(now);
    assert!(
        connection.may_read(now + 50),
        "an accepted request resets the backoff"
    );
}

#[test]
fn lingering_connection_is_closed_after_its_byte_or_time_limit() {
    let mut connection = connection_in(Phase::Lingering, 0);
    assert!(!connection.bytes_discarded(MAX_DISCARDED_BYTES - 1) && connection.bytes_discarded(1));
    let lingering = connection_in(Phase::Lingering, 0);
    assert_eq!(
        lingering.check_timeouts(LINGER_TIMEOUT, None),
        TimeoutAction::Close
    );
}

#[test]
fn idle_connections_are_closed_once_operator_grace_is_over() {
    let shutdown = Some(GracefulShutdown::by_operator(1_000));
    let idle = connection_in(Phase::Idle, 900);
    assert_eq!(idle.check_timeouts(1_400, shutdown), TimeoutAction::Nothing);
    assert_eq!(
        idle.check_timeouts(1_000 + OPERATOR_GRACE, shutdown),
        TimeoutAction::Close
    );
}
