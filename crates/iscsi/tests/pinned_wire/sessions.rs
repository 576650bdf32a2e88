//! Random sessions between an initiator and a target.
use crate::SEEDS;
use crate::harness::{AdmitKnownTarget, Record, Rng, config};
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::initiator::{InitiatorConnection, Payload};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{self, Sense, status};
use mallowseam_iscsi::target::{TargetConnection, TargetEvent};
use std::num::NonZeroU16;

fn random_proposal(rng: &mut Rng) -> ProposedParams {
    ProposedParams {
        digests: Digests {
            header: rng.chance(50),
            data: rng.chance(50),
        },
        max_recv_data_segment: 512 + rng.below(3000),
        max_burst_len: 2048 + rng.below(6000),
        first_burst_len: 512 + rng.below(3000),
    }
}

/// Session between an initiator and a target over streams that deliver bytes in pieces of random size.
struct Session {
    rng: Rng,
    record: Record,
    target: TargetConnection,
    initiator: InitiatorConnection,
    /// Commands that the target has not completed: task, and number of bytes that the initiator expects.
    pending: Vec<(u32, usize)>,
    next_tag: u32,
    /// Whether either side has reported an error.
    has_ended: bool,
}

impl Session {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let (target_proposal, initiator_proposal) =
            (random_proposal(&mut rng), random_proposal(&mut rng));
        let window = 1 + rng.below(6) as u32;
        let name = if rng.chance(90) { Some("iqn.t") } else { None };
        Session {
            target: TargetConnection::new(config(target_proposal, window)),
            initiator: InitiatorConnection::new(
                "iqn.i",
                name,
                [1, 2, 3, 4, 5, seed as u8],
                &initiator_proposal,
            ),
            rng,
            record: Record::new(),
            pending: Vec::new(),
            next_tag: 0,
            has_ended: false,
        }
    }

    /// Returns a random number of bytes from the front of `waiting`.
    fn next_piece(&mut self, waiting: &[u8]) -> Vec<u8> {
        let max_len = [1, 7, 48, 600, 5000][self.rng.below(5)];
        waiting[..waiting.len().min(1 + self.rng.below(max_len))].to_vec()
    }

    /// Transfers one piece in each direction; returns whether there was anything to transfer.
    fn exchange(&mut self) -> bool {
        let waiting = self.initiator.send_buffer().unsent().to_vec();
        let up = self.next_piece(&waiting);
        self.initiator.send_buffer().mark_sent(up.len());
        self.record.bytes(b'>', &up);
        if let Err(error) = self.target.receive(&up, &mut AdmitKnownTarget) {
            self.record.bytes(b'!', error.to_string().as_bytes());
            self.has_ended = true;
        }
        let waiting = self.target.send_buffer().unsent().to_vec();
        let down = self.next_piece(&waiting);
        self.target.send_buffer().mark_sent(down.len());
        self.record.bytes(b'<', &down);
        if let Err(error) = self.initiator.receive(&down) {
            self.record.bytes(b'?', error.to_string().as_bytes());
            self.has_ended = true;
        }
        self.record_events();
        self.record_state();
        !up.is_empty() || !down.is_empty()
    }

    fn record_events(&mut self) {
        while let Some(event) = self.target.next_event() {
            self.record.target_event(&event);
            match event {
                TargetEvent::Command { task, read_len, .. } => self.pending.push((task, read_len)),
                TargetEvent::CommandAborted { task } => {
                    self.pending.retain(|pending| pending.0 != task);
                }
                _ => {}
            }
        }
        while let Some(event) = self.initiator.next_event() {
            self.record.initiator_event(&event);
        }
    }

    fn record_state(&mut self) {
        let flags = [
            self.target.is_logged_in(),
            self.target.is_closing(),
            self.target.has_partial_request(),
            self.initiator.is_logged_in(),
            self.initiator.can_send(),
        ];
        self.record.bytes(b'f', &flags.map(u8::from));
        self.record.number(b'f', u64::from(self.target.in_flight()));
        self.record.number(b'f', self.initiator.in_flight() as u64);
        self.record
            .number(b'f', self.initiator.unmatched_responses());
        let tags: Vec<u8> = self
            .initiator
            .in_flight_tags()
            .map(|tag| tag as u8)
            .collect();
        self.record.bytes(b'f', &tags);
        for buffer in [self.target.send_buffer(), self.initiator.send_buffer()] {
            self.record.number(b'p', buffer.sent_bytes());
            self.record.number(b'p', buffer.end_offset());
        }
    }

    /// Transfers pieces until neither side has unsent bytes.
    fn exchange_all(&mut self) {
        for _ in 0..100_000 {
            if self.has_ended || !self.exchange() {
                return;
            }
        }
        panic!("the streams still carry bytes after 100000 exchanges");
    }

    fn send_command(&mut self, cdb: &[u8; 16], read_len: usize, data: Vec<u8>) {
        let lun = [0, 1, 255, 256, 16_383, 70_000][self.rng.below(6)];
        self.next_tag += 1;
        let payload = Payload::from(data);
        let sent = self
            .initiator
            .send_command(self.next_tag, lun, cdb, read_len, payload);
        self.record.number(
            b'S',
            u64::from(sent) << 1 | u64::from(self.initiator.has_started_sending(self.next_tag)),
        );
    }

    fn send_random_command(&mut self) {
        let lba = self.rng.next() >> 20;
        match self.rng.below(6) {
            0 | 1 => {
                let read_len = self.rng.below(9000);
                self.send_command(
                    &scsi::read_or_write_16(false, lba, read_len as u32 / 512, 3),
                    read_len,
                    vec![],
                );
            }
            2 | 3 => {
                let len = self.rng.below(12_000);
                let data = self.rng.bytes(len);
                self.send_command(
                    &scsi::read_or_write_16(true, lba, len as u32 / 512, 40),
                    0,
                    data,
                );
            }
            4 => {
                let (cdb, data) = scsi::unmap(&[(lba, 8), (lba + 9, 1)]);
                self.send_command(&cdb, 0, data);
            }
            _ => {
                let on = self.rng.chance(50);
                let (cdb, data) = scsi::mode_select_write_protect(on);
                self.send_command(&cdb, 0, data);
            }
        }
    }

    /// Completes a random pending command at the target, if there is one.
    fn complete_one(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.rng.below(self.pending.len());
        let (task, read_len) = self.pending.swap_remove(index);
        match self.rng.below(8) {
            0 => self.target.complete_with_status(
                task,
                status::BUSY,
                None,
                NonZeroU16::new(self.rng.next() as u16),
            ),
            1 => self.target.complete_with_status(
                task,
                status::TASK_SET_FULL,
                None,
                NonZeroU16::new(12),
            ),
            2 => self.target.complete_with_status(
                task,
                status::CHECK_CONDITION,
                Some(Sense::COMMUNICATION_TIMEOUT),
                None,
            ),
            3 => {
                let data = vec![0x5a; read_len / 2];
                self.target.complete(task, &data);
            }
            4 => {
                let data = vec![0xa5; read_len + 40];
                self.target.complete(task, &data);
            }
            _ => {
                let data = self.rng.bytes(read_len);
                self.target.complete(task, &data);
            }
        }
    }

    fn abort_one(&mut self) {
        let tags: Vec<u32> = self.initiator.in_flight_tags().collect();
        if !tags.is_empty() {
            let index = self.rng.below(tags.len());
            self.initiator.abort_task(tags[index]);
        }
    }

    fn random_step(&mut self) {
        match self.rng.below(20) {
            0..6 => self.send_random_command(),
            6..10 => self.complete_one(),
            10 => self.abort_one(),
            11 if self.rng.chance(30) => self.initiator.reset_logical_unit(1),
            12 => self
                .initiator
                .send_text_request(b"SendTargets=All\0Other=1\0"),
            13 => {
                let unanswered = self.target.send_ping();
                self.record.number(b'P', u64::from(unanswered));
            }
            14 if self.rng.chance(30) => self.target.request_logout(9),
            _ => {
                self.exchange();
            }
        }
    }

    fn run(mut self) -> u64 {
        self.exchange_all();
        for _ in 0..120 {
            if self.has_ended {
                break;
            }
            self.random_step();
        }
        if !self.has_ended {
            self.exchange_all();
            while !self.pending.is_empty() && !self.has_ended {
                self.complete_one();
                self.exchange_all();
            }
            self.initiator.send_logout_request();
            self.exchange_all();
        }
        self.record.value()
    }
}

#[test]
fn sessions_proceed_as_recorded() {
    let digests: Vec<u64> = (0..SEEDS).map(|seed| Session::new(seed).run()).collect();
    assert_eq!(digests, SESSIONS, "{digests:#018x?}");
}

const SESSIONS: [u64; SEEDS as usize] = [
    0xd93a_5a06_dfe4_e260,
    0x6d34_62f7_834f_efed,
    0x25e7_00a5_2199_05d2,
    0x127f_ae10_f319_9efa,
    0x6837_563e_68e4_2e29,
    0x95a6_deac_b27f_8364,
    0x3ea4_f712_f453_955c,
    0xde45_370a_9ec5_988e,
    0x9bc5_bd9a_f82b_53ba,
    0x0c9e_5463_e5ae_f33c,
    0xeadf_9a0f_906d_b644,
    0xb2fe_5d61_5328_f931,
    0xfcc2_783c_4c84_7224,
    0x244c_6c71_e807_e2fc,
    0xbf89_44d5_a627_1566,
    0x31d8_516b_49f2_0869,
    0xeb4d_09f9_8907_519c,
    0x5316_13ed_e8ab_187a,
    0x64e5_9e03_750d_36e6,
    0xde89_8819_c7e1_7e42,
];
