//! Pins every byte that goes over the wire and every event that comes out, against values recorded once.
//!
//! The sessions are drawn from seeds. A failure here means that the protocol's behaviour changed; the values
//! are not to be recorded anew for a change that only moves or renames code.
mod drawn_pdus;
mod framing;
mod harness;
mod login;
mod protocol_errors;
mod scsi_data;
mod sessions;
mod tasks;

/// Number of seeds of each test that draws its input.
const SEEDS: u64 = 20;
