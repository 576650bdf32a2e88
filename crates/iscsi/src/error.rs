//! Errors that end a connection.
use crate::frame::FrameError;
use crate::login::{LoginError, LoginStatus};
use crate::params::ParamError;
use crate::text::TextError;
use thiserror::Error;

/// Violation of the protocol by the peer, after which the connection is to be closed.
///
/// The bytes in the send buffer, such as a Reject or a login response, are still to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The byte stream cannot be decoded into PDUs any further.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The text of a text request or of a login response is malformed.
    #[error(transparent)]
    Text(#[from] TextError),
    /// At an initiator: the answer of the target to an operational parameter is invalid.
    #[error(transparent)]
    Param(#[from] ParamError),

    /// At a target: a PDU other than a login request was received during login.
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
        /// Reason for which the login was rejected.
        #[source]
        reason: LoginError,
    },
    /// At a target: a PDU was received that an initiator must not send in the full feature phase.
    #[error("opcode {opcode:#04x} is not valid from an initiator in the full feature phase")]
    UnexpectedRequest {
        /// Opcode of the PDU.
        opcode: u8,
    },
    /// At a target: a command sequence number is missing. It cannot arrive later, since the session has one connection.
    #[error("CmdSN out of sequence: received {received}, expected {expected}")]
    CommandSequenceGap {
        /// `CmdSN` of the request.
        received: u32,
        /// `ExpCmdSN` of the session.
        expected: u32,
    },
    /// At a target: a command uses the tag of another task or the reserved tag.
    #[error("initiator task tag {itt:#x} is already in use or reserved")]
    TaskTagInUse {
        /// Initiator task tag of the command.
        itt: u32,
    },
    /// At a target: a write that is too long, or that also reads, is followed by unsolicited data.
    #[error(
        "write of {len} bytes with unsolicited data cannot be served: it also reads, or exceeds {limit} bytes"
    )]
    WriteTooLong {
        /// Expected data transfer length, in bytes.
        len: usize,
        /// Maximum length of a write, in bytes.
        limit: usize,
    },
    /// At a target: a command has more immediate data than was negotiated or than it writes.
    #[error("immediate data exceeds the negotiated length or the length of the write")]
    ImmediateDataTooLong,
    /// At a target: a command announces unsolicited Data-Out PDUs although `InitialR2T` is Yes.
    #[error("unsolicited Data-Out announced although InitialR2T is Yes")]
    UnsolicitedData,
    /// At a target: the target transfer tag of a Data-Out is not the one expected in the current phase of the transfer.
    #[error("Data-Out with target transfer tag {tag:#x} was not asked for")]
    UnknownTransferTag {
        /// Target transfer tag of the PDU.
        tag: u32,
    },
    /// At a target: the buffer offset or `DataSN` of a Data-Out is out of order.
    #[error(
        "Data-Out out of order: received buffer offset {offset}, expected offset {expected} and the next DataSN"
    )]
    WriteDataOutOfOrder {
        /// Buffer offset of the PDU.
        offset: usize,
        /// Number of bytes received so far, which is the expected buffer offset.
        expected: usize,
    },
    /// At a target: the data of a Data-Out extends past the end of its burst.
    #[error("Data-Out ends at buffer offset {end}, past the end of its burst at {limit}")]
    DataPastBurst {
        /// Buffer offset after the last byte of the PDU.
        end: usize,
        /// Buffer offset at which the burst ends at the latest.
        limit: usize,
    },
    /// At a target: a Data-Out without data does not end its burst.
    #[error("Data-Out without data does not end its burst")]
    EmptyDataOut,
    /// At a target: a solicited burst ended before all the requested data was received.
    #[error("solicited burst ended before all the data asked for was received")]
    BurstTooShort,
    /// At a target: the Data-Out that completes a solicited burst lacks the final bit.
    #[error("solicited burst lacks the final bit on the last of the data asked for")]
    BurstNotEnded,
    /// At a target: the answer to `SendTargets` is longer than a data segment that the initiator accepts.
    #[error("text response exceeds the initiator's MaxRecvDataSegmentLength")]
    TargetListTooLong,

    /// At an initiator: a PDU other than a login response was received during login.
    #[error("opcode {opcode:#04x} during login, expected a login response")]
    ExpectedLoginResponse {
        /// Opcode of the PDU that was received instead.
        opcode: u8,
    },
    /// At an initiator: the target rejected the login.
    #[error("login refused, status {0}")]
    LoginStatus(LoginStatus),
    /// At an initiator: the target neither completes nor rejects the login within the maximum number of requests.
    #[error("login is not completed after eight further requests")]
    LoginTooLong,
    /// At an initiator: a status sequence number is missing or duplicate.
    #[error("StatSN out of sequence: received {received}, expected {expected}")]
    StatusSequenceGap {
        /// `StatSN` of the response.
        received: u32,
        /// `ExpStatSN` of the connection.
        expected: u32,
    },
    /// At an initiator: the target sent an asynchronous message that ends the connection or the session.
    #[error("target ends the connection or the session (AsyncEvent {event})")]
    DroppedByTarget {
        /// `AsyncEvent` (section 11.9.1).
        event: u8,
    },
    /// At an initiator: a PDU was received that a target must not send in the full feature phase.
    #[error("opcode {opcode:#04x} is not valid from a target in the full feature phase")]
    UnexpectedResponse {
        /// Opcode of the PDU.
        opcode: u8,
    },
    /// At an initiator: Data-In is out of order, or longer than expected.
    #[error(
        "Data-In out of order or too long: received buffer offset {offset}, expected offset {expected}"
    )]
    ReadDataOutOfOrder {
        /// Buffer offset of the PDU.
        offset: u32,
        /// Number of bytes received so far, which is the expected buffer offset.
        expected: usize,
    },
    /// At an initiator: an R2T requests no data, or data other than that which comes next.
    #[error(
        "R2T asked for {len} bytes at buffer offset {offset}, expected unsent data from offset {sent} on"
    )]
    InvalidReadyToTransfer {
        /// Desired data transfer length, in bytes.
        len: usize,
        /// Buffer offset of the requested data.
        offset: usize,
        /// Number of bytes sent so far.
        sent: usize,
    },
}
