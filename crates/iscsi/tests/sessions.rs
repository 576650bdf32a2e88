//! A target and an initiator talk through a stream that cuts bytes where it likes.
use mallowseam_iscsi::frame::{Decoder, Digests, FrameError, Outgoing};
use mallowseam_iscsi::initiator::{self, InitiatorConn};
use mallowseam_iscsi::login::{Admit, Refusal, Who};
use mallowseam_iscsi::params::Wishes;
use mallowseam_iscsi::pdu::{Bhs, flag, lun_bytes, op};
use mallowseam_iscsi::scsi::{self, Command, Sense, status};
use mallowseam_iscsi::target::{self, TargetConn, TargetTerms};
use proptest::prelude::*;
use std::rc::Rc;

struct Open;

impl Admit for Open {
    fn admit(&mut self, who: &Who) -> Result<u16, Refusal> {
        if who.target.as_deref().is_none_or(|t| t == "iqn.t") { Ok(7) } else { Err(Refusal::NOT_FOUND) }
    }
}

fn terms(wishes: Wishes) -> Rc<TargetTerms> {
    Rc::new(TargetTerms {
        wishes,
        window: 4,
        longest: 1 << 20,
        names: vec!["iqn.t".into()],
        address: "127.0.0.1:3260".into(),
    })
}

struct Pair {
    target: TargetConn,
    initiator: InitiatorConn,
    piece: usize,
}

impl Pair {
    fn new(target: Wishes, initiator: Wishes, piece: usize) -> Self {
        let mut pair = Pair {
            target: TargetConn::new(terms(target)),
            initiator: InitiatorConn::new("iqn.i", Some("iqn.t"), [0; 6], &initiator),
            piece,
        };
        pair.run();
        assert_eq!(pair.initiator.came(), Some(initiator::Came::LoggedIn));
        assert!(matches!(pair.target.came(), Some(target::Came::LoggedIn(_))));
        pair
    }

    /// Carries bytes both ways until both are quiet.
    fn run(&mut self) {
        loop {
            let up: Vec<u8> = self.initiator.out().waiting().iter().take(self.piece).copied().collect();
            self.initiator.out().wrote(up.len());
            self.target.receive(&up, &mut Open).expect("a sound initiator");
            let down: Vec<u8> = self.target.out().waiting().iter().take(self.piece).copied().collect();
            self.target.out().wrote(down.len());
            self.initiator.receive(&down).expect("a sound target");
            if up.is_empty() && down.is_empty() {
                return;
            }
        }
    }

    fn command(&mut self) -> (u32, [u8; 16], Vec<u8>) {
        match self.target.came() {
            Some(target::Came::Command { task, cdb, data, .. }) => (task, cdb, data),
            other => panic!("expected a command, came {other:?}"),
        }
    }
}

fn small() -> Wishes {
    Wishes { max_recv: 1024, max_burst: 4096, first_burst: 2048, ..Wishes::default() }
}

#[test]
fn a_long_write_goes_over_in_bursts_and_a_long_read_comes_back_whole() {
    for digests in [Digests::default(), Digests { header: true, data: true }] {
        let wishes = Wishes { digests, ..small() };
        let mut pair = Pair::new(wishes, wishes, 613);
        let bytes: Vec<u8> = (0..40_001u32).map(|i| (i * 7) as u8).collect();
        assert!(pair.initiator.command(1, 3, &scsi::rw16(true, 9, 80, 5), 0, bytes.clone().into()));
        pair.run();
        let (task, cdb, data) = pair.command();
        assert_eq!(scsi::read_cdb(&cdb), Ok(Command::Write { lba: 9, blocks: 80, group: 5 }));
        assert!(data == bytes);
        pair.target.good(task, &[]);
        assert!(pair.initiator.command(2, 3, &scsi::rw16(false, 9, 80, 5), bytes.len(), vec![].into()));
        pair.run();
        let (task, ..) = pair.command();
        pair.target.good(task, &bytes);
        pair.run();
        for (tag, data) in [(1, vec![]), (2, bytes)] {
            let sense = None;
            let answer = initiator::Came::Answer { tag, status: status::GOOD, sense, data, come_back: 0 };
            assert!(pair.initiator.came() == Some(answer));
        }
    }
}

#[test]
fn a_busy_answer_names_the_time_to_come_back_and_a_failure_its_sense() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    for tag in 0..2 {
        pair.initiator.command(tag, 0, &scsi::rw16(false, 0, 1, 0), 512, vec![].into());
    }
    pair.run();
    let (a, ..) = pair.command();
    let (b, ..) = pair.command();
    pair.target.other(b, status::BUSY, None, 12);
    pair.target.other(a, status::CHECK_CONDITION, Some(Sense::UNKNOWN_OUTCOME), 0);
    pair.run();
    let answer = |tag, status, sense, come_back| {
        Some(initiator::Came::Answer { tag, status, sense, data: vec![], come_back })
    };
    assert_eq!(pair.initiator.came(), answer(1, status::BUSY, None, 12));
    let unknown = Some(Sense::UNKNOWN_OUTCOME);
    assert_eq!(pair.initiator.came(), answer(0, status::CHECK_CONDITION, unknown, 0));
}

#[test]
fn an_aborted_command_is_never_answered_and_its_end_is_told_once() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    pair.initiator.command(5, 0, &scsi::rw16(true, 0, 1, 0), 0, vec![1; 512].into());
    pair.run();
    let (task, ..) = pair.command();
    pair.initiator.abort(5);
    pair.initiator.abort(5);
    pair.run();
    assert_eq!(pair.target.came(), Some(target::Came::Aborted { task }));
    pair.target.good(task, &[]);
    pair.run();
    assert_eq!(pair.initiator.came(), Some(initiator::Came::Gone { tag: 5 }));
    assert_eq!((pair.initiator.came(), pair.initiator.in_hand(), pair.target.in_hand()), (None, 0, 0));
}

#[test]
fn an_answer_that_crosses_an_abort_is_not_told() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    pair.initiator.command(5, 0, &scsi::rw16(false, 0, 1, 0), 512, vec![].into());
    pair.run();
    let (task, ..) = pair.command();
    pair.target.good(task, &[7; 512]);
    pair.initiator.abort(5);
    pair.run();
    assert_eq!(pair.initiator.came(), Some(initiator::Came::Gone { tag: 5 }));
    assert_eq!(pair.initiator.came(), None);
}

#[test]
fn the_command_window_closes_when_full_and_opens_again_with_each_answer() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    let send = |pair: &mut Pair, tag| {
        let sent = pair.initiator.command(tag, 0, &scsi::rw16(false, 0, 1, 0), 512, vec![].into());
        pair.run();
        sent
    };
    assert_eq!((0..6).filter(|tag| send(&mut pair, *tag)).count(), 4);
    let (task, ..) = pair.command();
    pair.target.good(task, &[0; 512]);
    pair.run();
    assert!(send(&mut pair, 7) && !send(&mut pair, 8));
}

#[test]
fn a_reset_unit_drops_its_commands_and_no_others() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    for lun in [1, 2] {
        pair.initiator.command(lun, lun, &scsi::rw16(false, 0, 1, 0), 512, vec![].into());
    }
    pair.initiator.reset_lun(1);
    pair.run();
    let (one, ..) = pair.command();
    let (_two, ..) = pair.command();
    assert_eq!(pair.target.came(), Some(target::Came::Aborted { task: one }));
    assert_eq!(pair.target.in_hand(), 1);
}

#[test]
fn a_wrong_target_name_is_refused_and_the_connection_closes() {
    let mut target = TargetConn::new(terms(Wishes::default()));
    let mut initiator = InitiatorConn::new("iqn.i", Some("iqn.other"), [0; 6], &Wishes::default());
    let bytes = initiator.out().waiting().to_vec();
    assert!(target.receive(&bytes, &mut Open).is_err() && target.closing());
    let bytes = target.out().waiting().to_vec();
    let fault = initiator.receive(&bytes).expect_err("a refusal");
    assert!(fault.0.contains("0203"), "{fault}");
}

#[test]
fn a_discovery_session_is_told_the_targets_and_cannot_read() {
    let mut target = TargetConn::new(terms(Wishes::default()));
    let mut initiator = InitiatorConn::new("iqn.i", None, [0; 6], &Wishes::default());
    let carry = |target: &mut TargetConn, initiator: &mut InitiatorConn| {
        for _ in 0..4 {
            let up = initiator.out().waiting().to_vec();
            initiator.out().wrote(up.len());
            target.receive(&up, &mut Open).expect("sound");
            let down = target.out().waiting().to_vec();
            target.out().wrote(down.len());
            initiator.receive(&down).expect("sound");
        }
    };
    carry(&mut target, &mut initiator);
    initiator.came();
    initiator.text(b"SendTargets=All\0");
    initiator.command(1, 0, &scsi::rw16(false, 0, 1, 0), 512, vec![].into());
    carry(&mut target, &mut initiator);
    let listed = b"TargetName=iqn.t\0TargetAddress=127.0.0.1:3260,1\0".to_vec();
    assert_eq!(initiator.came(), Some(initiator::Came::Text(listed)));
    assert!(matches!(initiator.came(), Some(initiator::Came::Rejected { tag: 1, .. })));
}

#[test]
fn a_write_is_known_to_be_off_the_wire_until_its_first_byte_is_written() {
    let mut pair = Pair::new(Wishes::default(), Wishes::default(), 4096);
    pair.initiator.command(1, 0, &scsi::rw16(true, 0, 1, 0), 0, vec![1; 512].into());
    pair.initiator.command(2, 0, &scsi::rw16(true, 1, 1, 0), 0, vec![1; 512].into());
    assert!(!pair.initiator.on_the_wire(1));
    pair.initiator.out().wrote(1);
    assert!(pair.initiator.on_the_wire(1) && !pair.initiator.on_the_wire(2));
}

#[test]
fn a_flipped_bit_is_caught_by_the_digests() {
    let digests = Digests { header: true, data: true };
    let mut out = Outgoing::default();
    out.agree(digests);
    out.push(Bhs::new(op::NOP_OUT, flag::FINAL), &[1, 2, 3, 4, 5]);
    let sound = out.waiting().to_vec();
    for bit in 0..sound.len() * 8 {
        let mut bytes = sound.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut decoder = Decoder::new(1 << 16);
        decoder.agree(digests, 1 << 16);
        let read = decoder.next(&mut &bytes[..]);
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
        assert_eq!(Bhs::new(op::SCSI_COMMAND, 0).with_lun(lun).lun(), Some(lun));
    }
    let mut bhs = Bhs::new(op::SCSI_COMMAND, 0);
    bhs.0[8..16].copy_from_slice(&lun_bytes(3));
    bhs.0[13] = 1;
    assert_eq!(bhs.lun(), None);
}

#[test]
fn what_a_unit_says_of_itself_has_the_lengths_it_states() {
    let unit = scsi::Unit { blocks: 1 << 33, block_size: 512, product: "ledger", serial: "water", most: 512 };
    assert_eq!(unit.inquiry(None).expect("standard")[4], 91);
    for page in unit.inquiry(Some(0)).expect("list")[4..].iter() {
        let data = unit.inquiry(Some(*page)).expect("a listed page is kept");
        assert_eq!(usize::from(u16::from_be_bytes([data[2], data[3]])), data.len() - 4, "page {page:#x}");
    }
    assert_eq!(unit.inquiry(Some(0x42)), None);
    assert_eq!(unit.capacity10()[..4], [0xff; 4]);
    assert_eq!(unit.capacity16()[..8], ((1u64 << 33) - 1).to_be_bytes());
    let mode = unit.mode(false, 0x3f).expect("all pages");
    assert_eq!(usize::from(mode[0]), mode.len() - 1);
}

#[test]
fn write_protection_and_unmap_read_back_and_cut_ones_do_not() {
    for on in [true, false] {
        let (cdb, data) = scsi::write_protect(on);
        assert_eq!(
            (scsi::read_cdb(&cdb), scsi::read_write_protect(&data)),
            (Ok(Command::ModeSelect), Some(on))
        );
        assert_eq!(scsi::read_write_protect(&data[..15]), None);
    }
    let runs = vec![(1 << 40, 7), (9, u32::MAX)];
    let (cdb, data) = scsi::unmap(&runs);
    assert_eq!((scsi::read_cdb(&cdb), scsi::read_unmap(&data)), (Ok(Command::Unmap), Some(runs)));
    assert_eq!(scsi::read_unmap(&data[..30]), None);
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
            bhs.0[8..16].copy_from_slice(&[0, a[9] % 3, 0, 0, 0, 0, 0, 0]);
            bhs.0[16..48].copy_from_slice(b);
            let bhs = bhs.with_itt(u32::from(b[0] % 4)).with_sn(sn);
            let mut out = Outgoing::default();
            out.push(bhs, &vec![0x55; *len]);
            if pair.target.receive(out.waiting(), &mut Open).is_err() {
                break;
            }
            sn = sn.wrapping_add(u32::from(opcode & 0x40 == 0));
        }
        while let Some(came) = pair.target.came() {
            if let target::Came::Command { task, .. } = came {
                pair.target.other(task, status::BUSY, None, 1);
            }
        }
        prop_assert!(pair.target.in_hand() <= 12 && pair.target.held() < 1 << 20);
    }

    /// Raw noise in place of a login ends in a fault or waits for more; it is never let in.
    #[test]
    fn noise_is_never_let_in(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut target = TargetConn::new(terms(Wishes::default()));
        let _ = target.receive(&bytes, &mut Open);
        prop_assert!(!target.logged_in());
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
        pair.initiator.command(1, 0, &scsi::rw16(true, 0, 9, 0), 0, vec![3; 4600].into());
        let itt = u32::from_be_bytes(pair.initiator.out().waiting()[16..20].try_into().expect("four"));
        let mut bhs = Bhs::new(opcode, body[0]);
        bhs.0[16..48].copy_from_slice(&body);
        bhs.0[36..48].copy_from_slice(&rest);
        let bhs = if own { bhs.with_itt(itt) } else { bhs };
        let mut out = Outgoing::default();
        out.push(bhs.with_sn(2), &data);
        let _ = pair.initiator.receive(out.waiting());
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
        bhs.0[16..].copy_from_slice(&head);
        let mut out = Outgoing::default();
        out.agree(digests);
        out.push(bhs, &data);
        out.push(bhs, &[]);
        let mut decoder = Decoder::new(4096);
        decoder.agree(digests, 4096);
        let (mut found, bytes) = (Vec::new(), out.waiting());
        let mut at = 0;
        for piece in pieces.iter().cycle() {
            let end = (at + piece).min(bytes.len());
            let mut input = &bytes[at..end];
            while !input.is_empty() {
                found.extend(decoder.next(&mut input).expect("sound"));
            }
            at = end;
            if at == bytes.len() { break }
        }
        prop_assert_eq!(found.len(), 2);
        prop_assert!(found[0].data == data && found[1].data.is_empty());
        prop_assert_eq!(&found[0].bhs.0[16..], &bhs.0[16..]);
    }

    #[test]
    fn reads_and_writes_read_back(lba in any::<u64>(), blocks in any::<u32>(), group in 0u8..32, write: bool) {
        let command = scsi::read_cdb(&scsi::rw16(write, lba, blocks, group)).expect("sound");
        prop_assert_eq!(command, if write {
            Command::Write { lba, blocks, group }
        } else {
            Command::Read { lba, blocks, group }
        });
    }
}
