//! The protocols between hosts, services and the command line, as far as these share code.
//!
//! - [`control_socket`]: a Unix socket on which an operator sends a request line and gets an answer.
//! - [`PlanRequest`]: requests of operators to the plan service.
//! - [`json_lines`]: connections between hosts and services, which carry one JSON object per line.
//! - [`startup`]: opens what a process needs at its start: listeners, its control socket, signals.
#![warn(missing_docs)]

pub mod control_socket;
pub mod json_lines;
mod plan_request;
pub mod startup;

pub use control_socket::{RequestError, send_request};
pub use plan_request::PlanRequest;
pub use startup::StartError;
