//! Compares all output of the program byte for byte with files in `tests/fixtures`: the command line, the answers of
//! control sockets, the messages between hosts and services, and the files that a host caches. Operators' scripts, and
//! hosts and services of other versions, depend on them. Each test runs the program in a child process.
mod command_line;
mod harness;
mod host;
mod plan_service;
mod scsi;
mod service_setup;
mod shares;
mod snapshot_catalog;
