//! Commands of a session from their request to their completion or abort.
use crate::connected_pair::{ConnectedPair, short_lengths};
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{self, Command, Sense, status};
use mallowseam_iscsi::target::TargetEvent;
use std::num::NonZeroU16;

/// Returns the event of a completed command; a `retry_after` of 0 stands for none.
fn completed(
    tag: u32,
    status: u8,
    sense: Option<Sense>,
    data: Vec<u8>,
    retry_after: u16,
) -> InitiatorEvent {
    InitiatorEvent::CommandCompleted {
        tag,
        status,
        sense,
        data,
        retry_after: NonZeroU16::new(retry_after),
    }
}

#[test]
fn long_write_is_sent_in_bursts_and_long_read_is_reassembled() {
    for digests in [
        Digests::default(),
        Digests {
            header: true,
            data: true,
        },
    ] {
        let proposal = ProposedParams {
            digests,
            ..short_lengths()
        };
        let mut pair = ConnectedPair::new(proposal, 613);
        let bytes: Vec<u8> = (0..40_001u32).map(|index| (index * 7) as u8).collect();
        let write = scsi::read_or_write_16(true, 9, 80, 5);
        assert!(
            pair.initiator
                .send_command(1, 3, &write, 0, bytes.clone().into())
        );
        pair.run();
        let command = pair.next_command();
        assert_eq!(
            scsi::parse_cdb(&command.cdb),
            Ok(Command::Write {
                lba: 9,
                blocks: 80,
                group_number: 5
            })
        );
        assert!(command.data == bytes);
        pair.target.complete(command.task, &[]);
        let read = scsi::read_or_write_16(false, 9, 80, 5);
        assert!(
            pair.initiator
                .send_command(2, 3, &read, bytes.len(), vec![].into())
        );
        pair.run();
        let command = pair.next_command();
        pair.target.complete(command.task, &bytes);
        pair.run();
        for (tag, data) in [(1, vec![]), (2, bytes)] {
            assert!(
                pair.initiator.next_event() == Some(completed(tag, status::GOOD, None, data, 0))
            );
        }
    }
}

#[test]
fn busy_carries_retry_after_and_check_condition_carries_sense() {
    let mut pair = ConnectedPair::default();
    for tag in 0..2 {
        pair.send_read(tag, 0);
    }
    pair.run();
    let (first, second) = (pair.next_command(), pair.next_command());
    let timeout = Some(Sense::COMMUNICATION_TIMEOUT);
    pair.target
        .complete_with_status(second.task, status::BUSY, None, NonZeroU16::new(12));
    pair.target
        .complete_with_status(first.task, status::CHECK_CONDITION, timeout, None);
    pair.run();
    assert_eq!(
        pair.initiator.next_event(),
        Some(completed(1, status::BUSY, None, vec![], 12))
    );
    let failed = completed(0, status::CHECK_CONDITION, timeout, vec![], 0);
    assert_eq!(pair.initiator.next_event(), Some(failed));
}

#[test]
fn aborted_command_is_reported_once_and_never_completes() {
    let mut pair = ConnectedPair::default();
    pair.send_write(5, 0);
    pair.run();
    let task = pair.next_command().task;
    pair.initiator.abort_task(5);
    pair.initiator.abort_task(5);
    pair.run();
    assert_eq!(
        pair.target.next_event(),
        Some(TargetEvent::CommandAborted { task })
    );
    pair.target.complete(task, &[]);
    pair.run();
    assert_eq!(
        pair.initiator.next_event(),
        Some(InitiatorEvent::CommandAborted { tag: 5 })
    );
    assert_eq!(pair.initiator.next_event(), None);
    assert_eq!(
        (pair.initiator.in_flight(), pair.target.in_flight()),
        (0, 0)
    );
}

#[test]
fn completion_that_crosses_an_abort_is_dropped() {
    let mut pair = ConnectedPair::default();
    pair.send_read(5, 0);
    pair.run();
    let task = pair.next_command().task;
    pair.target.complete(task, &[7; 512]);
    pair.initiator.abort_task(5);
    pair.run();
    assert_eq!(
        pair.initiator.next_event(),
        Some(InitiatorEvent::CommandAborted { tag: 5 })
    );
    assert_eq!(pair.initiator.next_event(), None);
}

#[test]
fn command_window_closes_when_full_and_reopens_with_each_completion() {
    let mut pair = ConnectedPair::default();
    let send = |pair: &mut ConnectedPair, tag| {
        let sent = pair.send_read(tag, 0);
        pair.run();
        sent
    };
    assert_eq!((0..6).filter(|tag| send(&mut pair, *tag)).count(), 4);
    let task = pair.next_command().task;
    pair.target.complete(task, &[0; 512]);
    pair.run();
    assert!(send(&mut pair, 7) && !send(&mut pair, 8));
}

#[test]
fn logical_unit_reset_aborts_only_its_own_commands() {
    let mut pair = ConnectedPair::default();
    for lun in [1, 2] {
        pair.send_read(lun, lun);
    }
    pair.initiator.reset_logical_unit(1);
    pair.run();
    let first_unit_command = pair.next_command();
    let _second_unit_command = pair.next_command();
    let aborted = TargetEvent::CommandAborted {
        task: first_unit_command.task,
    };
    assert_eq!(pair.target.next_event(), Some(aborted));
    assert_eq!(pair.target.in_flight(), 1);
}

#[test]
fn command_has_started_sending_once_its_first_byte_is_written() {
    let mut pair = ConnectedPair::default();
    pair.send_write(1, 0);
    pair.send_write(2, 1);
    assert!(!pair.initiator.has_started_sending(1));
    pair.initiator.send_buffer().mark_sent(1);
    assert!(pair.initiator.has_started_sending(1) && !pair.initiator.has_started_sending(2));
}

#[test]
fn a_command_that_is_taken_back_unwritten_leaves_no_gap_in_the_command_numbers() {
    let mut pair = ConnectedPair::new(short_lengths(), usize::MAX);
    let read = scsi::read_or_write_16(false, 9, 80, 5);
    let write = scsi::read_or_write_16(true, 9, 8, 5);
    let initiator = &mut pair.initiator;
    assert!(initiator.send_command(1, 3, &write, 0, vec![1; 4096].into()));
    assert!(initiator.take_back_command(1));
    assert!(!initiator.take_back_command(1), "it is taken back already");
    assert_eq!(initiator.in_flight(), 0);
    assert!(initiator.send_buffer().unsent().is_empty());

    assert!(initiator.send_command(2, 3, &read, 512, vec![].into()));
    assert!(initiator.send_command(3, 3, &read, 512, vec![].into()));
    assert!(
        !initiator.take_back_command(2),
        "another command was sent after it"
    );
    assert!(initiator.send_command(4, 3, &write, 0, vec![1; 4096].into()));
    assert!(initiator.take_back_command(4));
    pair.run();
    let cdbs = [pair.next_command().cdb, pair.next_command().cdb];
    assert_eq!(cdbs, [read, read], "the target executes both in order");
}

#[test]
fn a_command_that_is_partly_written_is_not_taken_back() {
    let mut pair = ConnectedPair::new(short_lengths(), usize::MAX);
    let read = scsi::read_or_write_16(false, 9, 80, 5);
    assert!(pair.initiator.send_command(1, 3, &read, 512, vec![].into()));
    pair.initiator.send_buffer().mark_sent(1);
    assert!(!pair.initiator.take_back_command(1));
    assert!(pair.initiator.has_started_sending(1));
}
