//! Tests of the order of the data of a write and the bounds of its bursts.
use super::*;
use crate::pdu::{flag, opcode};

/// Target transfer tag of the R2Ts in these tests.
const TAG: u32 = 7;

fn data_out(tag: u32, data_sn: u32, offset: u32, len: usize, is_final: bool) -> Pdu {
    let flags = if is_final { flag::FINAL } else { 0 };
    Pdu {
        bhs: Bhs::new(opcode::DATA_OUT, flags)
            .with_target_transfer_tag(tag)
            .with_data_sn(data_sn)
            .with_buffer_offset(offset),
        data: vec![1; len],
    }
}

/// Returns a write of 100 bytes, 10 of them immediate, whose first burst of up to 40 bytes has been requested.
fn solicited() -> WriteTransfer {
    let mut write = WriteTransfer::new(vec![0; 10], 100, 10);
    assert_eq!(write.deliver(), None);
    let burst = write.next_burst(40);
    assert_eq!((burst.r2t_sn, burst.offset, burst.len), (0, 10, 40));
    write
}

#[test]
fn bursts_follow_each_other_until_all_data_is_received() {
    let mut write = solicited();
    assert_eq!(
        write.receive(&data_out(TAG, 0, 10, 25, false), TAG),
        Ok(false)
    );
    assert_eq!(
        write.receive(&data_out(TAG, 1, 35, 15, true), TAG),
        Ok(true)
    );
    assert_eq!(write.deliver(), None);
    let burst = write.next_burst(64);
    assert_eq!((burst.r2t_sn, burst.offset, burst.len), (1, 50, 50));
    assert_eq!(
        write.receive(&data_out(TAG, 0, 50, 50, true), TAG),
        Ok(true)
    );
    assert!(!write.is_delivered());
    assert_eq!(write.deliver().map(|data| data.len()), Some(100));
    assert!(write.is_delivered());
}

#[test]
fn a_burst_must_end_exactly_where_the_r2t_states() {
    let short = data_out(TAG, 0, 10, 39, true);
    assert_eq!(
        solicited().receive(&short, TAG),
        Err(ProtocolError::BurstTooShort)
    );
    let unended = data_out(TAG, 0, 10, 40, false);
    assert_eq!(
        solicited().receive(&unended, TAG),
        Err(ProtocolError::BurstNotEnded)
    );
    let long = data_out(TAG, 0, 10, 41, true);
    let past = ProtocolError::DataPastBurst { end: 51, limit: 50 };
    assert_eq!(solicited().receive(&long, TAG), Err(past));
    let empty = data_out(TAG, 0, 10, 0, false);
    assert_eq!(
        solicited().receive(&empty, TAG),
        Err(ProtocolError::EmptyDataOut)
    );
}

#[test]
fn data_that_was_not_requested_or_is_out_of_order_is_an_error() {
    let unsolicited = data_out(RESERVED_TAG, 0, 10, 40, true);
    let unknown = ProtocolError::UnknownTransferTag { tag: RESERVED_TAG };
    assert_eq!(solicited().receive(&unsolicited, TAG), Err(unknown));
    for pdu in [
        data_out(TAG, 1, 10, 40, true),
        data_out(TAG, 0, 12, 38, true),
    ] {
        let error = solicited()
            .receive(&pdu, TAG)
            .expect_err("Data-Out is out of order");
        assert!(matches!(error, ProtocolError::WriteDataOutOfOrder { .. }));
    }
}

#[test]
fn a_command_without_data_is_delivered_at_once() {
    let mut write = WriteTransfer::new(Vec::new(), 0, 0);
    assert_eq!(write.deliver(), Some(Vec::new()));
}
