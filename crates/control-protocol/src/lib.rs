//! What hosts, services and the command line share of the protocols between them.
//!
//! - [`control_socket`]: a Unix socket on which an operator sends a request line and gets an answer.
//! - [`PlanRequest`]: requests of operators to the plan service.
//! - [`json_lines`]: connections between hosts and services, which carry one JSON object a line.
//! - [`startup`]: what a process opens at its start: listeners, its control socket, signals.
#![warn(missing_docs)]

pub mod control_socket;
pub mod json_lines;
mod plan_request;
pub mod startup;

pub use control_socket::{RequestError, send_request};
pub use plan_request::PlanRequest;
pub use startup::StartError;
