//! Codes in the fields of PDUs: opcodes, flags, functions, responses, reasons and events.

/// Opcodes (section 11.2.1.2).
pub mod opcode {
    /// NOP-Out.
    pub const NOP_OUT: u8 = 0x00;
    /// SCSI Command.
    pub const SCSI_COMMAND: u8 = 0x01;
    /// SCSI Task Management Function Request.
    pub const TASK_MANAGEMENT_REQUEST: u8 = 0x02;
    /// Login Request.
    pub const LOGIN_REQUEST: u8 = 0x03;
    /// Text Request.
    pub const TEXT_REQUEST: u8 = 0x04;
    /// SCSI Data-Out.
    pub const DATA_OUT: u8 = 0x05;
    /// Logout Request.
    pub const LOGOUT_REQUEST: u8 = 0x06;
    /// SNACK Request.
    pub const SNACK: u8 = 0x10;
    /// NOP-In.
    pub const NOP_IN: u8 = 0x20;
    /// SCSI Response.
    pub const SCSI_RESPONSE: u8 = 0x21;
    /// SCSI Task Management Function Response.
    pub const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;
    /// Login Response.
    pub const LOGIN_RESPONSE: u8 = 0x23;
    /// Text Response.
    pub const TEXT_RESPONSE: u8 = 0x24;
    /// SCSI Data-In.
    pub const DATA_IN: u8 = 0x25;
    /// Logout Response.
    pub const LOGOUT_RESPONSE: u8 = 0x26;
    /// Ready To Transfer.
    pub const R2T: u8 = 0x31;
    /// Asynchronous Message.
    pub const ASYNC_MESSAGE: u8 = 0x32;
    /// Reject.
    pub const REJECT: u8 = 0x3f;

    /// Bit that is set in the opcodes that targets send.
    pub(crate) const TARGET_BIT: u8 = 0x20;
}

/// Bits of byte 1. Which of them apply depends on the opcode.
pub mod flag {
    /// Final bit: the PDU is the last of its sequence. In login PDUs, the transit bit.
    pub const FINAL: u8 = 0x80;
    /// Continue bit of text and login PDUs: the text continues in the next PDU.
    pub const CONTINUE: u8 = 0x40;
    /// SCSI Command: the command reads data.
    pub const READ: u8 = 0x40;
    /// SCSI Command: the command writes data.
    pub const WRITE: u8 = 0x20;
    /// Data-In: the PDU also carries the status of the command.
    pub const STATUS: u8 = 0x01;
    /// SCSI Response and Data-In: less data was transferred than the initiator expected.
    pub const UNDERFLOW: u8 = 0x02;
    /// SCSI Response and Data-In: the command has more data than the initiator expected.
    pub const OVERFLOW: u8 = 0x04;
    /// SCSI Command: simple task attribute.
    pub const SIMPLE: u8 = 0x01;
}

/// Reasons of a Reject (section 11.17.1).
pub(crate) mod reject_reason {
    /// The digest of a data segment does not match.
    pub const DATA_DIGEST_ERROR: u8 = 0x02;
    /// The PDU violates the protocol.
    pub const PROTOCOL_ERROR: u8 = 0x04;
    /// The opcode is not supported.
    pub const COMMAND_NOT_SUPPORTED: u8 = 0x05;
    /// Too many commands for immediate delivery are in flight.
    pub const IMMEDIATE_COMMAND_REJECT: u8 = 0x06;
}

/// Task management functions (section 11.5.1).
pub mod task_function {
    /// ABORT TASK: aborts one task.
    pub const ABORT_TASK: u8 = 1;
    /// ABORT TASK SET: aborts all tasks of the session at a logical unit.
    pub const ABORT_TASK_SET: u8 = 2;
    /// LOGICAL UNIT RESET.
    pub const LOGICAL_UNIT_RESET: u8 = 5;
    /// TARGET WARM RESET.
    pub const TARGET_WARM_RESET: u8 = 6;
}

/// Responses to task management functions (section 11.6.1).
pub mod task_response {
    /// Function complete.
    pub const FUNCTION_COMPLETE: u8 = 0;
    /// Task does not exist.
    pub const TASK_DOES_NOT_EXIST: u8 = 1;
    /// LUN does not exist.
    pub const LUN_DOES_NOT_EXIST: u8 = 2;
    /// Task management function not supported.
    pub const FUNCTION_NOT_SUPPORTED: u8 = 5;
    /// Function rejected.
    pub const FUNCTION_REJECTED: u8 = 255;
}

/// Events of an asynchronous message (section 11.9.1).
pub(crate) mod async_event {
    /// SCSI event, whose sense data is in the message.
    pub const SCSI: u8 = 0;
    /// The target requests a logout.
    pub const LOGOUT_REQUEST: u8 = 1;
    /// The target requests a negotiation of parameters.
    pub const NEGOTIATION_REQUEST: u8 = 4;
}
