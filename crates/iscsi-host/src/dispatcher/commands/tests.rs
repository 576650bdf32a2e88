//! Tests of how the outcomes of parts decide the answer to a command.
use super::{Commands, Issuer, NewCommand};
use crate::dispatcher::parts_in_flight::PartsInFlight;
use crate::dispatcher::transfer::Transfer;
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::split_write::PartAdmission;

const ISSUER: Issuer = Issuer { client: 1, task: 9 };
const BLOCK_SIZE: u32 = 2;
const LAYER: u32 = 1024;

/// Returns a command that transfers two blocks.
fn command(write: bool, parts: u32) -> NewCommand {
    NewCommand {
        issuer: ISSUER,
        transfer: Transfer {
            write,
            lba: 0,
            blocks: 2,
            group_number: 5,
        },
        block_size: BLOCK_SIZE,
        data: if write { vec![1, 2, 3, 4] } else { Vec::new() },
        parts,
    }
}

/// Returns the part that consists of the block at `offset`.
fn part(offset: u32) -> SubRequest {
    SubRequest {
        offset,
        blocks: 1,
        shard: 0,
        node_lba: 0,
        class: 0,
        ordering_key: None,
    }
}

#[test]
fn a_read_of_two_parts_is_answered_with_their_data_in_block_order() {
    let mut commands = Commands::default();
    let index = commands.insert(command(false, 2));
    let first = commands.part_completed(index, &part(1), None, vec![3, 4]);
    assert!(first.is_none());
    let answer = commands.part_completed(index, &part(0), None, vec![1, 2]);
    let answer = answer.expect("the second part completes the command");
    assert_eq!(answer.issuer, Some(ISSUER));
    assert_eq!(answer.outcome, RequestOutcome::Completed);
    assert_eq!(answer.data, [1, 2, 3, 4]);
}

#[test]
fn an_attempt_of_a_part_of_a_write_sends_only_the_blocks_of_the_part() {
    let mut commands = Commands::default();
    let index = commands.insert(command(true, 2));
    let transfer = commands.begin_attempt(index, &part(1), false);
    let transfer = transfer.expect("the command is in flight");
    assert_eq!(transfer.group_number, 5);
    assert_eq!(transfer.data.bytes(), [3, 4]);
}

#[test]
fn a_command_whose_non_idempotent_part_may_have_run_fails_instead_of_being_shed() {
    let shed = RequestOutcome::Shed {
        retry_after: Some(1),
    };
    let mut commands = Commands::default();
    let index = commands.insert(command(true, 2));
    commands.begin_attempt(index, &part(0), true);
    let answer = commands.part_finished(index, shed, Vec::new());
    assert_eq!(
        answer.expect("the part decides the answer").outcome,
        RequestOutcome::Failed
    );

    let index = commands.insert(command(true, 2));
    commands.begin_attempt(index, &part(0), true);
    commands.attempt_did_not_run(index);
    let answer = commands.part_finished(index, shed, Vec::new());
    assert_eq!(answer.expect("the part decides the answer").outcome, shed);
}

#[test]
fn an_abandoned_command_gets_no_answer_and_is_removed_with_its_last_part() {
    let mut commands = Commands::default();
    let index = commands.insert(command(true, 2));
    assert!(commands.abandon(index));
    assert!(!commands.abandon(index), "the command is already abandoned");
    let answer = commands.part_finished(index, RequestOutcome::Failed, Vec::new());
    assert!(answer.is_none());
    commands.release_part(index);
    assert!(commands.is_answered(index));
    commands.release_part(index);
    assert!(
        !commands.is_answered(index),
        "the command is removed with its last part"
    );
    assert_eq!(commands.insert(command(true, 1)), index);
}

#[test]
fn no_split_write_starts_while_a_cut_is_pending() {
    let mut commands = Commands::default();
    let index = commands.insert(command(true, 2));
    let not_started = PartsInFlight::default();
    let started = PartsInFlight {
        any: true,
        in_other_layer: false,
    };
    let cut_pending = true;
    let mut admit = |parts, cut_pending| commands.admit_part(index, LAYER, parts, cut_pending, 0);
    assert_eq!(admit(not_started, cut_pending), PartAdmission::Wait);
    assert_eq!(admit(started, cut_pending), PartAdmission::Send);
    assert_eq!(admit(not_started, !cut_pending), PartAdmission::Send);
}

/// Guards against a part that is sent in the same call in which an earlier part decides the answer, before its
/// withdrawal is reported to the scheduler.
#[test]
fn nothing_is_sent_for_a_command_that_is_answered_or_abandoned() {
    let shed = RequestOutcome::Shed { retry_after: None };
    let mut commands = Commands::default();
    let answered = commands.insert(command(true, 2));
    let answer = commands.part_finished(answered, shed, Vec::new());
    assert_eq!(answer.expect("the part decides the answer").outcome, shed);
    assert!(commands.begin_attempt(answered, &part(1), true).is_none());

    let abandoned = commands.insert(command(true, 2));
    assert!(commands.abandon(abandoned));
    assert!(commands.begin_attempt(abandoned, &part(0), true).is_none());
}
