//! Pins every byte that goes over the wire and every event that comes out, against values recorded once.
//!
//! The sessions are drawn from seeds. A failure here means that the protocol's behaviour changed; the values
//! are not to be recorded anew for a change that only moves or renames code.
use mallowseam_iscsi::frame::{Digests, PduDecoder, SendBuffer};
use mallowseam_iscsi::initiator::{self, InitiatorConnection, Payload};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, Pdu, RESERVED_TAG, flag, opcode, task_response};
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, ModeSenseForm, Sense, status};
use mallowseam_iscsi::target::{self, TargetConfig, TargetConnection};
use std::rc::Rc;

const SEEDS: u64 = 20;

/// Admits every initiator to the target `iqn.t`; each session gets the handle 7.
struct AdmitKnownTarget;

impl LoginPolicy for AdmitKnownTarget {
    fn admit(&mut self, who: &LoginIdentity) -> Result<u16, LoginStatus> {
        if who.target.as_deref().is_none_or(|name| name == "iqn.t") {
            Ok(7)
        } else {
            Err(LoginStatus::NOT_FOUND)
        }
    }
}

/// SplitMix64.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    fn bytes(&mut self, len: usize) -> Vec<u8> {
        (0..len).map(|_| self.next() as u8).collect()
    }
}

/// FNV-1a over everything that is recorded, each piece behind its tag and length.
struct Record(u64);

impl Record {
    fn new() -> Self {
        Record(0xcbf2_9ce4_8422_2325)
    }

    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn bytes(&mut self, tag: u8, bytes: &[u8]) {
        self.raw(&[tag]);
        self.raw(&(bytes.len() as u64).to_le_bytes());
        self.raw(bytes);
    }

    fn number(&mut self, tag: u8, value: u64) {
        self.bytes(tag, &value.to_le_bytes());
    }

    fn sense(&mut self, sense: Option<Sense>) {
        self.bytes(b's', &sense.map_or(vec![], |sense| sense.to_fixed_format().to_vec()));
    }

    fn who(&mut self, who: &LoginIdentity) {
        self.bytes(b'w', who.initiator.as_bytes());
        self.bytes(b'w', who.target.as_deref().unwrap_or("-").as_bytes());
        self.bytes(b'w', &who.isid);
        self.number(b'w', u64::from(who.tsih) << 1 | u64::from(who.discovery));
    }

    fn target_event(&mut self, event: &target::TargetEvent) {
        match event {
            target::TargetEvent::LoggedIn(who) => self.who(who),
            target::TargetEvent::Command { task, lun, cdb, read_len: room, data } => {
                self.number(b'c', u64::from(*task));
                self.number(b'c', lun.map_or(u64::MAX, u64::from));
                self.bytes(b'c', cdb);
                self.number(b'c', *room as u64);
                self.bytes(b'c', data);
            }
            target::TargetEvent::CommandAborted { task } => self.number(b'a', u64::from(*task)),
            target::TargetEvent::Logout => self.number(b'l', 0),
            target::TargetEvent::NopOut => self.number(b'n', 0),
        }
    }

    fn initiator_event(&mut self, event: &initiator::InitiatorEvent) {
        match event {
            initiator::InitiatorEvent::LoggedIn => self.number(b'I', 0),
            initiator::InitiatorEvent::CommandCompleted { tag, status, sense, data, retry_after } => {
                self.number(b'R', u64::from(*tag));
                self.number(b'R', u64::from(*status) << 16 | u64::from(*retry_after));
                self.sense(*sense);
                self.bytes(b'R', data);
            }
            initiator::InitiatorEvent::CommandRejected { tag, reason } => {
                self.number(b'J', u64::from(*tag) << 8 | u64::from(*reason));
            }
            initiator::InitiatorEvent::CommandAborted { tag } => self.number(b'G', u64::from(*tag)),
            initiator::InitiatorEvent::LogoutRequested => self.number(b'O', 0),
            initiator::InitiatorEvent::LoggedOut => self.number(b'L', 0),
            initiator::InitiatorEvent::TextResponse(data) => self.bytes(b'T', data),
        }
    }
}

fn config(wishes: ProposedParams, window: u32) -> Rc<TargetConfig> {
    Rc::new(TargetConfig {
        proposal: wishes,
        command_window: window,
        max_transfer_bytes: 1 << 16,
        target_names: vec!["iqn.t".into(), "iqn.u".into()],
        portal_address: "127.0.0.1:3260".into(),
    })
}

fn drawn_wishes(rng: &mut Rng) -> ProposedParams {
    ProposedParams {
        digests: Digests { header: rng.chance(50), data: rng.chance(50) },
        max_recv_data_segment: 512 + rng.below(3000),
        max_burst_len: 2048 + rng.below(6000),
        first_burst_len: 512 + rng.below(3000),
    }
}

/// An initiator and a target that talk through streams which cut their bytes at drawn places.
struct Session {
    rng: Rng,
    record: Record,
    target: TargetConnection,
    initiator: InitiatorConnection,
    /// Commands the target has not answered: its task, and the bytes the initiator expects.
    pending: Vec<(u32, usize)>,
    next_tag: u32,
    over: bool,
}

impl Session {
    fn new(seed: u64) -> Self {
        let mut rng = Rng(seed);
        let (at_target, at_initiator) = (drawn_wishes(&mut rng), drawn_wishes(&mut rng));
        let window = 1 + rng.below(6) as u32;
        let name = if rng.chance(90) { Some("iqn.t") } else { None };
        Session {
            target: TargetConnection::new(config(at_target, window)),
            initiator: InitiatorConnection::new("iqn.i", name, [1, 2, 3, 4, 5, seed as u8], &at_initiator),
            rng,
            record: Record::new(),
            pending: Vec::new(),
            next_tag: 0,
            over: false,
        }
    }

    fn piece(&mut self, waiting: &[u8]) -> Vec<u8> {
        let most = [1, 7, 48, 600, 5000][self.rng.below(5)];
        waiting[..waiting.len().min(1 + self.rng.below(most))].to_vec()
    }

    /// One piece each way.
    fn carry(&mut self) -> bool {
        let waiting = self.initiator.send_buffer().unsent().to_vec();
        let up = self.piece(&waiting);
        self.initiator.send_buffer().mark_sent(up.len());
        self.record.bytes(b'>', &up);
        if let Err(fault) = self.target.receive(&up, &mut AdmitKnownTarget) {
            self.record.bytes(b'!', fault.to_string().as_bytes());
            self.over = true;
        }
        let waiting = self.target.send_buffer().unsent().to_vec();
        let down = self.piece(&waiting);
        self.target.send_buffer().mark_sent(down.len());
        self.record.bytes(b'<', &down);
        if let Err(fault) = self.initiator.receive(&down) {
            self.record.bytes(b'?', fault.to_string().as_bytes());
            self.over = true;
        }
        self.events();
        self.state();
        !up.is_empty() || !down.is_empty()
    }

    fn events(&mut self) {
        while let Some(event) = self.target.next_event() {
            self.record.target_event(&event);
            match event {
                target::TargetEvent::Command { task, read_len: room, .. } => self.pending.push((task, room)),
                target::TargetEvent::CommandAborted { task } => {
                    self.pending.retain(|pending| pending.0 != task)
                }
                _ => {}
            }
        }
        while let Some(event) = self.initiator.next_event() {
            self.record.initiator_event(&event);
        }
    }

    fn state(&mut self) {
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
        self.record.number(b'f', self.initiator.unmatched_responses());
        let tags: Vec<u8> = self.initiator.in_flight_tags().map(|tag| tag as u8).collect();
        self.record.bytes(b'f', &tags);
        for buffer in [self.target.send_buffer(), self.initiator.send_buffer()] {
            self.record.number(b'p', buffer.sent_bytes());
            self.record.number(b'p', buffer.end_offset());
        }
    }

    fn drain(&mut self) {
        for _ in 0..100_000 {
            if self.over || !self.carry() {
                return;
            }
        }
        panic!("the streams never fell silent");
    }

    fn send(&mut self, cdb: &[u8; 16], room: usize, data: Vec<u8>) {
        let lun = [0, 1, 255, 256, 16_383, 70_000][self.rng.below(6)];
        self.next_tag += 1;
        let payload = Payload::from(data);
        let sent = self.initiator.send_command(self.next_tag, lun, cdb, room, payload);
        self.record.number(
            b'S',
            u64::from(sent) << 1 | u64::from(self.initiator.has_started_sending(self.next_tag)),
        );
    }

    fn draw_command(&mut self) {
        let lba = self.rng.next() >> 20;
        match self.rng.below(6) {
            0 | 1 => {
                let room = self.rng.below(9000);
                self.send(&scsi::read_or_write_16(false, lba, room as u32 / 512, 3), room, vec![]);
            }
            2 | 3 => {
                let len = self.rng.below(12_000);
                let data = self.rng.bytes(len);
                self.send(&scsi::read_or_write_16(true, lba, len as u32 / 512, 40), 0, data);
            }
            4 => {
                let (cdb, data) = scsi::unmap(&[(lba, 8), (lba + 9, 1)]);
                self.send(&cdb, 0, data);
            }
            _ => {
                let on = self.rng.chance(50);
                let (cdb, data) = scsi::mode_select_write_protect(on);
                self.send(&cdb, 0, data);
            }
        }
    }

    fn answer(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.rng.below(self.pending.len());
        let (task, room) = self.pending.swap_remove(index);
        match self.rng.below(8) {
            0 => self.target.complete_with_status(task, status::BUSY, None, self.rng.next() as u16),
            1 => self.target.complete_with_status(task, status::TASK_SET_FULL, None, 12),
            2 => self.target.complete_with_status(
                task,
                status::CHECK_CONDITION,
                Some(Sense::COMMUNICATION_TIMEOUT),
                0,
            ),
            3 => {
                let data = vec![0x5a; room / 2];
                self.target.complete(task, &data);
            }
            4 => {
                let data = vec![0xa5; room + 40];
                self.target.complete(task, &data);
            }
            _ => {
                let data = self.rng.bytes(room);
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

    fn act(&mut self) {
        match self.rng.below(20) {
            0..6 => self.draw_command(),
            6..10 => self.answer(),
            10 => self.abort_one(),
            11 if self.rng.chance(30) => self.initiator.reset_logical_unit(1),
            12 => self.initiator.send_text_request(b"SendTargets=All\0Other=1\0"),
            13 => {
                let unanswered = self.target.send_ping();
                self.record.number(b'P', u64::from(unanswered));
            }
            14 if self.rng.chance(30) => self.target.request_logout(9),
            _ => {
                self.carry();
            }
        }
    }

    fn run(mut self) -> u64 {
        self.drain();
        for _ in 0..120 {
            if self.over {
                break;
            }
            self.act();
        }
        if !self.over {
            self.drain();
            while !self.pending.is_empty() && !self.over {
                self.answer();
                self.drain();
            }
            self.initiator.send_logout_request();
            self.drain();
        }
        self.record.0
    }
}

#[test]
fn sessions_of_both_sides() {
    let found: Vec<u64> = (0..SEEDS).map(|seed| Session::new(seed).run()).collect();
    assert_eq!(found, SESSIONS, "{found:#018x?}");
}

/// A pair that is logged in, with all events and bytes taken.
fn logged_in(wishes: ProposedParams) -> (TargetConnection, InitiatorConnection) {
    let mut target = TargetConnection::new(config(wishes, 4));
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &wishes);
    let request = initiator.send_buffer().unsent().to_vec();
    initiator.send_buffer().mark_sent(request.len());
    target.receive(&request, &mut AdmitKnownTarget).expect("login request");
    let response = target.send_buffer().unsent().to_vec();
    target.send_buffer().mark_sent(response.len());
    initiator.receive(&response).expect("login response");
    while target.next_event().is_some() {}
    while initiator.next_event().is_some() {}
    (target, initiator)
}

fn small() -> ProposedParams {
    ProposedParams {
        max_recv_data_segment: 1024,
        max_burst_len: 4096,
        first_burst_len: 2048,
        ..ProposedParams::default()
    }
}

fn frame(bhs: Bhs, data: &[u8]) -> Vec<u8> {
    let mut out = SendBuffer::default();
    out.push(bhs, data);
    out.unsent().to_vec()
}

/// A PDU with drawn fields, near enough to sense that most paths are taken.
fn drawn_pdu(rng: &mut Rng, opcode: u8, serial: u32) -> Vec<u8> {
    let flags = [0x80, 0x81, 0xa0, 0xc0, 0x20, 0x00, 0x82, 0x85, 0x86, 0x83][rng.below(10)];
    let len = [0, 0, 4, 512, 700, 1024, 1025][rng.below(7)];
    let tag = |rng: &mut Rng| [0, 1, 2, 3, 0x1_0000, 0x1_0001, 0x2_0000, RESERVED_TAG][rng.below(8)];
    let (itt, tag_or_len) = (tag(rng), [tag(rng), 0, 512, 9000, 80_000][rng.below(5)]);
    let immediate = if rng.chance(30) { 0x40 } else { 0 };
    let mut bhs = Bhs::new(opcode | immediate, flags)
        .with_lun(rng.below(3) as u32)
        .with_itt(itt)
        .with_target_transfer_tag(tag_or_len)
        .with_cmd_sn(serial)
        .with_exp_stat_sn(rng.next() as u32 & 7)
        .with_max_cmd_sn(rng.next() as u32 & 15)
        .with_data_sn(rng.next() as u32 & 1)
        .with_buffer_offset([0, 512, 1024, 700][rng.below(4)])
        .with_desired_data_len([0, 512, 1024, 4096][rng.below(4)]);
    bhs.bytes_mut()[2] = rng.below(2) as u8;
    bhs.bytes_mut()[3] = [0, 2, 8, 0x28][rng.below(4)];
    frame(bhs, &rng.bytes(len))
}

fn drawn_to_target(seed: u64) -> u64 {
    let (mut rng, mut record) = (Rng(seed ^ 0x7a), Record::new());
    for _ in 0..60 {
        let (mut target, _) = logged_in(small());
        let mut serial = 1;
        for _ in 0..8 {
            let opcode =
                [0x00, 0x01, 0x01, 0x02, 0x04, 0x05, 0x05, 0x06, 0x10, 0x03, 0x1c, 0x25][rng.below(12)];
            let skew = if rng.chance(5) { rng.below(12) as u32 } else { 0 };
            let bytes = drawn_pdu(&mut rng, opcode, serial + skew);
            let received = target.receive(&bytes, &mut AdmitKnownTarget);
            serial +=
                u32::from(bytes[0] & 0x40 == 0 && opcode != opcode::DATA_OUT && opcode != opcode::SNACK);
            let text = received.err().map_or(String::new(), |fault| fault.to_string());
            record.bytes(b'!', text.as_bytes());
            while let Some(event) = target.next_event() {
                record.target_event(&event);
            }
            record.number(b'h', u64::from(target.in_flight()));
            if !text.is_empty() {
                break;
            }
        }
        let out = target.send_buffer().unsent().to_vec();
        record.bytes(b'<', &out);
    }
    record.0
}

#[test]
fn drawn_pdus_to_a_target() {
    let found: Vec<u64> = (0..SEEDS).map(drawn_to_target).collect();
    assert_eq!(found, TO_TARGET, "{found:#018x?}");
}

fn drawn_to_initiator(seed: u64) -> u64 {
    let (mut rng, mut record) = (Rng(seed ^ 0x1a5), Record::new());
    for _ in 0..60 {
        let (_, mut initiator) = logged_in(small());
        initiator.send_command(1, 0, &scsi::read_or_write_16(true, 0, 9, 0), 0, vec![3; 9000].into());
        initiator.send_command(2, 0, &scsi::read_or_write_16(false, 0, 9, 0), 1024, vec![].into());
        if rng.chance(30) {
            initiator.abort_task(1 + rng.below(2) as u32);
        }
        let mut serial = 2;
        for _ in 0..8 {
            let opcode =
                [0x20, 0x21, 0x22, 0x24, 0x25, 0x25, 0x26, 0x31, 0x31, 0x32, 0x3f, 0x23][rng.below(12)];
            let skew = u32::from(rng.chance(4));
            let bytes = drawn_pdu(&mut rng, opcode, serial + skew);
            let text = initiator.receive(&bytes).err().map_or(String::new(), |fault| fault.to_string());
            let counts = match opcode {
                opcode::DATA_IN => bytes[1] & 1 != 0,
                opcode::R2T => false,
                opcode::NOP_IN => bytes[16..20] != [0xff; 4],
                _ => true,
            };
            serial += u32::from(counts);
            record.bytes(b'?', text.as_bytes());
            while let Some(event) = initiator.next_event() {
                record.initiator_event(&event);
            }
            record.number(b'h', initiator.in_flight() as u64);
            record.number(b'h', initiator.unmatched_responses());
            if !text.is_empty() {
                break;
            }
        }
        let out = initiator.send_buffer().unsent().to_vec();
        record.bytes(b'>', &out);
    }
    record.0
}

#[test]
fn drawn_pdus_to_an_initiator() {
    let found: Vec<u64> = (0..SEEDS).map(drawn_to_initiator).collect();
    assert_eq!(found, TO_INITIATOR, "{found:#018x?}");
}

/// What a decoder makes of a stream that comes in two pieces: PDUs, and the error's text.
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

const BOTH: Digests = Digests { header: true, data: true };

fn stream(digests: Digests) -> Vec<u8> {
    let mut out = SendBuffer::default();
    out.set_digests(digests);
    out.push(Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE).with_itt(9), &[1, 2, 3, 4, 5]);
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL).with_itt(10), &[]);
    out.push(Bhs::new(opcode::DATA_OUT, flag::FINAL).with_buffer_offset(5), &[6; 8]);
    out.unsent().to_vec()
}

#[test]
fn a_stream_cut_at_every_byte() {
    for (digests, expected) in [(Digests::default(), PLAIN_STREAM), (BOTH, DIGEST_STREAM)] {
        let bytes = stream(digests);
        let mut record = Record::new();
        record.raw(&bytes);
        assert_eq!(record.0, expected, "{:#018x}", record.0);
        let whole = decoded(digests, &bytes, &[]);
        assert_eq!((whole.0.len(), &whole.1), (3, &None));
        for cut in 0..bytes.len() {
            assert_eq!(decoded(digests, &bytes[..cut], &bytes[cut..]), whole, "cut at {cut}");
        }
    }
}

#[test]
fn a_stream_with_every_bit_flipped() {
    let bytes = stream(BOTH);
    let mut record = Record::new();
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        let (pdus, error) = decoded(BOTH, &corrupt, &[]);
        record.number(b'n', pdus.len() as u64);
        record.bytes(b'!', error.unwrap_or_default().as_bytes());
    }
    assert_eq!(record.0, FLIPPED, "{:#018x}", record.0);
}

#[test]
fn a_corrupt_digest_at_both_sides() {
    let wishes = ProposedParams { digests: BOTH, ..small() };
    let mut record = Record::new();
    for bit in 0..8 * (52 + 16 + 4) {
        let (mut target, mut initiator) = logged_in(wishes);
        initiator.send_command(1, 0, &scsi::read_or_write_16(true, 0, 1, 0), 0, vec![7; 16].into());
        let mut up = initiator.send_buffer().unsent().to_vec();
        up[bit / 8] ^= 1 << (bit % 8);
        let received = target.receive(&up, &mut AdmitKnownTarget);
        record.bytes(b'!', received.err().map_or(String::new(), |fault| fault.to_string()).as_bytes());
        let mut down = target.send_buffer().unsent().to_vec();
        record.bytes(b'<', &down);
        if let Some(byte) = down.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
        let received = initiator.receive(&down);
        record.bytes(b'?', received.err().map_or(String::new(), |fault| fault.to_string()).as_bytes());
    }
    assert_eq!(record.0, CORRUPT_DIGESTS, "{:#018x}", record.0);
}

#[test]
fn the_write_buffer_is_given_back_once_empty() {
    let mut out = SendBuffer::default();
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[0; 16_384]);
    assert!(out.allocated_bytes() >= 16_432);
    out.mark_sent(16_385);
    assert_eq!((out.unsent().len(), out.sent_bytes(), out.end_offset()), (47, 16_385, 16_432));
    out.mark_sent(47);
    assert_eq!(out.allocated_bytes(), 0);
    out.push(Bhs::new(opcode::NOP_OUT, flag::FINAL), &[0; 8]);
    out.mark_sent(56);
    assert!(out.allocated_bytes() > 0);
}

/// A login request with the text `keys`; `/` stands for the NUL between pairs.
fn login_request(flags: u8, keys: &str) -> Request {
    let data: Vec<u8> = keys.bytes().map(|byte| if byte == b'/' { 0 } else { byte }).collect();
    Request(
        Bhs::new(opcode::LOGIN_REQUEST, flags).with_immediate().with_isid([9; 6]).with_itt(3).with_cmd_sn(5),
        data,
    )
}

/// A header and its data.
struct Request(Bhs, Vec<u8>);

/// The target's answer to login requests: `status flags keys`, then the fault's text where there is one.
fn login_answers(requests: &[Request]) -> String {
    let wishes = ProposedParams { digests: Digests { header: false, data: true }, ..small() };
    let mut target = TargetConnection::new(config(wishes, 4));
    let mut said = Vec::new();
    for Request(bhs, data) in requests {
        let received = target.receive(&frame(*bhs, data), &mut AdmitKnownTarget);
        let waiting = target.send_buffer().unsent().to_vec();
        target.send_buffer().mark_sent(waiting.len());
        let mut decoder = PduDecoder::new(1 << 16);
        if let Ok(Some(pdu)) = decoder.decode(&mut &waiting[..]) {
            let keys = String::from_utf8_lossy(&pdu.data).replace('\0', "/");
            let (class, detail) = (pdu.bhs.byte(36), pdu.bhs.byte(37));
            said.push(format!("{class:02x}{detail:02x} {:02x} {keys}", pdu.bhs.flags()));
        }
        if let Err(fault) = received {
            said.push(fault.to_string());
            break;
        }
    }
    said.join(" | ")
}

const NAMES: &str = "InitiatorName=iqn.i/TargetName=iqn.t/";

#[test]
fn every_login_key_and_its_answer() {
    for (key, expected) in LOGIN_KEYS {
        let found = login_answers(&[login_request(0x87, &format!("{NAMES}{key}/"))]);
        assert_eq!(found, *expected, "{key}");
    }
}

#[test]
fn login_stages_and_refusals() {
    let mut version = login_request(0x87, NAMES);
    version.0 = version.0.with_byte(3, 1);
    let (long_key, long_value) = ("k".repeat(64), "v".repeat(256));
    let many: String = (0..65).map(|n| format!("k{n}=v/")).collect();
    let chunk = "x".repeat(8100);
    let cases: Vec<Vec<Request>> = vec![
        vec![version],
        vec![login_request(0xc7, NAMES)],
        vec![login_request(0x0c, NAMES)],
        vec![login_request(0x86, NAMES)],
        vec![login_request(0x84, NAMES)],
        vec![login_request(0x87, "TargetName=iqn.t/")],
        vec![login_request(0x87, "InitiatorName=/TargetName=iqn.t/")],
        vec![login_request(0x87, "InitiatorName=iqn.i/")],
        vec![login_request(0x87, "InitiatorName=iqn.i/SessionType=Discovery/")],
        vec![login_request(0x87, "InitiatorName=iqn.i/TargetName=iqn.x/")],
        vec![login_request(0x87, &format!("{NAMES}no pair/"))],
        vec![login_request(0x87, &format!("{NAMES}b d=1/"))],
        vec![login_request(0x87, &format!("{NAMES}=1/"))],
        vec![login_request(0x87, &format!("{NAMES}{long_key}=1/"))],
        vec![login_request(0x87, &format!("{NAMES}k={long_value}/"))],
        vec![login_request(0x87, &format!("{NAMES}TargetName=iqn.t/"))],
        vec![login_request(0x87, &many)],
        vec![
            login_request(0x81, &format!("{NAMES}AuthMethod=CHAP,None/")),
            login_request(0x87, "DataDigest=None/"),
        ],
        vec![login_request(0x81, &format!("{NAMES}AuthMethod=CHAP/"))],
        vec![login_request(0x04, NAMES), login_request(0x04, "ImmediateData=No/"), login_request(0x87, "")],
        vec![login_request(0x04, NAMES), login_request(0x00, "ImmediateData=No/")],
        vec![login_request(0x44, "InitiatorName=iqn.i/Tar"), login_request(0x87, "getName=iqn.t/")],
        vec![login_request(0x44, &chunk), login_request(0x44, &chunk), login_request(0x44, &chunk)],
        vec![Request(Bhs::new(opcode::NOP_OUT, 0x80), vec![])],
        vec![Request(Bhs::new(opcode::LOGIN_REQUEST, 0x87), vec![0xff, 0xfe, b'=', b'1', 0])],
        vec![Request(Bhs::new(opcode::LOGIN_REQUEST, 0x87), vec![b'x'; 8193])],
    ];
    let found: Vec<String> = cases.iter().map(|requests| login_answers(requests)).collect();
    assert_eq!(found, LOGIN_STAGES);
}

/// What an initiator makes of one login response.
fn initiator_login(bhs: Bhs, keys: &str) -> String {
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &small());
    let request = initiator.send_buffer().unsent().len();
    initiator.send_buffer().mark_sent(request);
    let data: Vec<u8> = keys.bytes().map(|byte| if byte == b'/' { 0 } else { byte }).collect();
    match initiator.receive(&frame(bhs, &data)) {
        Err(fault) => fault.to_string(),
        Ok(()) => format!("{} {}", initiator.is_logged_in(), initiator.send_buffer().unsent().len()),
    }
}

#[test]
fn login_responses_at_an_initiator() {
    let last = Bhs::new(opcode::LOGIN_RESPONSE, 0x87);
    let mut found = vec![
        initiator_login(Bhs::new(opcode::NOP_IN, 0x80), ""),
        initiator_login(last.with_byte(36, 3).with_byte(37, 1), ""),
        initiator_login(last, "no pair/"),
        initiator_login(last, ""),
        initiator_login(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), ""),
    ];
    for keys in [
        "HeaderDigest=Reject/",
        "DataDigest=CRC/",
        "DataDigest=NotUnderstood/",
        "MaxRecvDataSegmentLength=511/",
        "MaxRecvDataSegmentLength=0x200/",
        "InitialR2T=Maybe/",
        "ImmediateData=Irrelevant/",
        "ImmediateData=1/",
        "MaxBurstLength=16777216/",
        "FirstBurstLength=x/",
        "iSCSIProtocolLevel=32/",
        "Unheard=of/",
    ] {
        found.push(initiator_login(last, keys));
    }
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &small());
    for _ in 0..10 {
        if let Err(fault) = initiator.receive(&frame(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), &[])) {
            found.push(fault.to_string());
            break;
        }
    }
    let offer = InitiatorConnection::new("iqn.i", None, [0; 6], &small()).send_buffer().unsent().to_vec();
    found.push(String::from_utf8_lossy(&offer[48..]).replace('\0', "/"));
    assert_eq!(found, LOGIN_RESPONSES);
}

/// The fault a logged-in target ends with after these PDUs.
fn target_fault(wishes: ProposedParams, pdus: &[(Bhs, usize)]) -> String {
    let (mut target, _) = logged_in(wishes);
    for (bhs, len) in pdus {
        if let Err(fault) = target.receive(&frame(*bhs, &vec![1; *len]), &mut AdmitKnownTarget) {
            return fault.to_string();
        }
    }
    format!("none, {} bytes out", target.send_buffer().unsent().len())
}

#[test]
fn faults_of_a_target() {
    let write = Bhs::new(opcode::SCSI_COMMAND, 0xa0).with_itt(1).with_expected_data_len(9000).with_cmd_sn(1);
    let open_write =
        Bhs::new(opcode::SCSI_COMMAND, 0x20).with_itt(1).with_expected_data_len(9000).with_cmd_sn(1);
    let read = Bhs::new(opcode::SCSI_COMMAND, 0xc0).with_itt(1).with_expected_data_len(512).with_cmd_sn(1);
    let data = Bhs::new(opcode::DATA_OUT, 0).with_itt(1).with_target_transfer_tag(0);
    let unasked = data.with_target_transfer_tag(RESERVED_TAG);
    let found: Vec<String> = [
        &[(Bhs::new(opcode::LOGIN_REQUEST, 0x87), 0)][..],
        &[(Bhs::new(opcode::DATA_IN, 0x80), 0)],
        &[(Bhs::new(opcode::SNACK, 0x80), 0)],
        &[(read.with_cmd_sn(3), 0)],
        &[(read.with_cmd_sn(9), 0)],
        &[(read, 0), (read.with_cmd_sn(2), 0)],
        &[(read.with_itt(RESERVED_TAG), 0)],
        &[(read, 4)],
        &[(open_write.with_expected_data_len(70_000), 0)],
        &[(write.with_expected_data_len(70_000), 0)],
        &[(write.with_byte(1, 0xe0), 0)],
        &[(write.with_expected_data_len(512), 600)],
        &[(write, 0), (data.with_target_transfer_tag(5), 512)],
        &[(write, 0), (unasked, 512)],
        &[(write, 0), (data.with_data_sn(1), 512)],
        &[(write, 0), (data.with_buffer_offset(1), 512)],
        &[(write, 0), (data, 0)],
        &[(write, 0), (data.with_byte(1, 0x80), 512)],
        &[
            (write, 0),
            (data, 1024),
            (data.with_data_sn(1).with_buffer_offset(1024), 1024),
            (data.with_data_sn(2).with_buffer_offset(2048), 1024),
            (data.with_data_sn(3).with_buffer_offset(3072), 1024),
        ],
        &[
            (open_write, 1024),
            (unasked.with_buffer_offset(1024), 1024),
            (unasked.with_data_sn(1).with_buffer_offset(2048), 8),
        ],
        &[(Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1), 5)],
        &[(write, 0), (data.with_itt(77), 512)],
    ]
    .iter()
    .map(|pdus| target_fault(small(), pdus))
    .collect();
    assert_eq!(found, TARGET_FAULTS);
}

#[test]
fn a_target_list_past_the_initiators_segment() {
    let mut target = TargetConnection::new(Rc::new(TargetConfig {
        proposal: small(),
        command_window: 4,
        max_transfer_bytes: 1 << 16,
        target_names: (0..40).map(|n| format!("iqn.2026-01.example:{n}")).collect(),
        portal_address: "127.0.0.1:3260".into(),
    }));
    let mut initiator = InitiatorConnection::new("iqn.i", None, [0; 6], &small());
    let request = initiator.send_buffer().unsent().to_vec();
    target.receive(&request, &mut AdmitKnownTarget).expect("login");
    let text = Bhs::new(opcode::TEXT_REQUEST, 0x80).with_cmd_sn(1);
    let one = frame(text, b"SendTargets=iqn.2026-01.example:7\0");
    target.receive(&one, &mut AdmitKnownTarget).expect("one target");
    let all = frame(text.with_cmd_sn(2), b"SendTargets=All\0");
    let fault = target.receive(&all, &mut AdmitKnownTarget).expect_err("too long");
    assert_eq!(fault.to_string(), "list of targets past the initiator's segment");
}

#[test]
fn unsolicited_data_where_none_was_agreed() {
    let mut target = TargetConnection::new(config(small(), 4));
    let Request(bhs, data) = login_request(0x87, &format!("{NAMES}InitialR2T=Yes/ImmediateData=No/"));
    target.receive(&frame(bhs, &data), &mut AdmitKnownTarget).expect("login");
    let command = Bhs::new(opcode::SCSI_COMMAND, 0xa0).with_itt(1).with_expected_data_len(900).with_cmd_sn(5);
    let mut faults = Vec::new();
    for (bhs, len) in [(command.with_byte(1, 0x20), 0), (command.with_cmd_sn(6), 4)] {
        let fault = target.receive(&frame(bhs, &vec![1; len]), &mut AdmitKnownTarget).expect_err("unasked");
        faults.push(fault.to_string());
    }
    let expected = ["unsolicited data where none was agreed", "immediate data past what was agreed"];
    assert_eq!(faults, expected);
}

#[test]
fn faults_of_an_initiator() {
    let found: Vec<String> = [
        (Bhs::new(opcode::SCSI_RESPONSE, 0x80).with_stat_sn(9), 0),
        (Bhs::new(opcode::DATA_IN, 0x80).with_itt(0x2_0001).with_buffer_offset(4), 512),
        (Bhs::new(opcode::DATA_IN, 0x80).with_itt(0x2_0001), 513),
        (
            Bhs::new(opcode::R2T, 0x80).with_itt(0x1_0000).with_buffer_offset(512).with_desired_data_len(512),
            0,
        ),
        (Bhs::new(opcode::R2T, 0x80).with_itt(0x1_0000).with_buffer_offset(2048).with_desired_data_len(0), 0),
        (
            Bhs::new(opcode::R2T, 0x80)
                .with_itt(0x1_0000)
                .with_buffer_offset(2048)
                .with_desired_data_len(90_000),
            0,
        ),
        (Bhs::new(opcode::ASYNC_MESSAGE, 0x80).with_stat_sn(2).with_byte(36, 2), 0),
        (Bhs::new(opcode::ASYNC_MESSAGE, 0x80).with_stat_sn(2).with_byte(36, 4), 0),
        (Bhs::new(opcode::SCSI_COMMAND, 0x80).with_cmd_sn(2), 0),
        (Bhs::new(opcode::NOP_IN, 0x80).with_itt(RESERVED_TAG), 1025),
    ]
    .iter()
    .map(|(bhs, len)| {
        let (_, mut initiator) = logged_in(small());
        initiator.send_command(1, 0, &scsi::read_or_write_16(true, 0, 9, 0), 0, vec![3; 9000].into());
        initiator.send_command(2, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
        initiator.receive(&frame(*bhs, &vec![1; *len])).err().map_or("none".into(), |fault| fault.to_string())
    })
    .collect();
    assert_eq!(found, INITIATOR_FAULTS);
}

#[test]
fn task_management() {
    let mut record = Record::new();
    for function in 0..10 {
        let (mut target, mut initiator) = logged_in(small());
        for (tag, lun) in [(1, 0), (2, 1), (3, 1)] {
            initiator.send_command(tag, lun, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
        }
        let up = initiator.send_buffer().unsent().to_vec();
        target.receive(&up, &mut AdmitKnownTarget).expect("commands");
        for referenced in [0x2_0001, 0x7_0007] {
            let bhs = Bhs::new(opcode::TASK_MANAGEMENT_REQUEST, flag::FINAL | function)
                .with_immediate()
                .with_lun(1);
            let bhs = bhs.with_itt(0x99).with_referenced_task_tag(referenced).with_cmd_sn(4);
            target.receive(&frame(bhs, &[]), &mut AdmitKnownTarget).expect("task request");
        }
        while let Some(event) = target.next_event() {
            record.target_event(&event);
        }
        record.bytes(b'<', target.send_buffer().unsent());
    }
    assert_eq!(record.0, TASK_MANAGEMENT, "{:#018x}", record.0);
    let codes = [
        task_response::FUNCTION_COMPLETE,
        task_response::TASK_DOES_NOT_EXIST,
        task_response::LUN_DOES_NOT_EXIST,
        task_response::FUNCTION_NOT_SUPPORTED,
        task_response::FUNCTION_REJECTED,
    ];
    assert_eq!(codes, [0, 1, 2, 5, 255]);
}

#[test]
fn immediate_commands_past_the_limit_are_rejected() {
    let (mut target, _) = logged_in(small());
    for itt in 0..14 {
        let bhs = Bhs::new(opcode::SCSI_COMMAND, 0xc0)
            .with_immediate()
            .with_itt(itt)
            .with_expected_data_len(512)
            .with_cmd_sn(1);
        target.receive(&frame(bhs, &[]), &mut AdmitKnownTarget).expect("command");
    }
    assert_eq!((target.in_flight(), target.send_buffer().unsent().len()), (12, 2 * 96));
    assert_eq!(target.send_buffer().unsent()[2], 6);
}

#[test]
fn initiator_task_tags_run_through_their_whole_cycle() {
    let (_, mut initiator) = logged_in(small());
    let mut record = Record::new();
    for serial in 2..0x8004_u32 {
        assert!(initiator.send_command(7, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into()));
        let request = initiator.send_buffer().unsent().to_vec();
        initiator.send_buffer().mark_sent(request.len());
        record.raw(&request[16..20]);
        let itt = u32::from_be_bytes([request[16], request[17], request[18], request[19]]);
        let answer = Bhs::new(opcode::SCSI_RESPONSE, 0x80)
            .with_itt(itt)
            .with_stat_sn(serial)
            .with_max_cmd_sn(serial + 9);
        initiator.receive(&frame(answer, &[])).expect("an answer");
        assert!(initiator.next_event().is_some());
    }
    assert_eq!(record.0, TASK_TAGS, "{:#018x}", record.0);
}

#[test]
fn status_qualifiers_at_an_initiator() {
    let mut found = Vec::new();
    for qualifier in [0, 1, 0x3fef, 0x3ff0, 0x3fff, 0x4005, 0xc007] {
        let (_, mut initiator) = logged_in(small());
        initiator.send_command(7, 0, &scsi::read_or_write_16(false, 0, 1, 0), 512, vec![].into());
        let answer = Bhs::new(opcode::SCSI_RESPONSE, 0x80)
            .with_itt(0x1_0000)
            .with_stat_sn(2)
            .with_byte(3, status::BUSY);
        initiator.receive(&frame(answer.with_status_qualifier(qualifier), &[])).expect("an answer");
        match initiator.next_event() {
            Some(initiator::InitiatorEvent::CommandCompleted { retry_after, .. }) => found.push(retry_after),
            other => panic!("expected an answer, found {other:?}"),
        }
    }
    assert_eq!(found, [0, 1, 0x3fef, 0, 0, 5, 7]);
}

#[test]
fn an_initiator_gives_up_after_eight_more_login_requests() {
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &small());
    let response = frame(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), &[]);
    let taken = (0..20).take_while(|_| initiator.receive(&response).is_ok()).count();
    assert_eq!(taken, 8);
}

#[test]
fn defaults_of_both_sides() {
    let offer = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &ProposedParams::default())
        .send_buffer()
        .unsent()
        .to_vec();
    assert_eq!(String::from_utf8_lossy(&offer[48..]).replace('\0', "/"), DEFAULT_OFFER);
    for (immediate, expected) in [(65_536, "none"), (65_537, "immediate data past what was agreed")] {
        let mut target = TargetConnection::new(Rc::new(TargetConfig {
            proposal: ProposedParams::default(),
            command_window: 4,
            max_transfer_bytes: 1 << 20,
            target_names: vec![],
            portal_address: String::new(),
        }));
        let Request(bhs, data) = login_request(0x87, NAMES);
        target.receive(&frame(bhs, &data), &mut AdmitKnownTarget).expect("login");
        let answer = target.send_buffer().unsent().to_vec();
        target.send_buffer().mark_sent(answer.len());
        assert_eq!(&answer[48..], b"TargetPortalGroupTag=1\0MaxRecvDataSegmentLength=262144\0\0");
        let write =
            Bhs::new(opcode::SCSI_COMMAND, 0xa0).with_itt(1).with_expected_data_len(600_000).with_cmd_sn(5);
        let received = target.receive(&frame(write, &vec![1; immediate]), &mut AdmitKnownTarget);
        assert_eq!(received.err().map_or("none".into(), |fault| fault.to_string()), expected);
        if expected == "none" {
            let transfer = target.send_buffer().unsent();
            assert_eq!((transfer[0], &transfer[44..48]), (opcode::R2T, &262_144_u32.to_be_bytes()[..]));
        }
    }
}

fn record_command(record: &mut Record, command: Result<Command, Sense>) {
    let fields: Vec<u64> = match command {
        Err(sense) => return record.sense(Some(sense)),
        Ok(Command::TestUnitReady) => vec![0],
        Ok(Command::RequestSense { allocation_len: room }) => vec![1, room as u64],
        Ok(Command::Inquiry { page, allocation_len: room }) => {
            vec![2, page.map_or(999, u64::from), room as u64]
        }
        Ok(Command::ReportLuns { select_report: select, allocation_len: room }) => {
            vec![3, u64::from(select), room as u64]
        }
        Ok(Command::ReadCapacity10) => vec![4],
        Ok(Command::ReadCapacity16 { allocation_len: room }) => vec![5, room as u64],
        Ok(Command::Read { lba, blocks, group_number: group }) => {
            vec![6, lba, u64::from(blocks), u64::from(group)]
        }
        Ok(Command::Write { lba, blocks, group_number: group }) => {
            vec![7, lba, u64::from(blocks), u64::from(group)]
        }
        Ok(Command::SynchronizeCache { lba, blocks }) => vec![8, lba, u64::from(blocks)],
        Ok(Command::ModeSense { form, page, allocation_len }) => {
            vec![9, u64::from(form == ModeSenseForm::Ten), u64::from(page), allocation_len as u64]
        }
        Ok(Command::ModeSelect) => vec![10],
        Ok(Command::Unmap) => vec![11],
        Ok(Command::GetLbaStatus { lba, allocation_len: room }) => vec![12, lba, room as u64],
    };
    for field in fields {
        record.number(b'C', field);
    }
}

#[test]
fn command_descriptor_blocks() {
    let (mut rng, mut record) = (Rng(4), Record::new());
    for opcode in 0..=255 {
        for draw in 0..24 {
            let mut cdb = [0; 16];
            cdb.copy_from_slice(&rng.bytes(16));
            cdb[0] = opcode;
            cdb[1] = [cdb[1], 0, 0x10, 0x12, 1, 0x20][draw % 6];
            cdb[2] = if draw % 5 == 0 { 0 } else { cdb[2] };
            record_command(&mut record, scsi::parse_cdb(&cdb));
        }
    }
    for cdb in [
        scsi::read_or_write_16(true, 1 << 40, 9, 63),
        scsi::read_or_write_16(false, 3, 1 << 20, 1),
        scsi::get_lba_status(77, 512),
    ] {
        record.bytes(b'b', &cdb);
    }
    assert_eq!(record.0, CDBS, "{:#018x}", record.0);
}

#[test]
fn parameter_data() {
    let mut record = Record::new();
    for (product, serial) in [("vol", "s1"), ("a product of a long name", "\u{e9}\n"), ("", "")] {
        for (blocks, block_size) in [(1, 512), (1 << 33, 4096)] {
            let unit = LogicalUnit { blocks, block_size, product, serial, max_transfer_blocks: 2048 };
            let pages = (0..=255).map(Some).chain([None]);
            for page in pages {
                record.bytes(b'q', &unit.inquiry(page).unwrap_or_default());
            }
            record.bytes(b'q', &unit.read_capacity_10());
            record.bytes(b'q', &unit.read_capacity_16());
            for page in 0..64 {
                record.bytes(b'm', &unit.mode_sense(ModeSenseForm::Six, page).unwrap_or_default());
                record.bytes(b'm', &unit.mode_sense(ModeSenseForm::Ten, page).unwrap_or_default());
            }
        }
    }
    for select in 0..3 {
        record.bytes(b'l', &scsi::report_luns([0, 1, 300, 70_000].into_iter(), select));
    }
    let runs = [(1 << 35, 9), (4, 1), (77, u32::MAX)];
    for room in [0, 8, 24, 39, 40, 400] {
        let data = scsi::lba_status_data(&runs, room);
        record.bytes(b'g', &data);
        for (lba, blocks) in scsi::parse_lba_status(&data).expect("sound") {
            record.number(b'g', lba);
            record.number(b'g', u64::from(blocks));
        }
    }
    for (cdb, data) in
        [scsi::unmap(&runs), scsi::mode_select_write_protect(true), scsi::mode_select_write_protect(false)]
    {
        record.bytes(b'd', &cdb);
        record.bytes(b'd', &data);
    }
    for sense in [
        Sense::INVALID_OPERATION_CODE,
        Sense::LBA_OUT_OF_RANGE,
        Sense::INVALID_FIELD_IN_CDB,
        Sense::LOGICAL_UNIT_NOT_SUPPORTED,
        Sense::COMMUNICATION_TIMEOUT,
        Sense::POWER_ON_OR_RESET,
        Sense::CAPACITY_DATA_CHANGED,
        Sense::DATA_PHASE_ERROR,
        Sense::WRITE_PROTECTED,
        Sense::UNRECOVERED_READ_ERROR,
    ] {
        record.sense(Some(sense));
        assert_eq!(Sense::from_fixed_format(&sense.to_fixed_format()), Some(sense));
    }
    let statuses =
        [status::GOOD, status::CHECK_CONDITION, status::BUSY, status::TASK_SET_FULL, status::TASK_ABORTED];
    record.bytes(b'S', &statuses);
    assert_eq!(record.0, PARAMETER_DATA, "{:#018x}", record.0);
}

#[test]
fn unsound_parameter_data_is_not_read() {
    assert_eq!(scsi::parse_unmap(&[0; 7]), None);
    assert_eq!(scsi::parse_unmap(&[0, 14, 0, 16, 0, 0, 0, 0, 1]), None);
    assert_eq!(scsi::parse_lba_status(&[0, 0, 0, 9, 0, 0, 0, 0, 1]), None);
    assert_eq!(scsi::parse_write_protect(&[0; 16]), None);
    assert_eq!(Sense::from_fixed_format(&[0x72; 18]), None);
    assert_eq!(Sense::from_fixed_format(&[0x70; 13]), None);
}

const LOGIN_KEYS: &[(&str, &str)] = &[
    (
        "HeaderDigest=CRC32C,None",
        "0000 87 HeaderDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "HeaderDigest=None,CRC32C",
        "0000 87 HeaderDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("HeaderDigest=None", "0000 87 HeaderDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    (
        "HeaderDigest=CRC32C",
        "0000 87 HeaderDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("HeaderDigest=Other", "0200 04  | login refused (0200): HeaderDigest=Other: expected CRC32C or None"),
    (
        "DataDigest=None,CRC32C",
        "0000 87 DataDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("DataDigest=None", "0000 87 DataDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    (
        "DataDigest=Other,CRC32C",
        "0000 87 DataDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("DataDigest=", "0200 04  | login refused (0200): DataDigest=: expected CRC32C or None"),
    ("MaxRecvDataSegmentLength=512", "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("MaxRecvDataSegmentLength=0xffffff", "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    (
        "MaxRecvDataSegmentLength=511",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=511: expected 512 to 16777215",
    ),
    (
        "MaxRecvDataSegmentLength=16777216",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=16777216: expected 512 to 16777215",
    ),
    (
        "MaxRecvDataSegmentLength=0Xzz",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=0Xzz: expected 512 to 16777215",
    ),
    ("InitialR2T=Yes", "0000 87 InitialR2T=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("InitialR2T=No", "0000 87 InitialR2T=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("InitialR2T=yes", "0200 04  | login refused (0200): InitialR2T=yes: expected Yes or No"),
    ("ImmediateData=Yes", "0000 87 ImmediateData=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("ImmediateData=No", "0000 87 ImmediateData=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("ImmediateData=0", "0200 04  | login refused (0200): ImmediateData=0: expected Yes or No"),
    (
        "MaxBurstLength=512",
        "0000 87 MaxBurstLength=512/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxBurstLength=100000",
        "0000 87 MaxBurstLength=4096/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("MaxBurstLength=9", "0200 04  | login refused (0200): MaxBurstLength=9: expected 512 to 16777215"),
    (
        "FirstBurstLength=512",
        "0000 87 FirstBurstLength=512/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "FirstBurstLength=100000",
        "0000 87 FirstBurstLength=2048/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("FirstBurstLength=-1", "0200 04  | login refused (0200): FirstBurstLength=-1: expected 512 to 16777215"),
    (
        "MaxBurstLength=1024/FirstBurstLength=2000",
        "0000 87 MaxBurstLength=1024/FirstBurstLength=1024/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxBurstLength=1024/FirstBurstLength=900",
        "0000 87 MaxBurstLength=1024/FirstBurstLength=900/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Wait=0",
        "0000 87 DefaultTime2Wait=2/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Wait=5",
        "0000 87 DefaultTime2Wait=5/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("DefaultTime2Wait=3601", "0200 04  | login refused (0200): DefaultTime2Wait=3601: expected 0 to 3600"),
    (
        "DefaultTime2Retain=0",
        "0000 87 DefaultTime2Retain=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Retain=20",
        "0000 87 DefaultTime2Retain=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("DefaultTime2Retain=x", "0200 04  | login refused (0200): DefaultTime2Retain=x: expected 0 to 3600"),
    ("MaxConnections=8", "0000 87 MaxConnections=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("MaxConnections=65536", "0200 04  | login refused (0200): MaxConnections=65536: expected 0 to 65535"),
    (
        "MaxOutstandingR2T=3",
        "0000 87 MaxOutstandingR2T=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("MaxOutstandingR2T=no", "0200 04  | login refused (0200): MaxOutstandingR2T=no: expected 0 to 65535"),
    (
        "ErrorRecoveryLevel=2",
        "0000 87 ErrorRecoveryLevel=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("ErrorRecoveryLevel=3", "0200 04  | login refused (0200): ErrorRecoveryLevel=3: expected 0 to 2"),
    ("DataPDUInOrder=No", "0000 87 DataPDUInOrder=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("DataPDUInOrder=2", "0200 04  | login refused (0200): DataPDUInOrder=2: expected Yes or No"),
    (
        "DataSequenceInOrder=Yes",
        "0000 87 DataSequenceInOrder=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=0",
        "0000 87 iSCSIProtocolLevel=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=1",
        "0000 87 iSCSIProtocolLevel=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=31",
        "0000 87 iSCSIProtocolLevel=2/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("iSCSIProtocolLevel=32", "0200 04  | login refused (0200): iSCSIProtocolLevel=32: expected 0 to 31"),
    ("IFMarker=Yes", "0000 87 IFMarker=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("OFMarker=Yes", "0000 87 OFMarker=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    (
        "TaskReporting=RFC3720",
        "0000 87 TaskReporting=NotUnderstood/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "X-com.example=1",
        "0000 87 X-com.example=NotUnderstood/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    ("InitiatorAlias=me", "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("AuthMethod=None", "0000 87 AuthMethod=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
    ("SessionType=Normal", "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/"),
];

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

const TO_TARGET: [u64; SEEDS as usize] = [
    0xfde6_81bc_181a_8969,
    0x2951_bb41_1719_5718,
    0x1ce2_c32f_2da2_135e,
    0xc976_fad9_4b1d_b16c,
    0x0d52_e8f3_7826_a3e8,
    0xc92d_ee6c_afc1_4a70,
    0x2033_cdda_f46e_ca34,
    0x402d_7397_eb60_f53d,
    0x6e63_b2d7_66d5_3895,
    0xe22c_0547_e175_ee27,
    0x3c93_b5fd_dcd6_bd70,
    0xdac8_84d2_c000_b966,
    0x9d8b_b4d8_7c2a_c553,
    0x814e_bf0d_c3ae_31bd,
    0x52f6_ce57_452d_ef16,
    0x60eb_4635_9f16_5f97,
    0xb51b_85bc_9e79_e101,
    0xb3b4_1dc0_7600_28dd,
    0x17f1_19fe_2131_7873,
    0x4fda_4a50_c2db_379e,
];

const TO_INITIATOR: [u64; SEEDS as usize] = [
    0x53ee_86cb_832a_d6b5,
    0x8170_315c_a835_9e31,
    0x212e_d6f9_48d1_7d92,
    0xde5d_3814_78dd_3457,
    0x932b_5ff6_203b_b513,
    0x5c59_8159_ce51_797a,
    0x9e0e_c005_dfb5_b9b7,
    0xdfb1_eda8_9db4_fe72,
    0xb112_4400_69d0_df84,
    0x8140_94dc_1888_82a4,
    0xcae9_708b_26f1_7113,
    0xbe64_6607_6178_cc3d,
    0x4841_db48_46ac_fdcd,
    0x119f_7662_5ba7_e1fc,
    0xf5c7_368c_48b3_a4e6,
    0x1fe4_85a5_86e7_b87e,
    0x9e0e_6166_1549_f275,
    0x1578_2156_4ea2_268c,
    0x1201_cde9_ff89_ce00,
    0x10c0_751e_e6b3_bfd7,
];

const PLAIN_STREAM: u64 = 0xa784_bf51_cb7d_7755;

const DIGEST_STREAM: u64 = 0x9171_4237_369d_d267;

const FLIPPED: u64 = 0xc877_2325_b3af_1b9d;

const CORRUPT_DIGESTS: u64 = 0x301c_8639_92a9_4a95;

const TASK_MANAGEMENT: u64 = 0xa723_b37a_453c_64f4;

const CDBS: u64 = 0x59e0_56a6_95e1_6028;

const PARAMETER_DATA: u64 = 0xe313_18b0_e3a6_4f35;

const LOGIN_STAGES: &[&str] = &[
    "0205 04  | login refused (0205): expected a version range with 0 in it",
    "020b 04  | login refused (020b): transit and continue bits both set",
    "020b 0c  | login refused (020b): stage is not the one this login is in",
    "020b 04  | login refused (020b): next stage does not follow the present one",
    "020b 04  | login refused (020b): next stage does not follow the present one",
    "0207 04  | login refused (0207): InitiatorName: expected in the first request",
    "0207 04  | login refused (0207): InitiatorName: expected in the first request",
    "0207 04  | login refused (0207): TargetName: expected in a normal session",
    "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    "0203 04  | login refused (0203): iqn.i not let in",
    "0200 04  | login refused (0200): no pair: expected key=value",
    "0200 04  | login refused (0200): b d: expected a key name of up to 63 letters",
    "0200 04  | login refused (0200): : expected a key name of up to 63 letters",
    "0200 04  | login refused (0200): kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk: expected a key name of up to 63 letters",
    "0200 04  | login refused (0200): k: expected a value of up to 255 bytes",
    "0200 04  | login refused (0200): TargetName: expected once, came twice",
    "0200 04  | login refused (0200): expected at most 64 pairs",
    "0000 81 AuthMethod=None/TargetPortalGroupTag=1/ | 0000 87 DataDigest=None/MaxRecvDataSegmentLength=1024/",
    "0201 00  | login refused (0201): AuthMethod: expected None among them",
    "0000 04 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/ | 0000 04 ImmediateData=No/MaxRecvDataSegmentLength=1024/ | 0000 87 MaxRecvDataSegmentLength=1024/",
    "0000 04 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/ | 020b 00  | login refused (020b): stage is not the one this login is in",
    "0000 04  | 0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    "0000 04  | 0000 04  | 0302 04  | login refused (0302): login text past 16 KiB",
    "opcode 0x00, expected a login request",
    "0200 04  | login refused (0200): a pair that is not UTF-8",
    "data segment of 8193 bytes, at most 8192 agreed",
];

const LOGIN_RESPONSES: &[&str] = &[
    "opcode 0x20 during login",
    "login refused, status 0301",
    "no pair: expected key=value",
    "true 0",
    "false 48",
    "HeaderDigest=Reject: expected CRC32C or None",
    "DataDigest=CRC: expected CRC32C or None",
    "true 0",
    "MaxRecvDataSegmentLength=511: expected 512 to 16777215",
    "true 0",
    "InitialR2T=Maybe: expected Yes or No",
    "true 0",
    "ImmediateData=1: expected Yes or No",
    "MaxBurstLength=16777216: expected 512 to 16777215",
    "FirstBurstLength=x: expected 512 to 16777215",
    "iSCSIProtocolLevel=32: expected 0 to 31",
    "true 0",
    "login goes on after eight requests",
    "InitiatorName=iqn.i/SessionType=Discovery/HeaderDigest=None,CRC32C/DataDigest=None,CRC32C/MaxRecvDataSegmentLength=1024/InitialR2T=No/ImmediateData=Yes/MaxBurstLength=4096/FirstBurstLength=2048/MaxConnections=1/MaxOutstandingR2T=1/ErrorRecoveryLevel=0/DefaultTime2Wait=0/DefaultTime2Retain=0/iSCSIProtocolLevel=2////",
];

const TARGET_FAULTS: &[&str] = &[
    "opcode 0x03 is not for the full feature phase",
    "opcode 0x25 is not for the full feature phase",
    "none, 96 bytes out",
    "CmdSN 3, expected 1",
    "none, 0 bytes out",
    "task tag 0x1 is in use",
    "task tag 0xffffffff is in use",
    "immediate data past what was agreed",
    "write of 70000 bytes, at most 65536",
    "none, 68 bytes out",
    "none, 68 bytes out",
    "immediate data past what was agreed",
    "data for transfer tag 0x5, not asked for",
    "data for transfer tag 0xffffffff, not asked for",
    "data at 0, expected at 0 in order",
    "data at 1, expected at 0 in order",
    "data PDU without data",
    "burst ended short of what was asked for",
    "burst goes on past what was asked for",
    "data to 2056, expected up to 2048",
    "\u{1}\u{1}\u{1}\u{1}\u{1}: expected key=value",
    "none, 48 bytes out",
];

const INITIATOR_FAULTS: &[&str] = &[
    "StatSN 9, expected 2",
    "data at 4, expected at 0",
    "data at 0, expected at 0",
    "asked for 512 bytes at 512, 2048 to come",
    "asked for 0 bytes at 2048, 2048 to come",
    "asked for 90000 bytes at 2048, 2048 to come",
    "target drops the connection (event 2)",
    "none",
    "opcode 0x01 from a target",
    "data segment of 1025 bytes, at most 1024 agreed",
];

const TASK_TAGS: u64 = 0x335f_0b02_767e_a23f;

const DEFAULT_OFFER: &str = "InitiatorName=iqn.i/SessionType=Normal/TargetName=iqn.t/\
    HeaderDigest=None,CRC32C/DataDigest=None,CRC32C/MaxRecvDataSegmentLength=262144/InitialR2T=No/\
    ImmediateData=Yes/MaxBurstLength=262144/FirstBurstLength=65536/MaxConnections=1/MaxOutstandingR2T=1/\
    ErrorRecoveryLevel=0/DefaultTime2Wait=0/DefaultTime2Retain=0/iSCSIProtocolLevel=2/";
