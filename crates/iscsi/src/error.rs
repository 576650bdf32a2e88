//! Why a connection cannot go on.
use crate::frame::FrameError;
use crate::login::{LoginError, LoginStatus};
use crate::params::ParamError;
use crate::text::TextError;
use thiserror::Error;

/// A violation of the protocol by the peer, after which the connection is to be closed.
///
/// What was put into the send buffer before the error (a Reject or a login response, say) is still to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The byte stream cannot be split into PDUs any further.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The text of a text request or of a login response is malformed.
    #[error(transparent)]
    Text(#[from] TextError),
    /// The target's answer to an operational parameter is invalid.
    #[error(transparent)]
    Param(#[from] ParamError),

    /// At a target: the first PDUs of a connection have to be login requests.
    #[error("opcode {opcode:#04x}, expected a login request")]
    ExpectedLoginRequest {
        /// Opcode of the PDU that was received instead.
        opcode: u8,
    },
    /// At a target: the login was rejected.
    #[error("login refused ({status}): {reason}")]
    LoginRejected {
        /// Status that the login response carries.
        status: LoginStatus,
        /// What was wrong with the login.
        #[source]
        reason: LoginError,
    },
    /// At a target: a PDU that an initiator may not send in the full feature phase.
    #[error("opcode {opcode:#04x} is not for the full feature phase")]
    UnexpectedRequest {
        /// Opcode of the PDU.
        opcode: u8,
    },
    /// At a target: a command sequence number is missing, and on the only connection it cannot come any more.
    #[error("CmdSN {received}, expected {expected}")]
    CommandSequenceGap {
        /// `CmdSN` of the request.
        received: u32,
        /// `ExpCmdSN` of the session.
        expected: u32,
    },
    /// At a target: a command reuses the tag of a task, or uses the reserved tag.
    #[error("task tag {itt:#x} is in use")]
    TaskTagInUse {
        /// Initiator task tag of the command.
        itt: u32,
    },
    /// At a target: a write that is too long, whose unsolicited data follows.
    #[error("write of {len} bytes, at most {limit}")]
    WriteTooLong {
        /// Expected data transfer length in bytes.
        len: usize,
        /// Largest transfer in bytes.
        limit: usize,
    },
    /// At a target: more immediate data than was negotiated, or than the write is long.
    #[error("immediate data past what was agreed")]
    ImmediateDataTooLong,
    /// At a target: unsolicited Data-Out PDUs are announced although `InitialR2T` is Yes.
    #[error("unsolicited data where none was agreed")]
    UnsolicitedData,
    /// At a target: Data-Out that belongs to no R2T that is open.
    #[error("data for transfer tag {tag:#x}, not asked for")]
    UnknownTransferTag {
        /// Target transfer tag of the PDU.
        tag: u32,
    },
    /// At a target: Data-Out out of order.
    #[error("data at {offset}, expected at {expected} in order")]
    WriteDataOutOfOrder {
        /// Buffer offset of the PDU.
        offset: usize,
        /// Bytes received so far.
        expected: usize,
    },
    /// At a target: Data-Out past the end of its burst.
    #[error("data to {end}, expected up to {limit}")]
    DataPastBurst {
        /// Buffer offset behind the last byte of the PDU.
        end: usize,
        /// Buffer offset at which the burst ends.
        limit: usize,
    },
    /// At a target: a Data-Out PDU without data that does not end its burst.
    #[error("data PDU without data")]
    EmptyDataOut,
    /// At a target: a solicited burst ended before all the data that was requested had come.
    #[error("burst ended short of what was asked for")]
    BurstTooShort,
    /// At a target: all data of a solicited burst has come, and its last PDU lacks the final bit.
    #[error("burst goes on past what was asked for")]
    BurstNotEnded,
    /// At a target: the answer to `SendTargets` does not fit one data segment of the initiator.
    #[error("list of targets past the initiator's segment")]
    TargetListTooLong,

    /// At an initiator: a PDU other than a login response was received during login.
    #[error("opcode {opcode:#04x} during login")]
    ExpectedLoginResponse {
        /// Opcode of the PDU that was received instead.
        opcode: u8,
    },
    /// At an initiator: the target rejected the login.
    #[error("login refused, status {0}")]
    LoginStatus(LoginStatus),
    /// At an initiator: the target neither ends the login nor rejects it.
    #[error("login goes on after eight requests")]
    LoginTooLong,
    /// At an initiator: a status sequence number is missing or repeated.
    #[error("StatSN {received}, expected {expected}")]
    StatusSequenceGap {
        /// `StatSN` of the response.
        received: u32,
        /// `ExpStatSN` of the connection.
        expected: u32,
    },
    /// At an initiator: an asynchronous message by which the target ends the connection or the session.
    #[error("target drops the connection (event {event})")]
    DroppedByTarget {
        /// `AsyncEvent` (section 11.9.1).
        event: u8,
    },
    /// At an initiator: a PDU that a target may not send.
    #[error("opcode {opcode:#04x} from a target")]
    UnexpectedResponse {
        /// Opcode of the PDU.
        opcode: u8,
    },
    /// At an initiator: Data-In out of order, or more of it than was expected.
    #[error("data at {offset}, expected at {expected}")]
    ReadDataOutOfOrder {
        /// Buffer offset of the PDU.
        offset: u32,
        /// Bytes received so far.
        expected: usize,
    },
    /// At an initiator: an R2T for no data, or for other data than the next.
    #[error("asked for {len} bytes at {offset}, {sent} to come")]
    InvalidReadyToTransfer {
        /// Desired data transfer length in bytes.
        len: usize,
        /// Buffer offset of the data that is requested.
        offset: usize,
        /// Bytes sent so far.
        sent: usize,
    },
}
