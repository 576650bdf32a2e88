//! Tests of the order of the data that a command reads or writes at an initiator.
use super::*;
use crate::pdu::{flag, opcode};

#[test]
fn last_segment_of_a_burst_is_marked() {
    let mut write = WriteTransfer::new(Payload::from(vec![1; 25]), 5);
    let mut segments = Vec::new();
    while let Some(segment) = write.next_segment(20, 10) {
        segments.push((segment.offset, segment.bytes.len(), segment.is_last));
    }
    assert_eq!(segments, [(5, 10, false), (15, 5, true)]);
    write.discard();
    assert!(write.next_segment(25, 10).is_none());
}

#[test]
fn an_r2t_can_only_request_the_next_data() {
    let write = WriteTransfer::new(Payload::from(vec![1; 25]), 5);
    let r2t = |offset, len| {
        Bhs::new(opcode::R2T, flag::FINAL)
            .with_buffer_offset(offset)
            .with_desired_data_len(len)
    };
    assert_eq!(write.burst_end(&r2t(5, 20)), Ok(25));
    for wrong in [r2t(4, 20), r2t(6, 10), r2t(5, 21), r2t(5, 0)] {
        let error = write
            .burst_end(&wrong)
            .expect_err("R2T does not request the next data");
        assert!(matches!(
            error,
            ProtocolError::InvalidReadyToTransfer { sent: 5, .. }
        ));
    }
}

#[test]
fn read_data_must_be_in_order_and_within_the_expected_length() {
    let data_in = |offset| Bhs::new(opcode::DATA_IN, 0).with_buffer_offset(offset);
    let mut read = ReadTransfer::new(5);
    assert_eq!(read.receive(&data_in(0), vec![1, 2, 3]), Ok(()));
    for (offset, data) in [(0, vec![4]), (4, vec![4]), (3, vec![4, 5, 6])] {
        let wrong = ProtocolError::ReadDataOutOfOrder {
            offset,
            expected: 3,
        };
        assert_eq!(read.receive(&data_in(offset), data), Err(wrong));
    }
    assert_eq!(read.receive(&data_in(3), vec![4, 5]), Ok(()));
    assert_eq!(read.into_data(), [1, 2, 3, 4, 5]);
}
