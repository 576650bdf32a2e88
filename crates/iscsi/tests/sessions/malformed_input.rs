//! Malformed input from the peer must not cause a panic, unbounded memory use or a login.
use crate::connected_pair::{AdmitKnownTarget, ConnectedPair, short_lengths, target};
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::Bhs;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_iscsi::target::TargetEvent;
use proptest::prelude::*;
use std::num::NonZeroU16;

/// Bit in the opcode byte of an immediate request, which does not advance `CmdSN`.
const IMMEDIATE_BIT: u8 = 0x40;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// A target that receives malformed PDUs neither panics nor allocates more than its configuration allows.
    #[test]
    fn target_survives_malformed_pdus(
        headers in prop::collection::vec((any::<[u8; 16]>(), any::<[u8; 32]>(), 0usize..600), 1..12),
        opcodes in prop::collection::vec(0u8..0x80, 12),
    ) {
        let mut pair = ConnectedPair::new(short_lengths(), 4096);
        let mut cmd_sn = 1;
        for ((front, back, len), opcode) in headers.iter().zip(&opcodes) {
            let mut bhs = Bhs::new(*opcode, front[1]);
            bhs.bytes_mut()[8..16].copy_from_slice(&[0, front[9] % 3, 0, 0, 0, 0, 0, 0]);
            bhs.bytes_mut()[16..48].copy_from_slice(back);
            let bhs = bhs.with_itt(u32::from(back[0] % 4)).with_cmd_sn(cmd_sn);
            let mut buffer = SendBuffer::default();
            buffer.push(bhs, &vec![0x55; *len]);
            if pair.target.receive(buffer.unsent(), &mut AdmitKnownTarget).is_err() {
                break;
            }
            cmd_sn = cmd_sn.wrapping_add(u32::from(opcode & IMMEDIATE_BIT == 0));
        }
        while let Some(event) = pair.target.next_event() {
            if let TargetEvent::Command { task, .. } = event {
                pair.target.complete_with_status(task, status::BUSY, None, NonZeroU16::new(1));
            }
        }
        prop_assert!(pair.target.in_flight() <= 12 && pair.target.allocated_bytes() < 1 << 20);
    }

    /// Random bytes in place of a login request end in an error, or the target waits for more bytes.
    #[test]
    fn random_bytes_never_log_in(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut target = target(ProposedParams::default());
        let _ = target.receive(&bytes, &mut AdmitKnownTarget);
        prop_assert!(!target.is_logged_in());
    }

    /// An initiator that receives a malformed PDU does not panic.
    #[test]
    fn initiator_survives_malformed_pdus(
        opcode in 0u8..0x40,
        body in any::<[u8; 32]>(),
        end in any::<[u8; 12]>(),
        data in prop::collection::vec(any::<u8>(), 0..300),
        has_itt_of_command in any::<bool>(),
    ) {
        let mut pair = ConnectedPair::new(short_lengths(), 4096);
        let write = scsi::read_or_write_16(true, 0, 9, 0);
        pair.initiator.send_command(1, 0, &write, 0, vec![3; 4600].into());
        let itt = pair.initiator.send_buffer().unsent()[16..20].try_into().expect("slice has four bytes");
        let mut bhs = Bhs::new(opcode, body[0]);
        bhs.bytes_mut()[16..48].copy_from_slice(&body);
        bhs.bytes_mut()[36..48].copy_from_slice(&end);
        let bhs = if has_itt_of_command { bhs.with_itt(u32::from_be_bytes(itt)) } else { bhs };
        let mut buffer = SendBuffer::default();
        buffer.push(bhs.with_stat_sn(2), &data);
        let _ = pair.initiator.receive(buffer.unsent());
    }
}
