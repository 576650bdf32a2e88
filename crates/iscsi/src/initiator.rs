//! One connection of an initiator, and the session on it.
mod command_table;
mod payload;
mod receive;
mod sequence;
mod transfer;

pub use payload::Payload;

use crate::frame::{PduDecoder, SendBuffer};
use crate::login::InitiatorLogin;
use crate::params::{DEFAULT_MAX_RECV_DATA_SEGMENT, ProposedParams, SessionParams};
use crate::pdu::{Bhs, RESERVED_TAG, flag, opcode, task_function};
use crate::scsi::Sense;
use command_table::{CommandTable, InFlightCommand};
use sequence::InitiatorSequence;
use std::collections::VecDeque;
use std::num::NonZeroU16;
use transfer::{ReadTransfer, WriteTransfer};

/// Initiator task tags of requests that are no SCSI commands. A command's tag is below all of them.
mod reserved_itt {
    /// Set in the tag of an ABORT TASK; the other bits are the tag of the command to abort.
    pub(super) const ABORT_TASK_BIT: u32 = 0x8000_0000;
    /// A LOGICAL UNIT RESET.
    pub(super) const LOGICAL_UNIT_RESET: u32 = 0xfffe_ffff;
    /// A logout request.
    pub(super) const LOGOUT: u32 = 0xfffd_ffff;
    /// A text request.
    pub(super) const TEXT: u32 = 0xfffc_ffff;
}

/// What a target's PDUs led to. A `tag` is the one that the caller gave the command.
#[derive(Debug, PartialEq, Eq)]
pub enum InitiatorEvent {
    /// The login is complete: commands can be sent.
    LoggedIn,
    /// A command ended with a status.
    CommandCompleted {
        /// Tag of the command.
        tag: u32,
        /// SCSI status; CHECK CONDITION also where the target reported that it failed itself.
        status: u8,
        /// Sense data, if there was any in fixed format.
        sense: Option<Sense>,
        /// The data that was read.
        data: Vec<u8>,
        /// When to retry, in units of 100 ms (RFC 7144, status qualifier), if the target said so.
        retry_after: Option<NonZeroU16>,
    },
    /// The target rejected the PDU of a command and did not run it.
    CommandRejected {
        /// Tag of the command.
        tag: u32,
        /// Reason of the Reject (section 11.17.1).
        reason: u8,
    },
    /// The target answered an ABORT TASK: the command will not complete.
    CommandAborted {
        /// Tag of the command.
        tag: u32,
    },
    /// The target asks for a logout.
    LogoutRequested,
    /// The target answered the logout request.
    LoggedOut,
    /// The answer to a text request.
    TextResponse(Vec<u8>),
}

enum Phase {
    Login(Box<InitiatorLogin>),
    FullFeature,
    LoggedOut,
}

/// One connection of an initiator. The caller moves bytes between it and a socket.
pub struct InitiatorConnection {
    phase: Phase,
    params: SessionParams,
    decoder: PduDecoder,
    send_buffer: SendBuffer,
    sequence: InitiatorSequence,
    commands: CommandTable,
    unmatched_responses: u64,
    events: VecDeque<InitiatorEvent>,
}

impl InitiatorConnection {
    /// Opens with a login request. `target` is none for a discovery session.
    pub fn new(name: &str, target: Option<&str>, isid: [u8; 6], proposal: &ProposedParams) -> Self {
        let (login, bhs, data) = InitiatorLogin::start(name, target, isid, proposal);
        let mut send_buffer = SendBuffer::default();
        let sequence = InitiatorSequence::new();
        send_buffer.push(bhs.with_cmd_sn(sequence.cmd_sn()), &data);
        let max_data_segment = DEFAULT_MAX_RECV_DATA_SEGMENT.max(proposal.max_recv_data_segment);
        InitiatorConnection {
            phase: Phase::Login(Box::new(login)),
            params: SessionParams::default(),
            decoder: PduDecoder::new(max_data_segment),
            send_buffer,
            sequence,
            commands: CommandTable::default(),
            unmatched_responses: 0,
            events: VecDeque::new(),
        }
    }

    /// The bytes to send.
    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.send_buffer
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<InitiatorEvent> {
        self.events.pop_front()
    }

    /// Whether the session is in the full feature phase.
    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::FullFeature)
    }

    /// Whether the target's command window takes another command now.
    pub fn can_send(&self) -> bool {
        self.is_logged_in() && self.sequence.is_window_open()
    }

    /// Sends a command: up to `read_len` bytes are expected back, `write_data` goes out with it. Returns
    /// false, and sends nothing, while the target's command window is closed.
    pub fn send_command(
        &mut self,
        tag: u32,
        lun: u32,
        cdb: &[u8; 16],
        read_len: usize,
        write_data: Payload,
    ) -> bool {
        if !self.can_send() {
            return false;
        }
        let data = write_data.bytes();
        let unsolicited = data.len().min(self.params.first_burst_len);
        let immediate = self.immediate_len(unsolicited);
        let data_out_follows = !self.params.initial_r2t && immediate < unsolicited;
        let (index, itt) = self.commands.reserve();
        let bhs = command_header(lun, cdb, read_len, data.len(), data_out_follows).with_itt(itt);
        let bhs = self.sequence.number(bhs);
        let stream_offset = self.send_buffer.end_offset();
        self.send_buffer
            .push(bhs, data.get(..immediate).unwrap_or_default());
        let mut command = InFlightCommand {
            tag,
            itt,
            lun,
            read: ReadTransfer::new(read_len),
            write: WriteTransfer::new(write_data, immediate),
            stream_offset,
            aborted: false,
        };
        if data_out_follows {
            self.send_burst(&mut command, RESERVED_TAG, unsolicited);
        }
        self.commands.insert(index, command);
        true
    }

    /// How much of a command's unsolicited data goes into the PDU of the command itself.
    fn immediate_len(&self, unsolicited_len: usize) -> usize {
        if self.params.immediate_data {
            unsolicited_len.min(self.params.max_send_data_segment)
        } else {
            0
        }
    }

    /// Sends a command's unsent data up to an offset.
    fn send_burst(&mut self, command: &mut InFlightCommand, transfer_tag: u32, end: usize) {
        let max_len = self.params.max_send_data_segment;
        let mut data_sn = 0;
        while let Some(segment) = command.write.next_segment(end, max_len) {
            let flags = if segment.is_last { flag::FINAL } else { 0 };
            let bhs = Bhs::new(opcode::DATA_OUT, flags)
                .with_lun(command.lun)
                .with_itt(command.itt)
                .with_target_transfer_tag(transfer_tag)
                .with_data_sn(data_sn)
                .with_buffer_offset(segment.offset as u32);
            self.send_buffer
                .push(self.sequence.acknowledge(bhs), segment.bytes);
            data_sn += 1;
        }
    }

    /// Whether any byte of a command has been written to the stream. False for one that is not in flight.
    pub fn has_started_sending(&self, tag: u32) -> bool {
        let sent = self.send_buffer.sent_bytes();
        self.commands
            .iter()
            .any(|command| command.tag == tag && command.stream_offset < sent)
    }

    /// Asks the target to abort a command. No completion is reported for it any more.
    pub fn abort_task(&mut self, tag: u32) {
        let Some(command) = self.commands.start_abort(tag) else {
            return;
        };
        let lun = command.lun;
        let itt = command.itt;
        let bhs = self
            .immediate_request(
                opcode::TASK_MANAGEMENT_REQUEST,
                itt | reserved_itt::ABORT_TASK_BIT,
            )
            .with_byte(1, flag::FINAL | task_function::ABORT_TASK)
            .with_lun(lun)
            .with_referenced_task_tag(itt)
            .with_ref_cmd_sn(self.sequence.cmd_sn());
        self.send_buffer.push(bhs, &[]);
    }

    /// Resets a logical unit: the target answers none of its commands any more.
    pub fn reset_logical_unit(&mut self, lun: u32) {
        let bhs = self
            .immediate_request(
                opcode::TASK_MANAGEMENT_REQUEST,
                reserved_itt::LOGICAL_UNIT_RESET,
            )
            .with_byte(1, flag::FINAL | task_function::LOGICAL_UNIT_RESET)
            .with_lun(lun)
            .with_referenced_task_tag(RESERVED_TAG);
        self.send_buffer.push(bhs, &[]);
    }

    /// Asks the target to close the session.
    pub fn send_logout_request(&mut self) {
        let bhs = self.immediate_request(opcode::LOGOUT_REQUEST, reserved_itt::LOGOUT);
        self.send_buffer.push(bhs, &[]);
    }

    /// The header of a request for immediate delivery.
    fn immediate_request(&self, opcode: u8, itt: u32) -> Bhs {
        let bhs = Bhs::new(opcode, flag::FINAL).with_immediate().with_itt(itt);
        self.sequence.number_immediate(bhs)
    }

    /// Sends a text request of one PDU, such as `SendTargets=All`.
    pub fn send_text_request(&mut self, data: &[u8]) {
        let bhs = Bhs::new(opcode::TEXT_REQUEST, flag::FINAL)
            .with_itt(reserved_itt::TEXT)
            .with_target_transfer_tag(RESERVED_TAG);
        self.send_buffer.push(self.sequence.number(bhs), data);
    }

    /// Tags of the commands in flight that have not been aborted.
    pub fn in_flight_tags(&self) -> impl Iterator<Item = u32> + '_ {
        self.commands
            .iter()
            .filter(|command| !command.aborted)
            .map(|command| command.tag)
    }

    /// Number of commands in flight, with those aborted that the target has not confirmed.
    pub fn in_flight(&self) -> usize {
        self.commands.iter().count()
    }

    /// Number of final responses that belonged to no command in flight: of a target that answers twice.
    pub fn unmatched_responses(&self) -> u64 {
        self.unmatched_responses
    }
}

/// The header of a SCSI command, without its tag and sequence numbers.
fn command_header(
    lun: u32,
    cdb: &[u8; 16],
    read_len: usize,
    write_len: usize,
    data_out_follows: bool,
) -> Bhs {
    let direction = match (write_len, read_len) {
        (1.., _) => flag::WRITE,
        (0, 1..) => flag::READ,
        (0, 0) => 0,
    };
    let final_flag = if data_out_follows { 0 } else { flag::FINAL };
    let expected_len = if write_len > 0 { write_len } else { read_len };
    Bhs::new(opcode::SCSI_COMMAND, direction | flag::SIMPLE | final_flag)
        .with_lun(lun)
        .with_expected_data_len(expected_len as u32)
        .with_cdb(cdb)
}
