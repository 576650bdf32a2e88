//! Connection of an initiator and the session on it.
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

/// Initiator task tags of requests other than SCSI commands. The tags of commands are smaller than all of these.
mod reserved_itt {
    /// Bit that is set in the tag of an ABORT TASK; the other bits are the tag of the command to abort.
    pub(super) const ABORT_TASK_BIT: u32 = 0x8000_0000;
    /// Tag of a LOGICAL UNIT RESET.
    pub(super) const LOGICAL_UNIT_RESET: u32 = 0xfffe_ffff;
    /// Tag of a logout request.
    pub(super) const LOGOUT: u32 = 0xfffd_ffff;
    /// Tag of a text request.
    pub(super) const TEXT: u32 = 0xfffc_ffff;
}

/// Event that results from the PDUs of a target. A `tag` is the one that the caller gave the command.
#[derive(Debug, PartialEq, Eq)]
pub enum InitiatorEvent {
    /// The login is complete: commands can be sent.
    LoggedIn,
    /// A command was completed with a status.
    CommandCompleted {
        /// Tag of the command.
        tag: u32,
        /// SCSI status. It is also CHECK CONDITION if the response code reports a failure of the target.
        status: u8,
        /// Sense data, if the response had any in fixed format.
        sense: Option<Sense>,
        /// Data that was read.
        data: Vec<u8>,
        /// Delay after which to retry, in units of 100 ms, if the target stated one in the status qualifier (RFC 7144).
        retry_after: Option<NonZeroU16>,
    },
    /// The target rejected the PDU of a command and did not execute the command.
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
    /// The target requests a logout.
    LogoutRequested,
    /// The target answered the logout request.
    LoggedOut,
    /// The target answered a text request. Holds the text of the response.
    TextResponse(Vec<u8>),
}

/// Phase of a connection.
enum Phase {
    Login(Box<InitiatorLogin>),
    FullFeature,
    LoggedOut,
}

/// Connection of an initiator. The caller transfers bytes between it and a socket.
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
    /// Returns a connection whose send buffer holds the first login request. `target` is `None` for a discovery
    /// session.
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

    /// Returns the buffer with the bytes to send.
    pub fn send_buffer(&mut self) -> &mut SendBuffer {
        &mut self.send_buffer
    }

    /// Removes and returns the next event.
    pub fn next_event(&mut self) -> Option<InitiatorEvent> {
        self.events.pop_front()
    }

    /// Returns whether the session is in the full feature phase.
    pub fn is_logged_in(&self) -> bool {
        matches!(self.phase, Phase::FullFeature)
    }

    /// Returns whether a command can be sent now: the session is logged in and the command window of the target is
    /// open.
    pub fn can_send(&self) -> bool {
        self.is_logged_in() && self.sequence.is_window_open()
    }

    /// Sends a command that reads up to `read_len` bytes or writes `write_data`. Returns false, and sends nothing,
    /// if a command cannot be sent now.
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
            stream_end: stream_offset,
            aborted: false,
        };
        if data_out_follows {
            self.send_burst(&mut command, RESERVED_TAG, unsolicited);
        }
        command.stream_end = self.send_buffer.end_offset();
        self.commands.insert(index, command);
        true
    }

    /// Returns how many bytes of the unsolicited data of a command are sent as immediate data, in the PDU of the
    /// command.
    fn immediate_len(&self, unsolicited_len: usize) -> usize {
        if self.params.immediate_data {
            unsolicited_len.min(self.params.max_send_data_segment)
        } else {
            0
        }
    }

    /// Sends the unsent data of a command up to the buffer offset `end`, in Data-Out PDUs.
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

    /// Returns whether any byte of a command has been written to the stream; false for a command that is not in flight.
    pub fn has_started_sending(&self, tag: u32) -> bool {
        let sent = self.send_buffer.sent_bytes();
        self.commands
            .iter()
            .any(|command| command.tag == tag && command.stream_offset < sent)
    }

    /// Takes back the command that was sent last, if none of its bytes has been written to the stream and nothing was
    /// sent after it. The target then never learns of it. Returns whether it was taken back.
    pub fn take_back_command(&mut self, tag: u32) -> bool {
        let (written, end) = (self.send_buffer.sent_bytes(), self.send_buffer.end_offset());
        let unwritten = self.commands.iter().find(|command| {
            command.tag == tag && command.stream_offset >= written && command.stream_end == end
        });
        let Some((itt, offset)) = unwritten.map(|command| (command.itt, command.stream_offset))
        else {
            return false;
        };
        self.commands.remove(itt);
        self.send_buffer.truncate(offset);
        self.sequence.take_back_number();
        true
    }

    /// Requests that the target abort a command. Its completion is not reported from now on.
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

    /// Requests a reset of a logical unit, after which the target does not answer commands that were in flight there.
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

    /// Requests a logout, with which the target closes the session.
    pub fn send_logout_request(&mut self) {
        let bhs = self.immediate_request(opcode::LOGOUT_REQUEST, reserved_itt::LOGOUT);
        self.send_buffer.push(bhs, &[]);
    }

    /// Returns the header of a request for immediate delivery.
    fn immediate_request(&self, opcode: u8, itt: u32) -> Bhs {
        let bhs = Bhs::new(opcode, flag::FINAL).with_immediate().with_itt(itt);
        self.sequence.number_immediate(bhs)
    }

    /// Sends a text request that fits one PDU, such as `SendTargets=All`.
    pub fn send_text_request(&mut self, data: &[u8]) {
        let bhs = Bhs::new(opcode::TEXT_REQUEST, flag::FINAL)
            .with_itt(reserved_itt::TEXT)
            .with_target_transfer_tag(RESERVED_TAG);
        self.send_buffer.push(self.sequence.number(bhs), data);
    }

    /// Returns the tags of the commands in flight, without those that were aborted.
    pub fn in_flight_tags(&self) -> impl Iterator<Item = u32> + '_ {
        self.commands
            .iter()
            .filter(|command| !command.aborted)
            .map(|command| command.tag)
    }

    /// Returns the number of commands in flight, including aborted ones for which the target has not answered the ABORT
    /// TASK.
    pub fn in_flight(&self) -> usize {
        self.commands.iter().count()
    }

    /// Returns the number of final responses received for commands that were not in flight, such as duplicate answers.
    pub fn unmatched_responses(&self) -> u64 {
        self.unmatched_responses
    }
}

/// Returns the header of a SCSI command, without tag and sequence numbers.
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
