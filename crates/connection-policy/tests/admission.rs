//! Admission of connections and logins, timeouts of connections, and draining.
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::admission::{
    AdmissionController, CloseReason, ConnectionState, LOGIN_TIMEOUT, LOGOUT_TIMEOUT,
    LoginRejection, MAX_UNSENT_BYTES, NextConnection, PING_INTERVAL, STALL_TIMEOUT, TimeoutAction,
    UNDISTURBED_LOGIN,
};

const BUSY: ConnectionState = ConnectionState {
    pdu_incomplete: false,
    unsent_bytes: 0,
    in_flight: 1,
};
const IDLE: ConnectionState = ConnectionState {
    pdu_incomplete: false,
    unsent_bytes: 0,
    in_flight: 0,
};

/// Returns a controller that admits three connections, of which connection 0 logged in at time 0.
fn controller_with_session() -> AdmissionController {
    let mut admission = AdmissionController::new("iqn.t", 3);
    assert!(admission.admit_connection(0, 0));
    let session = admission
        .login(0, "iqn.a", Some("iqn.t"), [1; 6], 0)
        .expect("the login is admitted");
    assert_eq!(session.replaces, None);
    admission
}

/// Asserts that connection 0 is kept in the first state, and closed for the reason in the second, each at its time.
fn assert_kept_and_closed(
    admission: &mut AdmissionController,
    (kept_at, kept): (Millis, ConnectionState),
    (closed_at, closed): (Millis, ConnectionState),
    reason: CloseReason,
) {
    assert_eq!(
        admission.check_timeouts(0, kept_at, kept),
        TimeoutAction::Nothing
    );
    assert_eq!(
        admission.check_timeouts(0, closed_at, closed),
        TimeoutAction::Close(reason)
    );
}

#[test]
fn unfinished_login_times_out_and_finished_login_does_not() {
    let mut admission = controller_with_session();
    assert!(admission.admit_connection(1, 0));
    assert_eq!(
        admission.check_timeouts(1, LOGIN_TIMEOUT - 1, IDLE),
        TimeoutAction::Nothing
    );
    let closed = TimeoutAction::Close(CloseReason::LoginTimeout);
    assert_eq!(admission.check_timeouts(1, LOGIN_TIMEOUT, IDLE), closed);
    assert_eq!(
        admission.check_timeouts(0, LOGIN_TIMEOUT, IDLE),
        TimeoutAction::Nothing
    );
}

#[test]
fn login_from_same_initiator_port_replaces_session_and_from_another_does_not() {
    let mut admission = controller_with_session();
    assert!(admission.admit_connection(1, 0));
    assert!(admission.admit_connection(2, 0));
    assert_eq!(
        admission
            .login(2, "iqn.a", Some("iqn.t"), [2; 6], 0)
            .expect("the login is admitted")
            .replaces,
        None
    );
    assert_eq!(
        admission
            .login(1, "iqn.a", Some("iqn.t"), [1; 6], 0)
            .expect("the login is admitted")
            .replaces,
        Some(0)
    );
}

#[test]
fn session_handles_differ_and_are_never_zero() {
    let mut admission = controller_with_session();
    assert!(admission.admit_connection(1, 0));
    assert!(admission.admit_connection(2, 0));
    // Handles are assigned in ascending order; connection 0 has handle 1.
    let mut latest = 1;
    while latest != u16::MAX - 1 {
        latest = admission
            .login(1, "iqn.b", Some("iqn.t"), [1; 6], 0)
            .expect("the login is admitted")
            .handle;
    }
    let second = admission
        .login(1, "iqn.b", Some("iqn.t"), [1; 6], 0)
        .expect("the login is admitted")
        .handle;
    let third = admission
        .login(2, "iqn.c", Some("iqn.t"), [1; 6], 0)
        .expect("the login is admitted")
        .handle;
    let all_differ = second != third && second != 1 && third != 1;
    assert!(all_differ && second != 0 && third != 0, "{second} {third}");
}

#[test]
fn rejections_name_wrong_target_unknown_session_and_full_host() {
    let mut admission = controller_with_session();
    assert!(admission.admit_connection(1, 0));
    let wrong_target = admission.login(1, "iqn.b", Some("iqn.x"), [1; 6], 0);
    assert_eq!(wrong_target, Err(LoginRejection::NoSuchTarget));
    let unknown_session = admission.login(1, "iqn.b", Some("iqn.t"), [1; 6], 9);
    assert_eq!(unknown_session, Err(LoginRejection::NoSuchSession));
    assert!(admission.admit_connection(2, 0));
    assert!(!admission.admit_connection(3, 0));
    admission.connection_closed(2);
    assert!(admission.admit_connection(3, 0));
}

#[test]
fn client_that_stops_reading_is_closed_and_slow_reader_is_kept() {
    let mut admission = controller_with_session();
    let unsent = ConnectionState {
        unsent_bytes: 9,
        ..BUSY
    };
    assert!(admission.may_read(MAX_UNSENT_BYTES - 1) && !admission.may_read(MAX_UNSENT_BYTES));
    admission.bytes_sent(0, 4_000);
    let limit = 4_000 + STALL_TIMEOUT;
    let reason = CloseReason::WriteTimeout;
    assert_kept_and_closed(&mut admission, (limit - 1, unsent), (limit, unsent), reason);
}

#[test]
fn stall_within_a_pdu_closes_connection_and_pause_between_pdus_does_not() {
    let mut admission = controller_with_session();
    let incomplete = ConnectionState {
        pdu_incomplete: true,
        ..BUSY
    };
    admission.bytes_received(0, 1_000);
    let limit = 1_000 + STALL_TIMEOUT;
    let reason = CloseReason::IncompletePdu;
    assert_kept_and_closed(&mut admission, (limit, IDLE), (limit, incomplete), reason);
}

#[test]
fn silent_client_is_pinged_twice_and_then_closed() {
    let mut admission = controller_with_session();
    assert_eq!(
        admission.check_timeouts(0, PING_INTERVAL, IDLE),
        TimeoutAction::Ping
    );
    assert_eq!(
        admission.check_timeouts(0, PING_INTERVAL + 1, IDLE),
        TimeoutAction::Nothing
    );
    assert_eq!(
        admission.check_timeouts(0, 2 * PING_INTERVAL, IDLE),
        TimeoutAction::Ping
    );
    let closed = TimeoutAction::Close(CloseReason::KeepAliveTimeout);
    assert_eq!(admission.check_timeouts(0, 3 * PING_INTERVAL, IDLE), closed);
    admission.bytes_received(0, 3 * PING_INTERVAL);
    assert_eq!(
        admission.check_timeouts(0, 4 * PING_INTERVAL, IDLE),
        TimeoutAction::Ping
    );
}

#[test]
fn draining_host_rejects_logins_and_keeps_clients_with_commands_in_flight() {
    let mut admission = controller_with_session();
    assert!(admission.start_draining(100) && !admission.start_draining(200));
    assert!(admission.admit_connection(1, 100));
    let login = admission.login(1, "iqn.b", Some("iqn.t"), [1; 6], 0);
    assert_eq!(login, Err(LoginRejection::Draining));
    let no_login = TimeoutAction::Close(CloseReason::LoginTimeout);
    assert_eq!(admission.check_timeouts(1, 101, IDLE), no_login);
    let limit = 100 + LOGOUT_TIMEOUT;
    let reason = CloseReason::Drained;
    assert_kept_and_closed(&mut admission, (limit, BUSY), (limit, IDLE), reason);
    assert!(admission.admits_commands(99 + LOGOUT_TIMEOUT));
    assert!(!admission.admits_commands(100 + LOGOUT_TIMEOUT));
    admission.stop_draining();
    assert!(admission.admits_commands(100 + LOGOUT_TIMEOUT));
    assert_eq!(
        admission.check_timeouts(0, 100 + LOGOUT_TIMEOUT, IDLE),
        TimeoutAction::Nothing
    );
}

#[test]
fn time_before_the_login_does_not_count_as_a_stall() {
    let mut admission = controller_with_session();
    assert!(admission.admit_connection(1, 0));
    let before_login = LOGIN_TIMEOUT - 1;
    assert_eq!(
        admission.check_timeouts(1, before_login, IDLE),
        TimeoutAction::Nothing
    );
    admission
        .login(1, "iqn.b", Some("iqn.t"), [1; 6], 0)
        .expect("the login is admitted");
    let unsent = ConnectionState {
        unsent_bytes: 9,
        ..BUSY
    };
    assert_eq!(
        admission.check_timeouts(1, STALL_TIMEOUT, unsent),
        TimeoutAction::Nothing
    );
    assert_eq!(
        admission.check_timeouts(1, before_login + STALL_TIMEOUT, unsent),
        TimeoutAction::Close(CloseReason::WriteTimeout)
    );
}

#[test]
fn a_full_host_replaces_the_oldest_unfinished_login_once_it_has_had_its_time() {
    let mut admission = controller_with_session();
    assert_eq!(admission.next_connection(100), NextConnection::Admit);
    assert!(admission.admit_connection(2, 100));
    assert!(admission.admit_connection(1, 110));
    let due = 100 + UNDISTURBED_LOGIN;
    assert_eq!(admission.next_connection(due - 1), NextConnection::Wait);
    assert_eq!(admission.next_connection(due), NextConnection::Replace(2));
    for index in [1, 2] {
        admission
            .login(index, "iqn.b", Some("iqn.t"), [index as u8; 6], 0)
            .expect("the login is admitted");
    }
    assert_eq!(admission.next_connection(due), NextConnection::Reject);
}
