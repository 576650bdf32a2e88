//! Pins every byte on the wire, every event and every error text against recorded values, so that no change alters the
//! protocol unnoticed.
//!
//! Sessions and PDUs are generated from seeds. A failure here means that the behaviour of the protocol has changed; the
//! values must not be recorded again for a change that only moves or renames code. A change of an error text alters
//! the values that include it, and has to show that nothing else has altered them.
mod drawn_pdus;
mod framing;
mod harness;
mod login;
mod protocol_errors;
mod scsi_data;
mod sessions;
mod tasks;

/// Number of seeds for each test with random input.
const SEEDS: u64 = 20;
