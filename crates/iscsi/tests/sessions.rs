//! A target and an initiator talk through a stream that cuts bytes where it likes.
use mallowseam_iscsi::frame::{Digests, FrameError, PduDecoder, SendBuffer};
use mallowseam_iscsi::initiator::{self, InitiatorConnection};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, flag, lun_bytes, opcode};
use mallowseam_iscsi::scsi::{self, Command, ModeSenseForm, Sense, status};
use mallowseam_iscsi::target::{self, TargetConfig, TargetConnection};
use proptest::prelude::*;
use std::rc::Rc;

struct Open;

impl LoginPolicy for Open {
    fn admit(&mut self, who: &LoginIdentity) -> Result<u16, LoginStatus> {
        if who.target.as_deref().is_none_or(|t| t == "iqn.t") { Ok(7) } else { Err(LoginStatus::NOT_FOUND) }
    }
}

fn terms(wishes: ProposedParams) -> Rc<TargetConfig> {
    Rc::new(TargetConfig {
        proposal: wishes,
        command_window: 4,
        max_transfer_bytes: 1 << 20,
        target_names: vec!["iqn.t".into()],
        portal_address: "127.0.0.1:3260".into(),
    })
}

struct Pair {
    target: TargetConnection,
    initiator: InitiatorConnection,
    piece: usize,
}

impl Pair {
    fn new(target: ProposedParams, initiator: ProposedParams, piece: usize) -> Self {
        let mut pair = Pair {
            target: TargetConnection::new(terms(target)),
            initiator: InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &initiator),
            piece,
        };
        pair.run();
        assert_eq!(pair.initiator.next_event(), Some(initiator::InitiatorEvent::LoggedIn));
        assert!(matches!(pair.target.next_event(), Some(target::TargetEvent::LoggedIn(_))));
        pair
    }

    /// Carries bytes both ways until both are quiet.
    fn run(&mut self) {
        loop {
            let up: Vec<u8> =
                self.initiator.send_buffer().unsent().iter().take(self.piece).copied().collect();
            self.initiator.send_buffer().mark_sent(up.len());
            self.target.receive(&up, &mut Open).expect("a sound initiator");
            let down: Vec<u8> = self.target.send_buffer().unsent().iter().take(self.piece).copied().collect();
            self.target.send_buffer().mark_sent(down.len());
            self.initiator.receive(&down).expect("a sound target");
            if up.is_empty() && down.is_empty() {
                return;
            }
        }
    }

    fn command(&mut self) -> (u32, [u8; 16], Vec<u8>) {
        match self.target.next_event() {
            Some(target::TargetEvent::Command { task, cdb, data, .. }) => (task, cdb, data),
            other => panic!("expected a command, came {other:?}"),
        }
    }
}

fn small() -> ProposedParams {
    ProposedParams {
        max_recv_data_segment: 1024,
        max_burst_len: 4096,
        first_burst_len: 2048,
        ..ProposedParams::default()
    }
}

#[test]
fn a_long_write_goes_over_in_bursts_and_a_long_read_comes_back_whole() {
    for digests in [Digests::default(), Digests { header: true, data: true }] {
        let wishes = ProposedParams { digests, ..small() };
        let mut pair = Pair::new(wishes, wishes, 613);
        let bytes: Vec<u8> = (0..40_001u32).map(|i| (i * 7) as u8).collect();
        assert!(pair.initiator.send_command(
            1,
            3,
            &scsi::read_or_write_16(true, 9, 80, 5),
            0,
            bytes.clone().into()
        ));
        pair.run();
        let (task, cdb, data) = pair.command();
        assert_eq!(scsi::parse_cdb(&cdb), Ok(Command::Write { lba: 9, blocks: 80, group_number: 5 }));
        assert!(data == bytes);
        pair.target.complete(task, &[]);
        assert!(pair.initiator.send_command(
            2,
            3,
            &scsi::read_or_write_16(false, 9, 80, 5),
            bytes.len(),
            vec![].into()
        ));
        pair.run();
        let (task, ..) = pair.command();
        pair.target.complete(task, &bytes);
        pair.run();
        for (tag, data) in [(1, vec![]), (2, bytes)] {
            let sense = None;
            let answer = initiator::InitiatorEvent::CommandCompleted {
                tag,
                status: status::GOOD,
                sense,
                data,
                retry_after: 0,
            };
            assert!(pair.initiator.next_event() == Some(answer));
        }
    }
}

#[test]
fn a_busy_answer_names_the_time_to_come_back_and_a_failure_its_sense() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    for tag in 0..2 {
        pair.initiator.send_command(tag, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
    }
    pair.run();
    let (a, ..) = pair.command();
    let (b, ..) = pair.command();
    pair.target.complete_with_status(b, status::BUSY, None, 12);
    pair.target.complete_with_status(a, status::CHECK_CONDITION, Some(Sense::COMMUNICATION_TIMEOUT), 0);
    pair.run();
    let answer = |tag, status, sense, retry_after| {
        Some(initiator::InitiatorEvent::CommandCompleted { tag, status, sense, data: vec![], retry_after })
    };
    assert_eq!(pair.initiator.next_event(), answer(1, status::BUSY, None, 12));
    let unknown = Some(Sense::COMMUNICATION_TIMEOUT);
    assert_eq!(pair.initiator.next_event(), answer(0, status::CHECK_CONDITION, unknown, 0));
}

#[test]
fn an_aborted_command_is_never_answered_and_its_end_is_told_once() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    pair.initiator.send_command(5, 0, &scsi::read_or_write_16(true, 0, 1, 0), 0, vec![1; 512].into());
    pair.run();
    let (task, ..) = pair.command();
    pair.initiator.abort_task(5);
    pair.initiator.abort_task(5);
    pair.run();
    assert_eq!(pair.target.next_event(), Some(target::TargetEvent::CommandAborted { task }));
    pair.target.complete(task, &[]);
    pair.run();
    assert_eq!(pair.initiator.next_event(), Some(initiator::InitiatorEvent::CommandAborted { tag: 5 }));
    assert_eq!(
        (pair.initiator.next_event(), pair.initiator.in_flight(), pair.target.in_flight()),
        (None, 0, 0)
    );
}

#[test]
fn an_answer_that_crosses_an_abort_is_not_told() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    pair.initiator.send_command(5, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
    pair.run();
    let (task, ..) = pair.command();
    pair.target.complete(task, &[7; 512]);
    pair.initiator.abort_task(5);
    pair.run();
    assert_eq!(pair.initiator.next_event(), Some(initiator::InitiatorEvent::CommandAborted { tag: 5 }));
    assert_eq!(pair.initiator.next_event(), None);
}

#[test]
fn the_command_window_closes_when_full_and_opens_again_with_each_answer() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    let send = |pair: &mut Pair, tag| {
        let sent =
            pair.initiator.send_command(tag, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
        pair.run();
        sent
    };
    assert_eq!((0..6).filter(|tag| send(&mut pair, *tag)).count(), 4);
    let (task, ..) = pair.command();
    pair.target.complete(task, &[0; 512]);
    pair.run();
    assert!(send(&mut pair, 7) && !send(&mut pair, 8));
}

#[test]
fn a_reset_unit_drops_its_commands_and_no_others() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    for lun in [1, 2] {
        pair.initiator.send_command(lun, lun, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
    }
    pair.initiator.reset_logical_unit(1);
    pair.run();
    let (one, ..) = pair.command();
    let (_two, ..) = pair.command();
    assert_eq!(pair.target.next_event(), Some(target::TargetEvent::CommandAborted { task: one }));
    assert_eq!(pair.target.in_flight(), 1);
}

#[test]
fn a_wrong_target_name_is_refused_and_the_connection_closes() {
    let mut target = TargetConnection::new(terms(ProposedParams::default()));
    let mut initiator =
        InitiatorConnection::new("iqn.i", Some("iqn.other"), [0; 6], &ProposedParams::default());
    let bytes = initiator.send_buffer().unsent().to_vec();
    assert!(target.receive(&bytes, &mut Open).is_err() && target.is_closing());
    let bytes = target.send_buffer().unsent().to_vec();
    let fault = initiator.receive(&bytes).expect_err("a refusal");
    assert!(fault.to_string().contains("0203"), "{fault}");
}

#[test]
fn a_discovery_session_is_told_the_targets_and_cannot_read() {
    let mut target = TargetConnection::new(terms(ProposedParams::default()));
    let mut initiator = InitiatorConnection::new("iqn.i", None, [0; 6], &ProposedParams::default());
    let carry = |target: &mut TargetConnection, initiator: &mut InitiatorConnection| {
        for _ in 0..4 {
            let up = initiator.send_buffer().unsent().to_vec();
            initiator.send_buffer().mark_sent(up.len());
            target.receive(&up, &mut Open).expect("sound");
            let down = target.send_buffer().unsent().to_vec();
            target.send_buffer().mark_sent(down.len());
            initiator.receive(&down).expect("sound");
        }
    };
    carry(&mut target, &mut initiator);
    initiator.next_event();
    initiator.send_text_request(b"SendTargets=All\0");
    initiator.send_command(1, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
    carry(&mut target, &mut initiator);
    let listed = b"TargetName=iqn.t\0TargetAddress=127.0.0.1:3260,1\0".to_vec();
    assert_eq!(initiator.next_event(), Some(initiator::InitiatorEvent::TextResponse(listed)));
    assert!(matches!(
        initiator.next_event(),
        Some(initiator::InitiatorEvent::CommandRejected { tag: 1, .. })
    ));
}

#[test]
fn a_write_is_known_to_be_off_the_wire_until_its_first_byte_is_written() {
    let mut pair = Pair::new(ProposedParams::default(), ProposedParams::default(), 4096);
    pair.initiator.send_command(1, 0, &scsi::read_or_write_16(true, 0, 1, 0), 0, vec![1; 512].into());
    pair.initiator.send_command(2, 0, &scsi::read_or_write_16(true, 1, 1, 0), 0, vec![1; 512].into());
    assert!(!pair.initiator.has_started_sending(1));
    pair.initiator.send_buffer().mark_sent(1);
    assert!(pair.initiator.has_started_sending(1) && !pair.initiator.has_started_sending(2));
}

#[test]
fn a_flipped_bit_is_caught_by_the_digests() {
    let digests = Digests { header: true, data: true };
    let mut out = SendBuffer::default();
    out.set_digests(digests);
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[1, 2, 3, 4, 5]);
    let sound = out.unsent().to_vec();
    for bit in 0..sound.len() * 8 {
        let mut bytes = sound.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut decoder = PduDecoder::new(1 << 16);
        decoder.set_limits(digests, 1 << 16);
        let read = decoder.decode(&mut &bytes[..]);
        // A length that grew leaves the PDU unfinished; it is never taken.
        assert!(!matches!(read, Ok(Some(_))), "bit {bit}: {read:?}");
        if bit >= 52 * 8 {
            assert!(matches!(read, Err(FrameError::DataDigest(_))), "bit {bit}");
        }
    }
}

#[test]
fn a_lun_reads_back_in_both_ways_of_addressing() {
    for lun in [0, 1, 255, 256, 16_383, 16_384, 0xff_ffff] {
        assert_eq!(Bhs::new(opcode::SCSI_COMMAND, 0).with_lun(lun).lun(), Some(lun));
    }
    let mut bhs = Bhs::new(opcode::SCSI_COMMAND, 0);
    bhs.bytes_mut()[8..16].copy_from_slice(&lun_bytes(3));
    bhs.bytes_mut()[13] = 1;
    assert_eq!(bhs.lun(), None);
}

#[test]
fn what_a_unit_says_of_itself_has_the_lengths_it_states() {
    let unit = scsi::LogicalUnit {
        blocks: 1 << 33,
        block_size: 512,
        product: "ledger",
        serial: "water",
        max_transfer_blocks: 512,
    };
    assert_eq!(unit.inquiry(None).expect("standard")[4], 91);
    for page in unit.inquiry(Some(0)).expect("list")[4..].iter() {
        let data = unit.inquiry(Some(*page)).expect("a listed page is kept");
        assert_eq!(usize::from(u16::from_be_bytes([data[2], data[3]])), data.len() - 4, "page {page:#x}");
    }
    assert_eq!(unit.inquiry(Some(0x42)), None);
    assert_eq!(unit.read_capacity_10()[..4], [0xff; 4]);
    assert_eq!(unit.read_capacity_16()[..8], ((1u64 << 33) - 1).to_be_bytes());
    let mode = unit.mode_sense(ModeSenseForm::Six, 0x3f).expect("all pages");
    assert_eq!(usize::from(mode[0]), mode.len() - 1);
}

#[test]
fn write_protection_and_unmap_read_back_and_cut_ones_do_not() {
    for on in [true, false] {
        let (cdb, data) = scsi::mode_select_write_protect(on);
        assert_eq!(
            (scsi::parse_cdb(&cdb), scsi::parse_write_protect(&data)),
            (Ok(Command::ModeSelect), Some(on))
        );
        assert_eq!(scsi::parse_write_protect(&data[..15]), None);
    }
    let runs = vec![(1 << 40, 7), (9, u32::MAX)];
    let (cdb, data) = scsi::unmap(&runs);
    assert_eq!((scsi::parse_cdb(&cdb), scsi::parse_unmap(&data)), (Ok(Command::Unmap), Some(runs)));
    assert_eq!(scsi::parse_unmap(&data[..30]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in after a login, a target neither panics nor holds more than its terms allow.
    #[test]
    fn malformed_pdus_harm_nobody(
        headers in prop::collection::vec((any::<[u8; 16]>(), any::<[u8; 32]>(), 0usize..600), 1..12),
        opcodes in prop::collection::vec(0u8..0x80, 12),
    ) {
        let mut pair = Pair::new(small(), small(), 4096);
        let mut sn = 1;
        for ((a, b, len), opcode) in headers.iter().zip(&opcodes) {
            let mut bhs = Bhs::new(*opcode, a[1]);
            bhs.bytes_mut()[8..16].copy_from_slice(&[0, a[9] % 3, 0, 0, 0, 0, 0, 0]);
            bhs.bytes_mut()[16..48].copy_from_slice(b);
            let bhs = bhs.with_itt(u32::from(b[0] % 4)).with_cmd_sn(sn);
            let mut out = SendBuffer::default();
            out.push(bhs, &vec![0x55; *len]);
            if pair.target.receive(out.unsent(), &mut Open).is_err() {
                break;
            }
            sn = sn.wrapping_add(u32::from(opcode & 0x40 == 0));
        }
        while let Some(came) = pair.target.next_event() {
            if let target::TargetEvent::Command { task, .. } = came {
                pair.target.complete_with_status(task, status::BUSY, None, 1);
            }
        }
        prop_assert!(pair.target.in_flight() <= 12 && pair.target.allocated_bytes() < 1 << 20);
    }

    /// Raw noise in place of a login ends in a fault or waits for more; it is never let in.
    #[test]
    fn noise_is_never_let_in(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut target = TargetConnection::new(terms(ProposedParams::default()));
        let _ = target.receive(&bytes, &mut Open);
        prop_assert!(!target.is_logged_in());
    }

    /// And an initiator stands whatever its target sends.
    #[test]
    fn an_initiator_stands_noise(
        opcode in 0u8..0x40,
        body in any::<[u8; 32]>(),
        rest in any::<[u8; 12]>(),
        data in prop::collection::vec(any::<u8>(), 0..300),
        own in any::<bool>(),
    ) {
        let mut pair = Pair::new(small(), small(), 4096);
        pair.initiator.send_command(1, 0, &scsi::read_or_write_16(true, 0, 9, 0), 0, vec![3; 4600].into());
        let itt = u32::from_be_bytes(pair.initiator.send_buffer().unsent()[16..20].try_into().expect("four"));
        let mut bhs = Bhs::new(opcode, body[0]);
        bhs.bytes_mut()[16..48].copy_from_slice(&body);
        bhs.bytes_mut()[36..48].copy_from_slice(&rest);
        let bhs = if own { bhs.with_itt(itt) } else { bhs };
        let mut out = SendBuffer::default();
        out.push(bhs.with_stat_sn(2), &data);
        let _ = pair.initiator.receive(out.unsent());
    }

    #[test]
    fn a_pdu_reads_back_however_its_bytes_are_cut(
        head in any::<[u8; 32]>(),
        data in prop::collection::vec(any::<u8>(), 0..2000),
        pieces in prop::collection::vec(1usize..300, 1..40),
        header in any::<bool>(),
        digest in any::<bool>(),
    ) {
        let digests = Digests { header, data: digest };
        let mut bhs = Bhs::new(head[0], head[1]);
        bhs.bytes_mut()[16..].copy_from_slice(&head);
        let mut out = SendBuffer::default();
        out.set_digests(digests);
        out.push(bhs, &data);
        out.push(bhs, &[]);
        let mut decoder = PduDecoder::new(4096);
        decoder.set_limits(digests, 4096);
        let (mut found, bytes) = (Vec::new(), out.unsent());
        let mut at = 0;
        for piece in pieces.iter().cycle() {
            let end = (at + piece).min(bytes.len());
            let mut input = &bytes[at..end];
            while !input.is_empty() {
                found.extend(decoder.decode(&mut input).expect("sound"));
            }
            at = end;
            if at == bytes.len() { break }
        }
        prop_assert_eq!(found.len(), 2);
        prop_assert!(found[0].data == data && found[1].data.is_empty());
        prop_assert_eq!(&found[0].bhs.as_bytes()[16..], &bhs.as_bytes()[16..]);
    }

    #[test]
    fn reads_and_writes_read_back(lba in any::<u64>(), blocks in any::<u32>(), group in 0u8..32, write: bool) {
        let command = scsi::parse_cdb(&scsi::read_or_write_16(write, lba, blocks, group)).expect("sound");
        prop_assert_eq!(command, if write {
            Command::Write { lba, blocks, group_number: group }
        } else {
            Command::Read { lba, blocks, group_number: group }
        });
    }
}
