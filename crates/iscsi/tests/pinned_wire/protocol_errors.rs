//! Each violation of the protocol and its error text.
use crate::harness::{AdmitKnownTarget, frame, logged_in, small};
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, RESERVED_TAG, opcode};
use mallowseam_iscsi::scsi::{self};
use mallowseam_iscsi::target::{TargetConfig, TargetConnection};
use std::rc::Rc;

/// The fault a logged-in target ends with after these PDUs.
fn target_fault(wishes: ProposedParams, pdus: &[(Bhs, usize)]) -> String {
    let (mut target, _) = logged_in(wishes);
    for (bhs, len) in pdus {
        if let Err(fault) = target.receive(&frame(*bhs, &vec![1; *len]), &mut AdmitKnownTarget) {
            return fault.to_string();
        }
    }
    format!("none, {} bytes out", target.send_buffer().unsent().len())
}

#[test]
fn faults_of_a_target() {
    let write = Bhs::new(opcode::SCSI_COMMAND, 0xa0)
        .with_itt(1)
        .with_expected_data_len(9000)
        .with_cmd_sn(1);
    let open_write = Bhs::new(opcode::SCSI_COMMAND, 0x20)
        .with_itt(1)
        .with_expected_data_len(9000)
        .with_cmd_sn(1);
    let read = Bhs::new(opcode::SCSI_COMMAND, 0xc0)
        .with_itt(1)
        .with_expected_data_len(512)
        .with_cmd_sn(1);
    let data = Bhs::new(opcode::DATA_OUT, 0)
        .with_itt(1)
        .with_target_transfer_tag(0);
    let unasked = data.with_target_transfer_tag(RESERVED_TAG);
    let found: Vec<String> = [
        &[(Bhs::new(opcode::LOGIN_REQUEST, 0x87), 0)][..],
        &[(Bhs::new(opcode::DATA_IN, 0x80), 0)],
        &[(Bhs::new(opcode::SNACK, 0x80), 0)],
        &[(read.with_cmd_sn(3), 0)],
        &[(read.with_cmd_sn(9), 0)],
        &[(read, 0), (read.with_cmd_sn(2), 0)],
        &[(read.with_itt(RESERVED_TAG), 0)],
        &[(read, 4)],
        &[(open_write.with_expected_data_len(70_000), 0)],
        &[(write.with_expected_data_len(70_000), 0)],
        &[(write.with_byte(1, 0xe0), 0)],
        &[(write.with_expected_data_len(512), 600)],
        &[(write, 0), (data.with_target_transfer_tag(5), 512)],
        &[(write, 0), (unasked, 512)],
        &[(write, 0), (data.with_data_sn(1), 512)],
        &[(write, 0), (data.with_buffer_offset(1), 512)],
        &[(write, 0), (data, 0)],
        &[(write, 0), (data.with_byte(1, 0x80), 512)],
        &[
            (write, 0),
            (data, 1024),
            (data.with_data_sn(1).with_buffer_offset(1024), 1024),
            (data.with_data_sn(2).with_buffer_offset(2048), 1024),
            (data.with_data_sn(3).with_buffer_offset(3072), 1024),
        ],
        &[
            (open_write, 1024),
            (unasked.with_buffer_offset(1024), 1024),
            (unasked.with_data_sn(1).with_buffer_offset(2048), 8),
        ],
        &[(Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1), 5)],
        &[(write, 0), (data.with_itt(77), 512)],
    ]
    .iter()
    .map(|pdus| target_fault(small(), pdus))
    .collect();
    assert_eq!(found, TARGET_FAULTS);
}

#[test]
fn a_target_list_past_the_initiators_segment() {
    let mut target = TargetConnection::new(Rc::new(TargetConfig {
        proposal: small(),
        command_window: 4,
        max_transfer_bytes: 1 << 16,
        target_names: (0..40)
            .map(|n| format!("iqn.2026-01.example:{n}"))
            .collect(),
        portal_address: "127.0.0.1:3260".into(),
    }));
    let mut initiator = InitiatorConnection::new("iqn.i", None, [0; 6], &small());
    let request = initiator.send_buffer().unsent().to_vec();
    target
        .receive(&request, &mut AdmitKnownTarget)
        .expect("login");
    let text = Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1);
    let one = frame(text, b"SendTargets=iqn.2026-01.example:7\0");
    target
        .receive(&one, &mut AdmitKnownTarget)
        .expect("one target");
    let all = frame(text.with_cmd_sn(2), b"SendTargets=All\0");
    let fault = target
        .receive(&all, &mut AdmitKnownTarget)
        .expect_err("too long");
    assert_eq!(
        fault.to_string(),
        "list of targets past the initiator's segment"
    );
}

#[test]
fn faults_of_an_initiator() {
    let found: Vec<String> = [
        (Bhs::new(opcode::SCSI_RESPONSE, 0x80).with_stat_sn(9), 0),
        (
            Bhs::new(opcode::DATA_IN, 0x80)
                .with_itt(0x2_0001)
                .with_buffer_offset(4),
            512,
        ),
        (Bhs::new(opcode::DATA_IN, 0x80).with_itt(0x2_0001), 513),
        (
            Bhs::new(opcode::R2T, 0x80)
                .with_itt(0x1_0000)
                .with_buffer_offset(512)
                .with_desired_data_len(512),
            0,
        ),
        (
            Bhs::new(opcode::R2T, 0x80)
                .with_itt(0x1_0000)
                .with_buffer_offset(2048)
                .with_desired_data_len(0),
            0,
        ),
        (
            Bhs::new(opcode::R2T, 0x80)
                .with_itt(0x1_0000)
                .with_buffer_offset(2048)
                .with_desired_data_len(90_000),
            0,
        ),
        (
            Bhs::new(opcode::ASYNC_MESSAGE, 0x80)
                .with_stat_sn(2)
                .with_byte(36, 2),
            0,
        ),
        (
            Bhs::new(opcode::ASYNC_MESSAGE, 0x80)
                .with_stat_sn(2)
                .with_byte(36, 4),
            0,
        ),
        (Bhs::new(opcode::SCSI_COMMAND, 0x80).with_cmd_sn(2), 0),
        (Bhs::new(opcode::NOP_IN, 0x80).with_itt(RESERVED_TAG), 1025),
    ]
    .iter()
    .map(|(bhs, len)| {
        let (_, mut initiator) = logged_in(small());
        initiator.send_command(
            1,
            0,
            &scsi::read_or_write_16(true, 0, 9, 0),
            0,
            vec![3; 9000].into(),
        );
        initiator.send_command(
            2,
            0,
            &scsi::read_or_write_16(false, 0, 1, 0),
            512,
            vec![].into(),
        );
        initiator
            .receive(&frame(*bhs, &vec![1; *len]))
            .err()
            .map_or("none".into(), |fault| fault.to_string())
    })
    .collect();
    assert_eq!(found, INITIATOR_FAULTS);
}

const TARGET_FAULTS: &[&str] = &[
    "opcode 0x03 is not for the full feature phase",
    "opcode 0x25 is not for the full feature phase",
    "none, 96 bytes out",
    "CmdSN 3, expected 1",
    "none, 0 bytes out",
    "task tag 0x1 is in use",
    "task tag 0xffffffff is in use",
    "immediate data past what was agreed",
    "write of 70000 bytes, at most 65536",
    "none, 68 bytes out",
    "none, 68 bytes out",
    "immediate data past what was agreed",
    "data for transfer tag 0x5, not asked for",
    "data for transfer tag 0xffffffff, not asked for",
    "data at 0, expected at 0 in order",
    "data at 1, expected at 0 in order",
    "data PDU without data",
    "burst ended short of what was asked for",
    "burst goes on past what was asked for",
    "data to 2056, expected up to 2048",
    "\u{1}\u{1}\u{1}\u{1}\u{1}: expected key=value",
    "none, 48 bytes out",
];

const INITIATOR_FAULTS: &[&str] = &[
    "StatSN 9, expected 2",
    "data at 4, expected at 0",
    "data at 0, expected at 0",
    "asked for 512 bytes at 512, 2048 to come",
    "asked for 0 bytes at 2048, 2048 to come",
    "asked for 90000 bytes at 2048, 2048 to come",
    "target drops the connection (event 2)",
    "none",
    "opcode 0x01 from a target",
    "data segment of 1025 bytes, at most 1024 agreed",
];
