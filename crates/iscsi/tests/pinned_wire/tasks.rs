//! Task management functions, initiator task tags, immediate commands and status qualifiers.
use crate::harness::{AdmitKnownTarget, Record, frame, logged_in, short_lengths};
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::pdu::{Bhs, flag, opcode, task_response};
use mallowseam_iscsi::scsi::{self, status};
use std::num::NonZeroU16;

#[test]
fn task_management_functions_act_as_recorded() {
    let mut record = Record::new();
    for function in 0..10 {
        let (mut target, mut initiator) = logged_in(short_lengths());
        for (tag, lun) in [(1, 0), (2, 1), (3, 1)] {
            initiator.send_command(
                tag,
                lun,
                &scsi::read_or_write_16(false, 0, 1, 0),
                512,
                vec![].into(),
            );
        }
        let up = initiator.send_buffer().unsent().to_vec();
        target
            .receive(&up, &mut AdmitKnownTarget)
            .expect("commands are accepted");
        for referenced in [0x2_0001, 0x7_0007] {
            let bhs = Bhs::new(opcode::TASK_MANAGEMENT_REQUEST, flag::FINAL | function)
                .with_immediate()
                .with_lun(1);
            let bhs = bhs
                .with_itt(0x99)
                .with_referenced_task_tag(referenced)
                .with_cmd_sn(4);
            target
                .receive(&frame(bhs, &[]), &mut AdmitKnownTarget)
                .expect("task management request is accepted");
        }
        while let Some(event) = target.next_event() {
            record.target_event(&event);
        }
        record.bytes(b'<', target.send_buffer().unsent());
    }
    assert_eq!(record.value(), TASK_MANAGEMENT, "{:#018x}", record.value());
    let codes = [
        task_response::FUNCTION_COMPLETE,
        task_response::TASK_DOES_NOT_EXIST,
        task_response::LUN_DOES_NOT_EXIST,
        task_response::FUNCTION_NOT_SUPPORTED,
        task_response::FUNCTION_REJECTED,
    ];
    assert_eq!(codes, [0, 1, 2, 5, 255]);
}

#[test]
fn immediate_commands_past_the_limit_are_rejected() {
    let (mut target, _) = logged_in(short_lengths());
    for itt in 0..14 {
        let bhs = Bhs::new(opcode::SCSI_COMMAND, 0xc0)
            .with_immediate()
            .with_itt(itt)
            .with_expected_data_len(512)
            .with_cmd_sn(1);
        target
            .receive(&frame(bhs, &[]), &mut AdmitKnownTarget)
            .expect("immediate command is accepted");
    }
    assert_eq!(
        (target.in_flight(), target.send_buffer().unsent().len()),
        (12, 2 * 96)
    );
    assert_eq!(target.send_buffer().unsent()[2], 6);
}

#[test]
fn initiator_task_tags_cycle_as_recorded() {
    let (_, mut initiator) = logged_in(short_lengths());
    let mut record = Record::new();
    for stat_sn in 2..0x8004_u32 {
        assert!(initiator.send_command(
            7,
            0,
            &scsi::read_or_write_16(false, 0, 1, 0),
            512,
            vec![].into()
        ));
        let request = initiator.send_buffer().unsent().to_vec();
        initiator.send_buffer().mark_sent(request.len());
        record.raw(&request[16..20]);
        let itt = u32::from_be_bytes([request[16], request[17], request[18], request[19]]);
        let answer = Bhs::new(opcode::SCSI_RESPONSE, 0x80)
            .with_itt(itt)
            .with_stat_sn(stat_sn)
            .with_max_cmd_sn(stat_sn + 9);
        initiator
            .receive(&frame(answer, &[]))
            .expect("SCSI response is accepted");
        assert!(initiator.next_event().is_some());
    }
    assert_eq!(record.value(), TASK_TAGS, "{:#018x}", record.value());
}

#[test]
fn initiator_reports_only_a_retry_delay_from_the_status_qualifier() {
    let mut found = Vec::new();
    for qualifier in [0, 1, 0x3fef, 0x3ff0, 0x3fff, 0x4005, 0xc007] {
        let (_, mut initiator) = logged_in(short_lengths());
        initiator.send_command(
            7,
            0,
            &scsi::read_or_write_16(false, 0, 1, 0),
            512,
            vec![].into(),
        );
        let answer = Bhs::new(opcode::SCSI_RESPONSE, 0x80)
            .with_itt(0x1_0000)
            .with_stat_sn(2)
            .with_byte(3, status::BUSY);
        initiator
            .receive(&frame(answer.with_status_qualifier(qualifier), &[]))
            .expect("SCSI response is accepted");
        match initiator.next_event() {
            Some(InitiatorEvent::CommandCompleted { retry_after, .. }) => {
                found.push(retry_after.map_or(0, NonZeroU16::get));
            }
            other => panic!("expected a completed command, found {other:?}"),
        }
    }
    assert_eq!(found, [0, 1, 0x3fef, 0, 0, 5, 7]);
}

const TASK_MANAGEMENT: u64 = 0xa723_b37a_453c_64f4;

const TASK_TAGS: u64 = 0x335f_0b02_767e_a23f;
