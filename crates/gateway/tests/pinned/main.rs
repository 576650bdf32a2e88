//! What the program shows to others, byte for byte: its command line, the answers of its control sockets,
//! what goes between hosts and services, and the files that it keeps. Each test runs the program in a child
//! process and compares a transcript with a file in `tests/fixtures`.
mod command_line;
mod harness;
mod host;
mod plan_service;
mod scsi;
mod service_setup;
mod shares;
mod snapshot_catalog;
