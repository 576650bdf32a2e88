//! What each process of the program mallowseam opens, beside the sockets of its own protocol.
//!
//! - [`startup`]: listener, control socket and signals at the start.
//! - [`control_socket`]: requests of operators, both sides.
//! - [`json_lines`]: connections between hosts and services, one JSON object a line.
//! - [`periodic_timer`]: a timer of an event loop.
//! - [`text_file`], [`atomic_file`]: files that are read, and files that are replaced.
#![warn(missing_docs)]

pub mod atomic_file;
pub mod control_socket;
pub mod json_lines;
pub mod periodic_timer;
pub mod startup;
pub mod text_file;
