//! Encoding and decoding of PDUs: LUNs, digests, and streams that arrive in pieces.
use mallowseam_iscsi::frame::{Digests, FrameError, PduDecoder, SendBuffer};
use mallowseam_iscsi::pdu::{Bhs, flag, lun_bytes, opcode};
use proptest::prelude::*;

#[test]
fn digests_detect_every_flipped_bit() {
    let digests = Digests {
        header: true,
        data: true,
    };
    let mut buffer = SendBuffer::default();
    buffer.set_digests(digests);
    buffer.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[1, 2, 3, 4, 5]);
    let intact = buffer.unsent().to_vec();
    for bit in 0..intact.len() * 8 {
        let mut bytes = intact.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut decoder = PduDecoder::new(1 << 16);
        decoder.set_limits(digests, 1 << 16);
        let result = decoder.decode(&mut &bytes[..]);
        // A flipped bit that increases a length leaves the PDU incomplete; in no case is the PDU accepted.
        assert!(!matches!(result, Ok(Some(_))), "bit {bit}: {result:?}");
        if bit >= 52 * 8 {
            assert!(
                matches!(result, Err(FrameError::DataDigest(_))),
                "bit {bit}"
            );
        }
    }
}

#[test]
fn lun_round_trips_in_each_addressing_method() {
    for lun in [0, 1, 255, 256, 16_383, 16_384, 0xff_ffff] {
        assert_eq!(
            Bhs::new(opcode::SCSI_COMMAND, 0).with_lun(lun).lun(),
            Some(lun)
        );
    }
    let mut bhs = Bhs::new(opcode::SCSI_COMMAND, 0);
    bhs.bytes_mut()[8..16].copy_from_slice(&lun_bytes(3));
    bhs.bytes_mut()[13] = 1;
    assert_eq!(bhs.lun(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn pdus_round_trip_in_pieces_of_any_size(
        fields in any::<[u8; 32]>(),
        data in prop::collection::vec(any::<u8>(), 0..2000),
        pieces in prop::collection::vec(1usize..300, 1..40),
        header_digest in any::<bool>(),
        data_digest in any::<bool>(),
    ) {
        let digests = Digests { header: header_digest, data: data_digest };
        let mut bhs = Bhs::new(fields[0], fields[1]);
        bhs.bytes_mut()[16..].copy_from_slice(&fields);
        let mut buffer = SendBuffer::default();
        buffer.set_digests(digests);
        buffer.push(bhs, &data);
        buffer.push(bhs, &[]);
        let mut decoder = PduDecoder::new(4096);
        decoder.set_limits(digests, 4096);
        let mut pdus = Vec::new();
        let mut rest = buffer.unsent();
        for piece in pieces.iter().cycle() {
            let (mut input, remaining) = rest.split_at(rest.len().min(*piece));
            while !input.is_empty() {
                pdus.extend(decoder.decode(&mut input).expect("stream is valid"));
            }
            rest = remaining;
            if rest.is_empty() { break }
        }
        prop_assert_eq!(pdus.len(), 2);
        prop_assert!(pdus[0].data == data && pdus[1].data.is_empty());
        prop_assert_eq!(&pdus[0].bhs.as_bytes()[16..], &bhs.as_bytes()[16..]);
    }
}
