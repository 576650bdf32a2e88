//! One connection of a target, and the session on it (one connection a session, error recovery level 0).
mod complete;
mod data_out;
mod receive;
mod sequence;
mod task_management;
mod task_table;
mod write_transfer;

use crate::frame::{PduDecoder, SendBuffer};
use crate::login::{LoginIdentity, TargetLogin};
use crate::params::{DEFAULT_MAX_RECV_DATA_SEGMENT, ProposedParams, SessionParams};
use crate::pdu::{Bhs, RESERVED_TAG, async_event, flag, opcode};
use sequence::TargetSequence;
use std::collections::VecDeque;
use std::rc::Rc;
use task_table::TaskTable;

/// What a target is and allows.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// What to propose in the negotiation of a session.
    pub proposal: ProposedParams,
    /// Most commands in flight, announced to the initiator by `MaxCmdSN`.
    pub command_window: u32,
    /// Largest write in bytes.
    pub max_transfer_bytes: usize,
    /// Names of the targets, for `SendTargets`.
    pub target_names: Vec<String>,
    /// Address and port of the portal, for `SendTargets`.
    pub portal_address: String,
}

/// What an initiator's PDUs led to. `task` names a command until it is completed or aborted.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The login is complete.
    LoggedIn(LoginIdentity),
    /// A command was received, with all the data that it writes.
    Command {
        /// Names the command to `complete` and `complete_with_status`.
        task: u32,
        /// Logical unit; none where its addressing method is unknown here.
        lun: Option<u32>,
        /// Command descriptor block.
        cdb: [u8; 16],
        /// Bytes that the initiator expects to read.
        read_len: usize,
        /// The data that is written.
        data: Vec<u8>,
    },
    /// A task management function aborted a command. It is not to be completed any more, and its `task` may
    /// be given to another command once this event is taken.
    CommandAborted {
        /// The command.
        task: u32,
    },
    /// The initiator logged out; the connection closes once the response is sent.
    Logout,
    /// The initiator sent a NOP-Out: it is alive.
    NopOut,
}

/// How far a connection has come.
enum Phase {
    Login(Box<TargetLogin>),
    /// Logged in to a discovery session, which has no commands.
    Discovery,
    /// Logged in to a normal session.
    FullFeature,
    /// Nothing more is received.
    Closing,
}

/// One connection of a target. The caller moves bytes between it and a socket.
pub struct TargetConnection {
    config: Rc<TargetConfig>,
    phase: Phase,
    params: SessionParams,
    decoder: PduDecoder,
    send_buffer: SendBuffer,
    sequence: TargetSequence,
    tasks: TaskTable,
    events: VecDeque<TargetEvent>,
    /// NOP-Ins since the initiator last answered one.
    unanswered_pings: u32,
}

impl TargetConnection {
    /// A connection that was accepted and waits for its login.
    pub fn new(config: Rc<TargetConfig>) -> Self {
        let proposal = config.proposal;
        TargetConnection {
            config,
            phase: Phase::Login(Box::new(TargetLogin::new(proposal))),
            params: SessionParams::default(),
            decoder: PduDecoder::new(DEFAULT_MAX_RECV_DATA_SEGMENT),
            send_buffer: SendBuffer::default(),
            sequence: TargetSequence::new(),
            tasks: TaskTable::default(),
            events: VecDeque::new(),
            unanswered_pings: 0,
        }
    }

    /// The bytes to send.
    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.send_buffer
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<TargetEvent> {
        self.events.pop_front()
    }

    /// Whether the session is in the full feature phase.
    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::FullFeature | Phase::Discovery)
    }

    /// Whether the connection closes: nothing more is received, but the send buffer is still to be sent.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing)
    }

    /// Whether a PDU has begun to come in, or a command waits for its data.
    pub fn has_partial_request(&self) -> bool {
        self.decoder.is_mid_pdu() || self.tasks.any_awaits_data()
    }

    /// Number of commands that are neither completed nor aborted.
    pub fn in_flight(&self) -> u32 {
        self.tasks.len()
    }

    /// Bytes of memory allocated for this connection's buffers.
    pub fn allocated_bytes(&self) -> usize {
        self.decoder.allocated_bytes() + self.send_buffer.allocated_bytes()
    }

    /// Sends a NOP-In that asks for an answer. Returns how many of them, with this one, are unanswered.
    pub fn send_ping(&mut self) -> u32 {
        let bhs = Bhs::new(opcode::NOP_IN, flag::FINAL)
            .with_itt(RESERVED_TAG)
            .with_target_transfer_tag(1);
        self.send_request(bhs, &[]);
        self.unanswered_pings += 1;
        self.unanswered_pings
    }

    /// Asks the initiator to log out within so many seconds (section 11.9.1, event 1).
    pub fn request_logout(&mut self, within: u16) {
        let bhs = Bhs::new(opcode::ASYNC_MESSAGE, flag::FINAL)
            .with_itt(RESERVED_TAG)
            .with_async_event(async_event::LOGOUT_REQUEST, within);
        self.send_response(bhs, &[]);
    }

    /// Sends a PDU that takes a `StatSN` of its own.
    fn send_response(&mut self, bhs: Bhs, data: &[u8]) {
        let stat_sn = self.sequence.take_stat_sn();
        self.send_numbered(bhs, stat_sn, data);
    }

    /// Sends a PDU that names the next `StatSN` without taking it.
    fn send_request(&mut self, bhs: Bhs, data: &[u8]) {
        self.send_numbered(bhs, self.sequence.next_stat_sn(), data);
    }

    /// Sends a PDU with a `StatSN`, and with the command window as far as the commands in flight allow.
    fn send_numbered(&mut self, bhs: Bhs, stat_sn: u32, data: &[u8]) {
        let free = self.config.command_window.saturating_sub(self.tasks.len());
        self.sequence.open_window(free);
        self.send_buffer
            .push(self.sequence.number(bhs, stat_sn), data);
    }
}
