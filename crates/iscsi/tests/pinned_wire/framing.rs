//! Decoding of streams that are cut into pieces or corrupt, and the memory of the send buffer.
use crate::harness::{AdmitKnownTarget, Record, logged_in, short_lengths};
use mallowseam_iscsi::frame::{Digests, PduDecoder, SendBuffer};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, Pdu, flag, opcode};
use mallowseam_iscsi::scsi::{self};

/// Decodes a stream that arrives in two pieces; returns the PDUs, and the text of the error if there is one.
fn decoded(digests: Digests, first: &[u8], second: &[u8]) -> (Vec<Pdu>, Option<String>) {
    let mut decoder = PduDecoder::new(1024);
    decoder.set_limits(digests, 1024);
    let mut pdus = Vec::new();
    for mut piece in [first, second] {
        while !piece.is_empty() {
            match decoder.decode(&mut piece) {
                Ok(pdu) => pdus.extend(pdu),
                Err(error) => return (pdus, Some(error.to_string())),
            }
        }
    }
    (pdus, None)
}

/// CRC32C digests of both headers and data segments.
const BOTH: Digests = Digests {
    header: true,
    data: true,
};

/// Returns a stream of three PDUs: one whose data is padded, one without data, and one whose data is not padded.
fn stream(digests: Digests) -> Vec<u8> {
    let mut out = SendBuffer::default();
    out.set_digests(digests);
    out.push(
        Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE).with_itt(9),
        &[1, 2, 3, 4, 5],
    );
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL).with_itt(10), &[]);
    out.push(
        Bhs::new(opcode::DATA_OUT, flag::FINAL).with_buffer_offset(5),
        &[6; 8],
    );
    out.unsent().to_vec()
}

#[test]
fn stream_decodes_to_the_same_pdus_wherever_it_is_cut() {
    for (digests, expected) in [(Digests::default(), PLAIN_STREAM), (BOTH, DIGEST_STREAM)] {
        let bytes = stream(digests);
        let mut record = Record::new();
        record.raw(&bytes);
        assert_eq!(record.value(), expected, "{:#018x}", record.value());
        let whole = decoded(digests, &bytes, &[]);
        assert_eq!((whole.0.len(), &whole.1), (3, &None));
        for cut in 0..bytes.len() {
            assert_eq!(
                decoded(digests, &bytes[..cut], &bytes[cut..]),
                whole,
                "cut at {cut}"
            );
        }
    }
}

#[test]
fn stream_with_any_flipped_bit_decodes_as_recorded() {
    let bytes = stream(BOTH);
    let mut record = Record::new();
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        let (pdus, error) = decoded(BOTH, &corrupt, &[]);
        record.number(b'n', pdus.len() as u64);
        record.bytes(b'!', error.unwrap_or_default().as_bytes());
    }
    assert_eq!(record.value(), FLIPPED, "{:#018x}", record.value());
}

#[test]
fn both_sides_handle_any_flipped_bit_as_recorded() {
    let proposal = ProposedParams {
        digests: BOTH,
        ..short_lengths()
    };
    let mut record = Record::new();
    for bit in 0..8 * (52 + 16 + 4) {
        let (mut target, mut initiator) = logged_in(proposal);
        initiator.send_command(
            1,
            0,
            &scsi::read_or_write_16(true, 0, 1, 0),
            0,
            vec![7; 16].into(),
        );
        let mut up = initiator.send_buffer().unsent().to_vec();
        up[bit / 8] ^= 1 << (bit % 8);
        let received = target.receive(&up, &mut AdmitKnownTarget);
        record.bytes(
            b'!',
            received
                .err()
                .map_or(String::new(), |error| error.to_string())
                .as_bytes(),
        );
        let mut down = target.send_buffer().unsent().to_vec();
        record.bytes(b'<', &down);
        if let Some(byte) = down.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
        let received = initiator.receive(&down);
        record.bytes(
            b'?',
            received
                .err()
                .map_or(String::new(), |error| error.to_string())
                .as_bytes(),
        );
    }
    assert_eq!(record.value(), CORRUPT_DIGESTS, "{:#018x}", record.value());
}

#[test]
fn large_send_buffer_is_freed_once_empty() {
    let mut out = SendBuffer::default();
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[0; 16_384]);
    assert!(out.allocated_bytes() >= 16_432);
    out.mark_sent(16_385);
    assert_eq!(
        (out.unsent().len(), out.sent_bytes(), out.end_offset()),
        (47, 16_385, 16_432)
    );
    out.mark_sent(47);
    assert_eq!(out.allocated_bytes(), 0);
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[0; 8]);
    out.mark_sent(56);
    assert!(out.allocated_bytes() > 0);
}

const PLAIN_STREAM: u64 = 0xa784_bf51_cb7d_7755;

const DIGEST_STREAM: u64 = 0x9171_4237_369d_d267;

const FLIPPED: u64 = 0xc877_2325_b3af_1b9d;

const CORRUPT_DIGESTS: u64 = 0x301c_8639_92a9_4a95;
