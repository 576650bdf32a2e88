//! One connection of an initiator, and the session on it.
use crate::frame::{PduDecoder, SendBuffer};
use crate::login::InitiatorLogin;
use crate::params::{Params, ProposedParams, RECV_DEFAULT};
use crate::pdu::{Bhs, NO_TAG, Pdu, flag, opcode, sn_before, task};
use crate::scsi::Sense;
use crate::target::ProtocolError;
use std::collections::VecDeque;
use std::rc::Rc;

/// Data of a write, shared with whoever may send it again.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// None where there is nothing: a read's.
    bytes: Option<Rc<Vec<u8>>>,
    from: usize,
    to: usize,
}

impl Payload {
    /// A piece of it: `len` bytes from `from` on.
    pub fn slice(&self, from: usize, len: usize) -> Payload {
        Payload { bytes: self.bytes.clone(), from: self.from + from, to: self.from + from + len }
    }

    pub fn bytes(&self) -> &[u8] {
        self.bytes.as_ref().map_or(&[], |b| &b[self.from..self.to])
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Payload { from: 0, to: bytes.len(), bytes: (!bytes.is_empty()).then(|| Rc::new(bytes)) }
    }
}

/// What came in; `tag` is the caller's own name of a command.
#[derive(Debug, PartialEq, Eq)]
pub enum InitiatorEvent {
    LoggedIn,
    /// A command's final status, its data, and when to come back in tenths of a second (0: not told).
    CommandCompleted {
        tag: u32,
        status: u8,
        sense: Option<Sense>,
        data: Vec<u8>,
        retry_after: u16,
    },
    /// The target turned the command away unread.
    CommandRejected {
        tag: u32,
        reason: u8,
    },
    /// An aborted command will not be answered any more.
    CommandAborted {
        tag: u32,
    },
    /// The target asks for a logout.
    LogoutRequested,
    LoggedOut,
    /// The answer to a text request.
    TextResponse(Vec<u8>),
}

struct Out {
    tag: u32,
    itt: u32,
    lun: u32,
    read: Vec<u8>,
    room: usize,
    write: Payload,
    sent: usize,
    /// Where in the stream its command stands.
    place: u64,
    aborted: bool,
}

enum Phase {
    Login(Box<InitiatorLogin>),
    Full,
    Over,
}

pub struct InitiatorConnection {
    phase: Phase,
    params: Params,
    decoder: PduDecoder,
    out: SendBuffer,
    cmd_sn: u32,
    exp_stat_sn: u32,
    max_cmd_sn: u32,
    outs: Vec<Option<Out>>,
    turn: u16,
    strays: u64,
    events: VecDeque<InitiatorEvent>,
}

impl InitiatorConnection {
    /// Opens with a login request; `target` none for a discovery session.
    pub fn new(name: &str, target: Option<&str>, isid: [u8; 6], wishes: &ProposedParams) -> Self {
        let (login, bhs, data) = InitiatorLogin::start(name, target, isid, wishes);
        let mut out = SendBuffer::default();
        out.push(bhs.with_sn(1), &data);
        InitiatorConnection {
            phase: Phase::Login(Box::new(login)),
            params: Params::default(),
            decoder: PduDecoder::new(RECV_DEFAULT.max(wishes.max_recv_data_segment)),
            out,
            cmd_sn: 1,
            exp_stat_sn: 0,
            max_cmd_sn: 0,
            outs: Vec::new(),
            turn: 0,
            strays: 0,
            events: VecDeque::new(),
        }
    }

    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.out
    }

    pub fn next_event(&mut self) -> Option<InitiatorEvent> {
        self.events.pop_front()
    }

    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::Full)
    }

    /// Whether the target's window takes another command now.
    pub fn can_send(&self) -> bool {
        self.is_logged_in() && !sn_before(self.max_cmd_sn, self.cmd_sn)
    }

    /// Sends a command: `room` bytes of data are expected back, `write` goes out with it. False, and nothing
    /// sent, while the target's window is closed.
    pub fn send_command(&mut self, tag: u32, lun: u32, cdb: &[u8; 16], room: usize, write: Payload) -> bool {
        let data = write.bytes();
        if !self.can_send() {
            return false;
        }
        let at = match self.outs.iter().position(Option::is_none) {
            Some(at) => at,
            None => {
                self.outs.push(None);
                self.outs.len() - 1
            }
        };
        // A tag is not used again at once: a late answer must not find another command.
        self.turn = (self.turn + 1) % 0x7fff;
        let itt = (u32::from(self.turn) << 16) | at as u32;
        let writes = !data.is_empty();
        let unsolicited = data.len().min(self.params.first_burst_len);
        let immediate =
            if self.params.immediate_data { unsolicited.min(self.params.max_send_data_segment) } else { 0 };
        let more = !self.params.initial_r2t && immediate < unsolicited;
        let direction = if writes {
            flag::WRITE
        } else if room > 0 {
            flag::READ
        } else {
            0
        };
        let flags = direction | flag::SIMPLE | if more { 0 } else { flag::FINAL };
        let len = if writes { data.len() } else { room };
        let bhs = Bhs::new(opcode::SCSI_COMMAND, flags)
            .with_lun(lun)
            .with_itt(itt)
            .with_word20(len as u32)
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn)
            .with_cdb(cdb);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        let place = self.out.end_offset();
        self.out.push(bhs, &data[..immediate]);
        let mut out =
            Out { tag, itt, lun, read: Vec::new(), room, write, sent: immediate, place, aborted: false };
        if more {
            self.burst(&mut out, NO_TAG, unsolicited);
        }
        self.outs[at] = Some(out);
        true
    }

    /// Whether any byte of a command has gone to the wire. False for one that is not out.
    pub fn has_started_sending(&self, tag: u32) -> bool {
        let written = self.out.sent_bytes();
        self.outs.iter().flatten().any(|o| o.tag == tag && o.place < written)
    }

    fn burst(&mut self, out: &mut Out, transfer: u32, until: usize) {
        let mut data_sn = 0;
        while out.sent < until {
            let len = (until - out.sent).min(self.params.max_send_data_segment);
            let last = out.sent + len == until;
            let bhs = Bhs::new(opcode::DATA_OUT, if last { flag::FINAL } else { 0 })
                .with_lun(out.lun)
                .with_itt(out.itt)
                .with_word20(transfer)
                .with_exp_sn(self.exp_stat_sn)
                .with_data_sn(data_sn)
                .with_offset(out.sent as u32);
            self.out.push(bhs, &out.write.bytes()[out.sent..out.sent + len]);
            out.sent += len;
            data_sn += 1;
        }
    }

    /// Asks the target to drop a command. No answer for it is told any more.
    pub fn abort_task(&mut self, tag: u32) {
        let found = self.outs.iter_mut().flatten().find(|o| o.tag == tag && !o.aborted);
        let Some(out) = found else { return };
        out.aborted = true;
        (out.read, out.write) = (Vec::new(), Payload::default());
        let (lun, itt) = (out.lun, out.itt);
        let bhs = Bhs::new(opcode::TASK_MANAGEMENT_REQUEST, flag::FINAL | task::ABORT_TASK)
            .with_immediate()
            .with_lun(lun)
            .with_itt(itt | 0x8000_0000)
            .with_word20(itt)
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn)
            .with_max_cmd_sn(self.cmd_sn);
        self.out.push(bhs, &[]);
    }

    /// Resets a logical unit: commands out there get no answer.
    pub fn reset_logical_unit(&mut self, lun: u32) {
        let bhs = Bhs::new(opcode::TASK_MANAGEMENT_REQUEST, flag::FINAL | task::LUN_RESET)
            .with_immediate()
            .with_lun(lun)
            .with_itt(0xfffe_ffff)
            .with_word20(NO_TAG)
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn);
        self.out.push(bhs, &[]);
    }

    pub fn send_logout_request(&mut self) {
        let bhs = Bhs::new(opcode::LOGOUT_REQUEST, flag::FINAL)
            .with_immediate()
            .with_itt(0xfffd_ffff)
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn);
        self.out.push(bhs, &[]);
    }

    /// A text request of one PDU, such as `SendTargets=All`.
    pub fn send_text_request(&mut self, data: &[u8]) {
        let bhs = Bhs::new(opcode::TEXT_REQUEST, flag::FINAL)
            .with_itt(0xfffc_ffff)
            .with_word20(NO_TAG)
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        self.out.push(bhs, data);
    }

    /// Commands out that have not been aborted.
    pub fn in_flight_tags(&self) -> impl Iterator<Item = u32> + '_ {
        self.outs.iter().flatten().filter(|o| !o.aborted).map(|o| o.tag)
    }

    /// Commands out, with those aborted whose end has not been told.
    pub fn in_flight(&self) -> usize {
        self.outs.iter().flatten().count()
    }

    /// Final answers that belong to no command out: a target that answers twice.
    pub fn unmatched_responses(&self) -> u64 {
        self.strays
    }

    /// Takes bytes as they come. A fault closes the connection.
    pub fn receive(&mut self, mut input: &[u8]) -> Result<(), ProtocolError> {
        while !input.is_empty() {
            match self.decoder.decode(&mut input)? {
                None => break,
                Some(pdu) => self.pdu(pdu)?,
            }
        }
        Ok(())
    }

    fn pdu(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        if let Phase::Login(login) = &mut self.phase {
            let next = login.response(&pdu).map_err(ProtocolError)?;
            self.exp_stat_sn = bhs.sn().wrapping_add(1);
            (self.max_cmd_sn, self.cmd_sn) = (bhs.max_cmd_sn(), bhs.exp_sn());
            match next {
                Some(request) => {
                    let request = request.with_sn(self.cmd_sn).with_exp_sn(self.exp_stat_sn);
                    self.out.push(request, &[]);
                }
                None => {
                    self.params = login.params.clone();
                    self.decoder.set_limits(self.params.digests, self.params.max_recv_data_segment);
                    self.out.set_digests(self.params.digests);
                    self.phase = Phase::Full;
                    self.events.push_back(InitiatorEvent::LoggedIn);
                }
            }
            return Ok(());
        }
        if sn_before(self.max_cmd_sn, bhs.max_cmd_sn()) {
            self.max_cmd_sn = bhs.max_cmd_sn();
        }
        let counts = match bhs.opcode() {
            opcode::DATA_IN => bhs.flags() & flag::STATUS != 0,
            opcode::R2T => false,
            opcode::NOP_IN => bhs.itt() != NO_TAG,
            _ => true,
        };
        if counts {
            if bhs.sn() != self.exp_stat_sn {
                return Err(ProtocolError(format!("StatSN {}, expected {}", bhs.sn(), self.exp_stat_sn)));
            }
            self.exp_stat_sn = self.exp_stat_sn.wrapping_add(1);
        }
        match bhs.opcode() {
            opcode::DATA_IN => self.data_in(pdu)?,
            opcode::SCSI_RESPONSE => self.response(&pdu),
            opcode::R2T => self.r2t(&bhs)?,
            opcode::NOP_IN => self.ping(&pdu),
            opcode::TASK_MANAGEMENT_RESPONSE => {
                let itt = bhs.itt() & 0x7fff_ffff;
                if let Some(at) = self.find(itt).filter(|at| self.outs[*at].as_ref().expect("found").aborted)
                {
                    let out = self.outs[at].take().expect("found");
                    self.events.push_back(InitiatorEvent::CommandAborted { tag: out.tag });
                }
            }
            opcode::REJECT => self.rejected(&pdu),
            opcode::ASYNC_MESSAGE => match bhs.byte(36) {
                1 => self.events.push_back(InitiatorEvent::LogoutRequested),
                0 | 4 => {}
                event => return Err(ProtocolError(format!("target drops the connection (event {event})"))),
            },
            opcode::LOGOUT_RESPONSE => {
                self.phase = Phase::Over;
                self.events.push_back(InitiatorEvent::LoggedOut);
            }
            opcode::TEXT_RESPONSE => self.events.push_back(InitiatorEvent::TextResponse(pdu.data)),
            opcode => return Err(ProtocolError(format!("opcode {opcode:#04x} from a target"))),
        }
        Ok(())
    }

    fn find(&self, itt: u32) -> Option<usize> {
        let at = (itt & 0xffff) as usize;
        self.outs.get(at)?.as_ref().filter(|o| o.itt == itt).map(|_| at)
    }

    fn data_in(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        let Some(at) = self.find(bhs.itt()) else {
            self.strays += u64::from(bhs.flags() & flag::STATUS != 0);
            return Ok(());
        };
        let out = self.outs[at].as_mut().expect("found");
        if !out.aborted {
            if bhs.offset() as usize != out.read.len() || out.read.len() + pdu.data.len() > out.room {
                return Err(ProtocolError(format!(
                    "data at {}, expected at {}",
                    bhs.offset(),
                    out.read.len()
                )));
            }
            if out.read.is_empty() && pdu.data.len() == out.room {
                // All in one PDU, as most are: its buffer is the answer's.
                out.read = pdu.data;
            } else {
                if out.read.is_empty() {
                    out.read.reserve_exact(out.room);
                }
                out.read.extend_from_slice(&pdu.data);
            }
        }
        if bhs.flags() & flag::STATUS != 0 {
            self.finish(at, bhs.byte(3), None, 0);
        }
        Ok(())
    }

    fn finish(&mut self, at: usize, status: u8, sense: Option<Sense>, retry_after: u16) {
        // An aborted command keeps its tag until the task response: only then is it surely over.
        if self.outs[at].as_ref().is_some_and(|o| o.aborted) {
            return;
        }
        let out = self.outs[at].take().expect("found");
        let (tag, data) = (out.tag, out.read);
        self.events.push_back(InitiatorEvent::CommandCompleted { tag, status, sense, data, retry_after });
    }

    fn response(&mut self, pdu: &Pdu) {
        let Some(at) = self.find(pdu.bhs.itt()) else {
            self.strays += 1;
            return;
        };
        let sense = pdu.data.get(2..).and_then(Sense::from_fixed_format);
        // Response code 1: the target failed, whatever the status byte says.
        let status =
            if pdu.bhs.byte(2) == 0 { pdu.bhs.byte(3) } else { crate::scsi::status::CHECK_CONDITION };
        let scope_and_wait = if self.params.level >= 2 { pdu.bhs.u16_at(8) & 0x3fff } else { 0 };
        self.finish(at, status, sense, if scope_and_wait <= 0x3fef { scope_and_wait } else { 0 });
    }

    fn r2t(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        let Some(at) = self.find(bhs.itt()) else { return Ok(()) };
        let mut out = self.outs[at].take().expect("found");
        if !out.aborted {
            let (from, len) = (bhs.offset() as usize, bhs.word44() as usize);
            if from != out.sent || from + len > out.write.bytes().len() || len == 0 {
                return Err(ProtocolError(format!("asked for {len} bytes at {from}, {} to come", out.sent)));
            }
            self.burst(&mut out, bhs.word20(), from + len);
        }
        self.outs[at] = Some(out);
        Ok(())
    }

    fn ping(&mut self, pdu: &Pdu) {
        if pdu.bhs.word20() == NO_TAG {
            return;
        }
        let mut bhs = Bhs::new(opcode::NOP_OUT, flag::FINAL)
            .with_immediate()
            .with_itt(NO_TAG)
            .with_word20(pdu.bhs.word20())
            .with_sn(self.cmd_sn)
            .with_exp_sn(self.exp_stat_sn);
        bhs.0[8..16].copy_from_slice(&pdu.bhs.0[8..16]);
        self.out.push(bhs, &[]);
    }

    fn rejected(&mut self, pdu: &Pdu) {
        if pdu.data.len() < 20 {
            return;
        }
        let itt = u32::from_be_bytes([pdu.data[16], pdu.data[17], pdu.data[18], pdu.data[19]]);
        if let Some(at) = self.find(itt) {
            let out = self.outs[at].take().expect("found");
            self.events.push_back(InitiatorEvent::CommandRejected { tag: out.tag, reason: pdu.bhs.byte(2) });
        }
    }
}
