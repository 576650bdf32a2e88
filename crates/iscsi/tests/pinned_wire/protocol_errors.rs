//! Violations of the protocol by either side, and the error text of each.
use crate::harness::{AdmitKnownTarget, frame, logged_in, short_lengths};
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, RESERVED_TAG, opcode};
use mallowseam_iscsi::scsi::{self};
use mallowseam_iscsi::target::{TargetConfig, TargetConnection};
use std::rc::Rc;

/// Returns the text of the error of a logged-in target that receives `pdus`, each a header and the length of its data.
fn target_error(proposal: ProposedParams, pdus: &[(Bhs, usize)]) -> String {
    let (mut target, _) = logged_in(proposal);
    for (bhs, len) in pdus {
        if let Err(error) = target.receive(&frame(*bhs, &vec![1; *len]), &mut AdmitKnownTarget) {
            return error.to_string();
        }
    }
    format!("none, {} bytes out", target.send_buffer().unsent().len())
}

#[test]
fn target_reports_each_protocol_violation() {
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
    let unsolicited = data.with_target_transfer_tag(RESERVED_TAG);
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
        &[(write, 0), (unsolicited, 512)],
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
            (unsolicited.with_buffer_offset(1024), 1024),
            (unsolicited.with_data_sn(1).with_buffer_offset(2048), 8),
        ],
        &[(Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1), 5)],
        &[(write, 0), (data.with_itt(77), 512)],
    ]
    .iter()
    .map(|pdus| target_error(short_lengths(), pdus))
    .collect();
    assert_eq!(found, TARGET_ERRORS);
}

#[test]
fn target_list_longer_than_a_data_segment_is_an_error() {
    let mut target = TargetConnection::new(Rc::new(TargetConfig {
        proposal: short_lengths(),
        command_window: 4,
        max_transfer_bytes: 1 << 16,
        target_names: (0..40)
            .map(|n| format!("iqn.2026-01.example:{n}"))
            .collect(),
        portal_address: "127.0.0.1:3260".into(),
    }));
    let mut initiator = InitiatorConnection::new("iqn.i", None, [0; 6], &short_lengths());
    let request = initiator.send_buffer().unsent().to_vec();
    target
        .receive(&request, &mut AdmitKnownTarget)
        .expect("login request is accepted");
    let text = Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1);
    let request_for_one = frame(text, b"SendTargets=iqn.2026-01.example:7\0");
    target
        .receive(&request_for_one, &mut AdmitKnownTarget)
        .expect("request for one target is accepted");
    let request_for_all = frame(text.with_cmd_sn(2), b"SendTargets=All\0");
    let error = target
        .receive(&request_for_all, &mut AdmitKnownTarget)
        .expect_err("target list is too long");
    assert_eq!(
        error.to_string(),
        "text response exceeds the initiator's MaxRecvDataSegmentLength"
    );
}

#[test]
fn initiator_reports_each_protocol_violation() {
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
        let (_, mut initiator) = logged_in(short_lengths());
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
            .map_or("none".into(), |error| error.to_string())
    })
    .collect();
    assert_eq!(found, INITIATOR_ERRORS);
}

const TARGET_ERRORS: &[&str] = &[
    "opcode 0x03 is not valid from an initiator in the full feature phase",
    "opcode 0x25 is not valid from an initiator in the full feature phase",
    "none, 96 bytes out",
    "CmdSN out of sequence: received 3, expected 1",
    "none, 0 bytes out",
    "initiator task tag 0x1 is already in use or reserved",
    "initiator task tag 0xffffffff is already in use or reserved",
    "immediate data exceeds the negotiated length or the length of the write",
    "write of 70000 bytes with unsolicited data cannot be served: it also reads, or exceeds 65536 bytes",
    "none, 68 bytes out",
    "none, 68 bytes out",
    "immediate data exceeds the negotiated length or the length of the write",
    "Data-Out with target transfer tag 0x5 was not asked for",
    "Data-Out with target transfer tag 0xffffffff was not asked for",
    "Data-Out out of order: received buffer offset 0, expected offset 0 and the next DataSN",
    "Data-Out out of order: received buffer offset 1, expected offset 0 and the next DataSN",
    "Data-Out without data does not end its burst",
    "solicited burst ended before all the data asked for was received",
    "solicited burst lacks the final bit on the last of the data asked for",
    "Data-Out ends at buffer offset 2056, past the end of its burst at 2048",
    "invalid text pair \"\u{1}\u{1}\u{1}\u{1}\u{1}\": expected key=value",
    "none, 48 bytes out",
];

const INITIATOR_ERRORS: &[&str] = &[
    "StatSN out of sequence: received 9, expected 2",
    "Data-In out of order or too long: received buffer offset 4, expected offset 0",
    "Data-In out of order or too long: received buffer offset 0, expected offset 0",
    "R2T asked for 512 bytes at buffer offset 512, expected unsent data from offset 2048 on",
    "R2T asked for 0 bytes at buffer offset 2048, expected unsent data from offset 2048 on",
    "R2T asked for 90000 bytes at buffer offset 2048, expected unsent data from offset 2048 on",
    "target ends the connection or the session (AsyncEvent 2)",
    "none",
    "opcode 0x01 is not valid from a target in the full feature phase",
    "data segment of 1025 bytes exceeds MaxRecvDataSegmentLength (1024 bytes)",
];
