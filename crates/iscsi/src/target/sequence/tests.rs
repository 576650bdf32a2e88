//! Tests of the sequence numbers that a target accepts and announces.
use super::*;
use crate::pdu::{flag, opcode};

/// Returns the sequence numbers of a session that started with `CmdSN` `u32::MAX` and a window of four commands.
fn sequence() -> TargetSequence {
    let mut sequence = TargetSequence::new();
    sequence.start(u32::MAX, 4);
    sequence
}

/// Returns the `ExpCmdSN` and `MaxCmdSN` that a PDU announces.
fn announced(sequence: &TargetSequence) -> [u32; 2] {
    let bhs = sequence.number(Bhs::new(opcode::NOP_IN, flag::FINAL), 9);
    assert_eq!(bhs.stat_sn(), 9);
    [bhs.exp_cmd_sn(), bhs.max_cmd_sn()]
}

#[test]
fn command_numbers_are_accepted_in_order_and_wrap_around() {
    let mut sequence = sequence();
    assert_eq!(sequence.accept(u32::MAX), Ok(true));
    assert_eq!(sequence.accept(0), Ok(true));
    assert_eq!(announced(&sequence), [1, 2]);
}

#[test]
fn command_numbers_outside_the_window_are_ignored_and_a_gap_inside_is_an_error() {
    let mut sequence = sequence();
    assert_eq!(sequence.accept(u32::MAX - 1), Ok(false));
    assert_eq!(sequence.accept(3), Ok(false));
    let gap = ProtocolError::CommandSequenceGap {
        received: 1,
        expected: u32::MAX,
    };
    assert_eq!(sequence.accept(1), Err(gap));
    assert_eq!(announced(&sequence), [u32::MAX, 2]);
}

#[test]
fn max_cmd_sn_can_increase_but_never_decreases() {
    let mut sequence = sequence();
    sequence.open_window(1);
    assert_eq!(announced(&sequence), [u32::MAX, 2]);
    sequence.open_window(6);
    assert_eq!(announced(&sequence), [u32::MAX, 4]);
}

#[test]
fn only_taking_a_stat_sn_advances_it() {
    let mut sequence = sequence();
    let first = sequence.next_stat_sn();
    assert_eq!(
        [sequence.next_stat_sn(), sequence.take_stat_sn()],
        [first; 2]
    );
    assert_eq!(sequence.next_stat_sn(), first + 1);
}
