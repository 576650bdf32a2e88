//! iSCSI (RFC 7143, with the status qualifier of RFC 7144) and the SCSI commands of a block device.
//!
//! Nothing here reads a socket or a clock: the caller passes in the bytes that it received and takes out
//! events, and the bytes to send. Both sides are here, since the gateway is a target to its clients and an
//! initiator to its storage nodes:
//!
//! * [`target::TargetConnection`] and [`initiator::InitiatorConnection`] are one connection each, with the
//!   session on it. Sessions have one connection and error recovery level 0.
//! * [`login`] and [`params`] negotiate a session; [`frame`] and [`pdu`] are its PDUs as bytes.
//! * [`scsi`] has the command descriptor blocks, sense data and parameter data (SPC-4, SBC-3).
//!
//! Section numbers in this package are those of RFC 7143 unless another standard is named.
#![warn(missing_docs)]

mod error;
pub mod frame;
pub mod initiator;
pub mod login;
pub mod params;
pub mod pdu;
pub mod scsi;
pub mod target;
mod text;

pub use error::ProtocolError;
pub use text::TextError;
