//! The users' protocol, free of I/O. Its names stay in here; what goes out are the scheduler's words.
//!
//! - `config`: what a host is told at its start and by SIGHUP.
//! - `settings`: the settings object, shared with the simulator's wire.
//! - `request`, `answer`: a client's request as a block I/O, a node's answer as an ending, and both as bytes.
//! - `list`: the node list, whole and in changes.
//! - `names`: names outside, small indices inside.
pub mod config;
pub mod endpoints;
pub mod interner;
pub mod request;
pub mod response;
pub mod settings;
