//! Rejected logins and discovery sessions.
use crate::connected_pair::{AdmitKnownTarget, exchange, target};
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi;

#[test]
fn unknown_target_name_is_rejected_and_connection_closes() {
    let proposal = ProposedParams::default();
    let mut target = target(proposal);
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.other"), [0; 6], &proposal);
    let request = initiator.send_buffer().unsent().to_vec();
    assert!(target.receive(&request, &mut AdmitKnownTarget).is_err() && target.is_closing());
    let response = target.send_buffer().unsent().to_vec();
    let error = initiator
        .receive(&response)
        .expect_err("target rejected the login");
    assert!(error.to_string().contains("0203"), "{error}");
}

#[test]
fn discovery_session_lists_targets_and_rejects_commands() {
    let proposal = ProposedParams::default();
    let mut target = target(proposal);
    let mut initiator = InitiatorConnection::new("iqn.i", None, [0; 6], &proposal);
    while exchange(&mut target, &mut initiator, usize::MAX) {}
    initiator.next_event();
    initiator.send_text_request(b"SendTargets=All\0");
    initiator.send_command(
        1,
        0,
        &scsi::read_or_write_16(false, 0, 1, 0),
        512,
        vec![].into(),
    );
    while exchange(&mut target, &mut initiator, usize::MAX) {}
    let listed = b"TargetName=iqn.t\0TargetAddress=127.0.0.1:3260,1\0".to_vec();
    assert_eq!(
        initiator.next_event(),
        Some(InitiatorEvent::TextResponse(listed))
    );
    assert!(matches!(
        initiator.next_event(),
        Some(InitiatorEvent::CommandRejected { tag: 1, .. })
    ));
}
