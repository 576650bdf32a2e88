//! Tests of the command window and the order of statuses at an initiator.
use super::*;

fn response(opcode: u8, stat_sn: u32, max_cmd_sn: u32) -> Bhs {
    Bhs::new(opcode, flag::FINAL)
        .with_itt(1)
        .with_stat_sn(stat_sn)
        .with_exp_cmd_sn(u32::MAX)
        .with_max_cmd_sn(max_cmd_sn)
}

/// Returns the sequence numbers of a session whose next `CmdSN` is `u32::MAX` and whose `MaxCmdSN` is 0.
fn sequence() -> InitiatorSequence {
    let mut sequence = InitiatorSequence::new();
    sequence.start(&response(opcode::LOGIN_RESPONSE, 5, 0));
    sequence
}

#[test]
fn commands_advance_cmd_sn_until_the_window_is_closed() {
    let mut sequence = sequence();
    let command = Bhs::new(opcode::SCSI_COMMAND, flag::FINAL);
    for number in [u32::MAX, 0] {
        assert!(sequence.is_window_open());
        assert_eq!(sequence.number_immediate(command).cmd_sn(), number);
        let numbered = sequence.number(command);
        assert_eq!([numbered.cmd_sn(), numbered.exp_stat_sn()], [number, 6]);
    }
    assert!(!sequence.is_window_open());
    assert_eq!(sequence.receive(&response(opcode::R2T, 0, 1)), Ok(()));
    assert!(sequence.is_window_open());
}

#[test]
fn statuses_must_be_in_order_and_some_responses_have_none() {
    let mut sequence = sequence();
    assert_eq!(sequence.receive(&response(opcode::R2T, 99, 0)), Ok(()));
    assert_eq!(sequence.receive(&response(opcode::DATA_IN, 0, 0)), Ok(()));
    assert_eq!(
        sequence.receive(&response(opcode::SCSI_RESPONSE, 6, 0)),
        Ok(())
    );
    let gap = ProtocolError::StatusSequenceGap {
        received: 6,
        expected: 7,
    };
    assert_eq!(
        sequence.receive(&response(opcode::SCSI_RESPONSE, 6, 0)),
        Err(gap)
    );
}
