//! Sessions of an initiator and a target, their PDUs and the SCSI data they carry.
mod commands;
mod connected_pair;
mod framing;
mod login;
mod malformed_input;
mod scsi_data;
