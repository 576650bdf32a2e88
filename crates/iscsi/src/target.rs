//! One connection of a target, and the session on it (one connection a session, error recovery level 0).
use crate::frame::{FrameError, PduDecoder, SendBuffer};
use crate::login::{LoginIdentity, LoginPolicy, State, TargetLogin};
use crate::params::{Params, ProposedParams, RECV_DEFAULT};
use crate::pdu::{Bhs, NO_TAG, Pdu, flag, opcode, reject, sn_before, task};
use crate::scsi::{Sense, status};
use crate::text;
use std::collections::VecDeque;
use std::fmt;

/// What a target is and allows.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    pub proposal: ProposedParams,
    /// Commands in hand at once, at most; the window the initiator is told.
    pub command_window: u32,
    /// Longest read or write in bytes.
    pub max_transfer_bytes: usize,
    /// Names told to a discovery session, with the address to reach them at.
    pub target_names: Vec<String>,
    pub portal_address: String,
}

/// What came in. `task` names a command until it is answered or dropped.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetEvent {
    LoggedIn(LoginIdentity),
    /// All of its data is here.
    Command {
        task: u32,
        lun: Option<u32>,
        cdb: [u8; 16],
        read_len: usize,
        data: Vec<u8>,
    },
    /// An ABORT TASK for a command in hand: it gets no answer any more, and its place is free once the event
    /// is taken.
    CommandAborted {
        task: u32,
    },
    Logout,
    /// The initiator answered a ping or sent one; nothing is to be done.
    NopOut,
}

/// Why a connection cannot go on; it is to be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub String);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<FrameError> for ProtocolError {
    fn from(e: FrameError) -> Self {
        ProtocolError(e.to_string())
    }
}

/// A command in hand.
struct Task {
    itt: u32,
    lun: Option<u32>,
    cdb: [u8; 16],
    room: usize,
    read: bool,
    data: Vec<u8>,
    /// Write data: bytes expected in all, and until when of the present burst.
    expected: usize,
    until: usize,
    data_sn: u32,
    r2t_sn: u32,
    solicited: bool,
    given: bool,
}

enum Phase {
    Login(Box<TargetLogin>),
    Full,
    Closing,
}

pub struct TargetConnection {
    terms: std::rc::Rc<TargetConfig>,
    phase: Phase,
    params: Params,
    discovery: bool,
    decoder: PduDecoder,
    out: SendBuffer,
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_told: u32,
    tasks: Vec<Option<Task>>,
    in_hand: u32,
    events: VecDeque<TargetEvent>,
    pings: u32,
}

/// Writes the initiator has sent without being asked may not exceed this many task requests unanswered.
const IMMEDIATE_MOST: u32 = 8;

impl TargetConnection {
    pub fn new(terms: std::rc::Rc<TargetConfig>) -> Self {
        let wishes = terms.proposal;
        TargetConnection {
            terms,
            phase: Phase::Login(Box::new(TargetLogin::new(wishes))),
            params: Params::default(),
            discovery: false,
            decoder: PduDecoder::new(RECV_DEFAULT),
            out: SendBuffer::default(),
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_told: 0,
            tasks: Vec::new(),
            in_hand: 0,
            events: VecDeque::new(),
            pings: 0,
        }
    }

    /// Bytes for the wire.
    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.out
    }

    /// The next thing that came in.
    pub fn next_event(&mut self) -> Option<TargetEvent> {
        self.events.pop_front()
    }

    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::Full)
    }

    /// Nothing more is read; what is to be written still goes out.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing)
    }

    /// A PDU has begun to come in, or a command waits for its data.
    pub fn has_partial_request(&self) -> bool {
        self.decoder.is_mid_pdu() || self.tasks.iter().flatten().any(|t| !t.given)
    }

    pub fn in_flight(&self) -> u32 {
        self.in_hand
    }

    /// Bytes of memory held for this connection's buffers.
    pub fn allocated_bytes(&self) -> usize {
        self.decoder.allocated_bytes() + self.out.allocated_bytes()
    }

    /// Takes bytes as they come. Faults close the connection; what was answered before still goes out.
    pub fn receive(&mut self, mut input: &[u8], admit: &mut dyn LoginPolicy) -> Result<(), ProtocolError> {
        while !input.is_empty() && !self.is_closing() {
            match self.decoder.decode(&mut input) {
                Ok(None) => break,
                Ok(Some(pdu)) => self.pdu(pdu, admit)?,
                Err(FrameError::DataDigest(bhs)) => {
                    // Level 0 has no way to ask for the data again: the command cannot be finished.
                    self.reject(&bhs, reject::DATA_DIGEST);
                    return Err(ProtocolError(FrameError::DataDigest(bhs).to_string()));
                }
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    fn pdu(&mut self, pdu: Pdu, admit: &mut dyn LoginPolicy) -> Result<(), ProtocolError> {
        if let Phase::Login(_) = self.phase {
            return self.login(&pdu, admit);
        }
        let opcode = pdu.bhs.opcode();
        let known = matches!(
            opcode,
            opcode::NOP_OUT
                | opcode::SCSI_COMMAND
                | opcode::TASK_MANAGEMENT_REQUEST
                | opcode::TEXT_REQUEST
                | opcode::DATA_OUT
                | opcode::LOGOUT_REQUEST
        );
        if !known {
            if opcode == opcode::LOGIN_REQUEST || opcode & 0x20 != 0 {
                return Err(ProtocolError(format!("opcode {opcode:#04x} is not for the full feature phase")));
            }
            self.reject(&pdu.bhs, reject::UNSUPPORTED);
            return Ok(());
        }
        if opcode == opcode::DATA_OUT {
            return self.data_out(pdu);
        }
        if self.discovery
            && !matches!(opcode, opcode::TEXT_REQUEST | opcode::LOGOUT_REQUEST | opcode::NOP_OUT)
        {
            self.reject(&pdu.bhs, reject::PROTOCOL);
            return Ok(());
        }
        if !pdu.bhs.immediate() {
            let sn = pdu.bhs.sn();
            if sn != self.exp_cmd_sn {
                // Behind the window or past it: silently dropped (4.2.2.1). A gap cannot close: one connection.
                if sn_before(sn, self.exp_cmd_sn) || sn_before(self.max_told, sn) {
                    return Ok(());
                }
                return Err(ProtocolError(format!("CmdSN {sn}, expected {}", self.exp_cmd_sn)));
            }
            if sn_before(self.max_told, sn) {
                return Ok(());
            }
            self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(1);
        }
        match opcode {
            opcode::NOP_OUT => self.nop(&pdu),
            opcode::SCSI_COMMAND => self.command(pdu)?,
            opcode::TASK_MANAGEMENT_REQUEST => self.manage(&pdu.bhs),
            opcode::TEXT_REQUEST => self.text(&pdu)?,
            _ => self.logout(&pdu.bhs),
        }
        Ok(())
    }

    fn login(&mut self, pdu: &Pdu, admit: &mut dyn LoginPolicy) -> Result<(), ProtocolError> {
        let Phase::Login(login) = &mut self.phase else { return Ok(()) };
        if pdu.bhs.opcode() != opcode::LOGIN_REQUEST {
            return Err(ProtocolError(format!("opcode {:#04x}, expected a login request", pdu.bhs.opcode())));
        }
        self.exp_cmd_sn = pdu.bhs.sn();
        let step = login.request(pdu, admit);
        let params = login.params.clone();
        self.max_told = self.exp_cmd_sn.wrapping_add(self.terms.command_window).wrapping_sub(1);
        let bhs = step.bhs.with_sn(self.stat_sn).with_exp_sn(self.exp_cmd_sn).with_max_cmd_sn(self.max_told);
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.out.push(bhs, &step.data);
        match step.state {
            State::Going => {}
            State::Done(who) => {
                self.decoder.set_limits(params.digests, params.max_recv_data_segment);
                self.out.set_digests(params.digests);
                self.params = params;
                self.discovery = who.discovery;
                self.phase = Phase::Full;
                self.events.push_back(TargetEvent::LoggedIn(who));
            }
            State::Refused(refusal, why) => {
                self.phase = Phase::Closing;
                return Err(ProtocolError(format!(
                    "login refused ({:02x}{:02x}): {why}",
                    refusal.class, refusal.detail
                )));
            }
        }
        Ok(())
    }

    /// Serial numbers of a PDU to the initiator; `counts` where it takes a StatSN of its own.
    fn stamp(&mut self, bhs: Bhs, counts: bool) -> Bhs {
        let free = self.terms.command_window.saturating_sub(self.in_hand);
        let max = self.exp_cmd_sn.wrapping_add(free).wrapping_sub(1);
        // The window never shrinks from its far end (4.2.2.1).
        if sn_before(self.max_told, max) {
            self.max_told = max;
        }
        let bhs = bhs.with_sn(self.stat_sn).with_exp_sn(self.exp_cmd_sn).with_max_cmd_sn(self.max_told);
        if counts {
            self.stat_sn = self.stat_sn.wrapping_add(1);
        }
        bhs
    }

    fn reject(&mut self, of: &Bhs, reason: u8) {
        let bhs = Bhs::new(opcode::REJECT, flag::FINAL).with_byte(2, reason).with_itt(NO_TAG);
        let bhs = self.stamp(bhs, true);
        self.out.push(bhs, &of.0);
    }

    fn nop(&mut self, pdu: &Pdu) {
        self.events.push_back(TargetEvent::NopOut);
        if pdu.bhs.itt() == NO_TAG {
            self.pings = 0;
            return;
        }
        let mut bhs = Bhs::new(opcode::NOP_IN, flag::FINAL).with_itt(pdu.bhs.itt()).with_word20(NO_TAG);
        bhs.0[8..16].copy_from_slice(&pdu.bhs.0[8..16]);
        let bhs = self.stamp(bhs, true);
        let most = pdu.data.len().min(self.params.max_send_data_segment);
        self.out.push(bhs, &pdu.data[..most]);
    }

    /// Asks the initiator for a sign of life; how many such calls are unanswered.
    pub fn send_ping(&mut self) -> u32 {
        let bhs = Bhs::new(opcode::NOP_IN, flag::FINAL).with_itt(NO_TAG).with_word20(1);
        let bhs = self.stamp(bhs, false);
        self.out.push(bhs, &[]);
        self.pings += 1;
        self.pings
    }

    fn command(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        let (read, write) = (bhs.flags() & flag::READ != 0, bhs.flags() & flag::WRITE != 0);
        let expected = bhs.word20() as usize;
        if self.tasks.iter().flatten().any(|t| t.itt == bhs.itt()) || bhs.itt() == NO_TAG {
            return Err(ProtocolError(format!("task tag {:#x} is in use", bhs.itt())));
        }
        if write && (read || expected > self.terms.max_transfer_bytes) {
            self.answer_at_once(&bhs, Sense::INVALID_FIELD_IN_CDB);
            if write && !bhs.is_final() {
                return Err(ProtocolError(format!(
                    "write of {expected} bytes, at most {}",
                    self.terms.max_transfer_bytes
                )));
            }
            return Ok(());
        }
        if bhs.immediate() && self.in_hand >= self.terms.command_window + IMMEDIATE_MOST {
            self.reject(&bhs, reject::TOO_MANY_IMMEDIATE);
            return Ok(());
        }
        let unsolicited = self.params.first_burst_len.min(expected);
        if !pdu.data.is_empty() && (!self.params.immediate_data || !write || pdu.data.len() > unsolicited) {
            return Err(ProtocolError("immediate data past what was agreed".into()));
        }
        if write && !bhs.is_final() && self.params.initial_r2t {
            return Err(ProtocolError("unsolicited data where none was agreed".into()));
        }
        let at = match self.tasks.iter().position(Option::is_none) {
            Some(at) => at,
            None => {
                self.tasks.push(None);
                self.tasks.len() - 1
            }
        };
        let wanted = if write { expected } else { 0 };
        let mut data = pdu.data;
        if data.len() < wanted {
            data.reserve_exact(wanted - data.len());
        }
        self.tasks[at] = Some(Task {
            itt: bhs.itt(),
            lun: bhs.lun(),
            cdb: bhs.cdb(),
            room: if read { expected } else { 0 },
            read,
            data,
            expected: wanted,
            until: unsolicited,
            data_sn: 0,
            r2t_sn: 0,
            solicited: false,
            given: false,
        });
        self.in_hand += 1;
        if !write || bhs.is_final() {
            self.ask_or_give(at);
        }
        Ok(())
    }

    fn answer_at_once(&mut self, bhs: &Bhs, sense: Sense) {
        let out = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL)
            .with_byte(3, status::CHECK_CONDITION)
            .with_itt(bhs.itt());
        let out = self.stamp(out, true);
        self.out.push(out, &sense_segment(sense));
    }

    /// A burst is in: the next is asked for, or the command is whole.
    fn ask_or_give(&mut self, at: usize) {
        let task = self.tasks[at].as_mut().expect("in hand");
        let have = task.data.len();
        if have >= task.expected {
            task.given = true;
            let (lun, cdb, room, data) = (task.lun, task.cdb, task.room, std::mem::take(&mut task.data));
            self.events.push_back(TargetEvent::Command { task: at as u32, lun, cdb, read_len: room, data });
            return;
        }
        let len = (task.expected - have).min(self.params.max_burst_len);
        task.until = have + len;
        task.solicited = true;
        task.data_sn = 0;
        let bhs = Bhs::new(opcode::R2T, flag::FINAL)
            .with_lun(task.lun.unwrap_or(0))
            .with_itt(task.itt)
            .with_word20(at as u32)
            .with_data_sn(task.r2t_sn)
            .with_offset(have as u32)
            .with_word44(len as u32);
        task.r2t_sn += 1;
        let bhs = self.stamp(bhs, false);
        self.out.push(bhs, &[]);
    }

    fn data_out(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        let found = self.tasks.iter().position(|t| t.as_ref().is_some_and(|t| t.itt == bhs.itt()));
        let Some(at) = found else {
            // Data on its way for a command that was aborted or answered meanwhile.
            return Ok(());
        };
        let task = self.tasks[at].as_mut().expect("found");
        if task.given {
            return Ok(());
        }
        let solicited = bhs.word20() != NO_TAG;
        let off = bhs.offset() as usize;
        if solicited != task.solicited || solicited && bhs.word20() != at as u32 {
            return Err(ProtocolError(format!("data for transfer tag {:#x}, not asked for", bhs.word20())));
        }
        if bhs.data_sn() != task.data_sn || off != task.data.len() {
            return Err(ProtocolError(format!("data at {off}, expected at {} in order", task.data.len())));
        }
        if off + pdu.data.len() > task.until {
            return Err(ProtocolError(format!(
                "data to {}, expected up to {}",
                off + pdu.data.len(),
                task.until
            )));
        }
        if pdu.data.is_empty() && !bhs.is_final() {
            return Err(ProtocolError("data PDU without data".into()));
        }
        task.data.extend_from_slice(&pdu.data);
        task.data_sn += 1;
        if bhs.is_final() {
            if solicited && task.data.len() < task.until {
                return Err(ProtocolError("burst ended short of what was asked for".into()));
            }
            self.ask_or_give(at);
        } else if task.data.len() == task.until && solicited {
            return Err(ProtocolError("burst goes on past what was asked for".into()));
        }
        Ok(())
    }

    fn manage(&mut self, bhs: &Bhs) {
        let function = bhs.flags() & 0x7f;
        let mut answer = task::COMPLETE;
        match function {
            task::ABORT_TASK => {
                let tag = bhs.word20();
                match self.tasks.iter().position(|t| t.as_ref().is_some_and(|t| t.itt == tag)) {
                    Some(at) => self.abort(at),
                    None => answer = task::NO_SUCH_TASK,
                }
            }
            task::ABORT_TASK_SET | task::LUN_RESET => {
                for at in 0..self.tasks.len() {
                    if self.tasks[at].as_ref().is_some_and(|t| t.lun == bhs.lun()) {
                        self.abort(at);
                    }
                }
            }
            task::TARGET_WARM_RESET => {
                for at in 0..self.tasks.len() {
                    self.abort(at);
                }
            }
            _ => answer = task::NOT_SUPPORTED,
        }
        let out =
            Bhs::new(opcode::TASK_MANAGEMENT_RESPONSE, flag::FINAL).with_byte(2, answer).with_itt(bhs.itt());
        let out = self.stamp(out, true);
        self.out.push(out, &[]);
    }

    fn abort(&mut self, at: usize) {
        if let Some(task) = self.tasks[at].take() {
            self.in_hand -= 1;
            if task.given {
                self.events.push_back(TargetEvent::CommandAborted { task: at as u32 });
            }
        }
    }

    fn text(&mut self, pdu: &Pdu) -> Result<(), ProtocolError> {
        let pairs = text::pairs(&pdu.data).map_err(|e| ProtocolError(e.0))?;
        let mut out = Vec::new();
        for (key, value) in pairs {
            if key == "SendTargets" {
                let all = value == "All" || value.is_empty();
                for name in self.terms.target_names.iter().filter(|n| all || *n == value) {
                    text::put(&mut out, "TargetName", name);
                    text::put(&mut out, "TargetAddress", &format!("{},1", self.terms.portal_address));
                }
            } else {
                text::put(&mut out, key, "NotUnderstood");
            }
        }
        if out.len() > self.params.max_send_data_segment {
            return Err(ProtocolError("list of targets past the initiator's segment".into()));
        }
        let bhs = Bhs::new(opcode::TEXT_RESPONSE, flag::FINAL).with_itt(pdu.bhs.itt()).with_word20(NO_TAG);
        let bhs = self.stamp(bhs, true);
        self.out.push(bhs, &out);
        Ok(())
    }

    fn logout(&mut self, bhs: &Bhs) {
        let out = Bhs::new(opcode::LOGOUT_RESPONSE, flag::FINAL)
            .with_itt(bhs.itt())
            .with_u16(40, self.params.time2wait)
            .with_u16(42, self.params.time2retain);
        let out = self.stamp(out, true);
        self.out.push(out, &[]);
        self.phase = Phase::Closing;
        self.events.push_back(TargetEvent::Logout);
    }

    /// Asks the initiator to log out within so many seconds (section 11.9, event 1).
    pub fn request_logout(&mut self, within: u16) {
        let bhs = Bhs::new(opcode::ASYNC_MESSAGE, flag::FINAL)
            .with_itt(NO_TAG)
            .with_byte(36, 1)
            .with_u16(42, within);
        let bhs = self.stamp(bhs, true);
        self.out.push(bhs, &[]);
    }

    fn end(&mut self, at: u32) -> Option<Task> {
        let task = self.tasks.get_mut(at as usize)?.take()?;
        self.in_hand -= 1;
        Some(task)
    }

    /// GOOD, with the data of a read: no longer than the initiator has room for. Nothing if the task is gone.
    pub fn complete(&mut self, task: u32, data: &[u8]) {
        let Some(task) = self.end(task) else { return };
        let sent = data.len().min(task.room);
        let (mut residual, mut bits) = (0, 0);
        if data.len() > task.room {
            (residual, bits) = (data.len() - task.room, flag::OVERFLOW);
        } else if task.read && data.len() < task.room {
            (residual, bits) = (task.room - data.len(), flag::UNDERFLOW);
        }
        let mut at = 0;
        let mut data_sn = 0;
        while at < sent {
            let len = (sent - at).min(self.params.max_send_data_segment);
            let last = at + len == sent;
            let bhs = Bhs::new(opcode::DATA_IN, if last { flag::FINAL | flag::STATUS | bits } else { 0 })
                .with_itt(task.itt)
                .with_word20(NO_TAG);
            let bhs = self.stamp(bhs, last).with_data_sn(data_sn).with_offset(at as u32);
            let bhs = if last { bhs.with_word44(residual as u32) } else { bhs.with_sn(0) };
            self.out.push(bhs, &data[at..at + len]);
            at += len;
            data_sn += 1;
        }
        if sent == 0 {
            let bhs = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL | bits).with_itt(task.itt);
            let bhs = self.stamp(bhs, true).with_word44(residual as u32);
            self.out.push(bhs, &[]);
        }
    }

    /// Any other status. `retry_after`: of a BUSY or TASK SET FULL, when to try again in tenths of a second
    /// (RFC 7144, status qualifier; told only where level 2 was agreed). Nothing if the task is gone.
    pub fn complete_with_status(&mut self, task: u32, code: u8, sense: Option<Sense>, retry_after: u16) {
        let Some(task) = self.end(task) else { return };
        let (residual, bits) = if task.room > 0 { (task.room, flag::UNDERFLOW) } else { (0, 0) };
        let qualifier = if self.params.level >= 2 { retry_after.min(0x3fef) } else { 0 };
        let bhs = Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL | bits)
            .with_byte(3, code)
            .with_u16(8, qualifier)
            .with_itt(task.itt);
        let bhs = self.stamp(bhs, true).with_word44(residual as u32);
        match sense {
            Some(sense) => self.out.push(bhs, &sense_segment(sense)),
            None => self.out.push(bhs, &[]),
        }
    }
}

/// Sense data behind its length (section 11.4.7).
fn sense_segment(sense: Sense) -> [u8; 20] {
    let mut out = [0; 20];
    out[1] = 18;
    out[2..].copy_from_slice(&sense.to_fixed_format());
    out
}
