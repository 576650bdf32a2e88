//! iSCSI as RFC 7143 words it, with the status qualifier of RFC 7144, and the SCSI commands that a block
//! device needs. Nothing here reads a socket or a clock: bytes go in, events and bytes come out. Both sides
//! are here, since the gateway is a target to its clients and an initiator to its storage nodes.
pub mod frame;
pub mod initiator;
pub mod login;
pub mod params;
pub mod pdu;
pub mod scsi;
pub mod target;
pub mod text;
