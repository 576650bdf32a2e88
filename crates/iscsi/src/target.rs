//! Connection of a target and the session on it. A session has one connection and error recovery level 0.
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

/// Configuration of a target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Parameters to propose in the negotiation of a session.
    pub proposal: ProposedParams,
    /// Maximum number of commands in flight, announced to the initiator by `MaxCmdSN`.
    pub command_window: u32,
    /// Maximum length of a write, in bytes.
    pub max_transfer_bytes: usize,
    /// Names of the targets, for `SendTargets`.
    pub target_names: Vec<String>,
    /// Address and port of the portal, for `SendTargets`.
    pub portal_address: String,
}

/// Event that results from the PDUs of an initiator. A `task` identifies a command until it is completed or aborted.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The login is complete.
    LoggedIn(LoginIdentity),
    /// A command was received together with all the data that it writes.
    Command {
        /// Identifies the command in calls of `complete` and `complete_with_status`.
        task: u32,
        /// LUN; `None` if its addressing method is not supported.
        lun: Option<u32>,
        /// Command descriptor block.
        cdb: [u8; 16],
        /// Number of bytes that the initiator expects to read.
        read_len: usize,
        /// Data that the command writes.
        data: Vec<u8>,
    },
    /// A task management function aborted a command, which must not be completed from now on. Its `task` may be reused
    /// for another command after this event.
    CommandAborted {
        /// Identifies the command that was aborted.
        task: u32,
    },
    /// The initiator logged out; the connection is to be closed once the response is sent.
    Logout,
    /// The initiator sent a NOP-Out, which shows that it is alive.
    NopOut,
}

/// Phase of a connection.
enum Phase {
    /// The login is not complete.
    Login(Box<TargetLogin>),
    /// Logged in to a discovery session, which does not allow SCSI commands.
    Discovery,
    /// Logged in to a normal session.
    FullFeature,
    /// Received bytes are ignored, and the connection closes once the send buffer is sent.
    Closing,
}

/// Connection of a target. The caller transfers bytes between it and a socket.
pub struct TargetConnection {
    config: Rc<TargetConfig>,
    phase: Phase,
    params: SessionParams,
    decoder: PduDecoder,
    send_buffer: SendBuffer,
    sequence: TargetSequence,
    tasks: TaskTable,
    events: VecDeque<TargetEvent>,
    /// Number of NOP-Ins sent since the initiator last answered one.
    unanswered_pings: u32,
}

impl TargetConnection {
    /// Returns a newly accepted connection, which expects a login request.
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

    /// Returns the buffer with the bytes to send.
    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.send_buffer
    }

    /// Removes and returns the next event.
    pub fn next_event(&mut self) -> Option<TargetEvent> {
        self.events.pop_front()
    }

    /// Returns whether [`next_event`](Self::next_event) has an event to return.
    pub fn has_event(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns whether the session is in the full feature phase.
    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::FullFeature | Phase::Discovery)
    }

    /// Returns whether the connection is closing: received bytes are ignored, but the send buffer is still to be sent.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing)
    }

    /// Returns whether a PDU has been received in part or a command is waiting for data.
    pub fn has_partial_request(&self) -> bool {
        self.decoder.is_mid_pdu() || self.tasks.any_awaits_data()
    }

    /// Returns the number of commands that are neither completed nor aborted.
    pub fn in_flight(&self) -> u32 {
        self.tasks.len()
    }

    /// Returns the memory allocated for the buffers of the connection, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.decoder.allocated_bytes()
            + self.send_buffer.allocated_bytes()
            + self.tasks.received_bytes()
    }

    /// Returns the number of bytes that are held for the client: received parts of PDUs and of writes, and unsent answers.
    pub fn held_bytes(&self) -> usize {
        let unsent = self.send_buffer.unsent().len();
        self.decoder.received_bytes() + unsent + self.tasks.received_bytes()
    }

    /// Sends a NOP-In that requests an answer. Returns the number of unanswered ones, including this one.
    pub fn send_ping(&mut self) -> u32 {
        let bhs = Bhs::new(opcode::NOP_IN, flag::FINAL)
            .with_itt(RESERVED_TAG)
            .with_target_transfer_tag(1);
        self.send_request(bhs, &[]);
        self.unanswered_pings += 1;
        self.unanswered_pings
    }

    /// Requests that the initiator log out within `within_seconds` (section 11.9.1, event 1).
    pub fn request_logout(&mut self, within_seconds: u16) {
        let bhs = Bhs::new(opcode::ASYNC_MESSAGE, flag::FINAL)
            .with_itt(RESERVED_TAG)
            .with_async_event(async_event::LOGOUT_REQUEST, within_seconds);
        self.send_response(bhs, &[]);
    }

    /// Sends a PDU that advances `StatSN`.
    fn send_response(&mut self, bhs: Bhs, data: &[u8]) {
        let stat_sn = self.sequence.take_stat_sn();
        self.send_numbered(bhs, stat_sn, data);
    }

    /// Sends a PDU that carries the next `StatSN` without advancing it.
    fn send_request(&mut self, bhs: Bhs, data: &[u8]) {
        self.send_numbered(bhs, self.sequence.next_stat_sn(), data);
    }

    /// Sends a PDU with a `StatSN`, after extending the command window as far as the commands in flight allow.
    fn send_numbered(&mut self, bhs: Bhs, stat_sn: u32, data: &[u8]) {
        let free = self.config.command_window.saturating_sub(self.tasks.len());
        self.sequence.open_window(free);
        self.send_buffer
            .push(self.sequence.number(bhs, stat_sn), data);
    }
}
