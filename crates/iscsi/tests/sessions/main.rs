//! Tests of sessions between an initiator and a target, of their PDUs and of the SCSI data in them.
mod commands;
mod connected_pair;
mod framing;
mod login;
mod malformed_input;
mod scsi_data;
