//! Multi-process testbed: real host processes with simulated peers, and faults on the links between all of them. Nodes
//! and clients are the models of `mallowseam-stand-ins` and `mallowseam-load`; the discovery service is the queue model
//! of `mallowseam-models`.
//!
//! - [`peers`]: the sockets of all peers, on one event loop. [`processes`]: the host processes.
//! - [`testbed`]: plays a scenario of `mallowseam-scenarios`. [`outcome`]: the result of a run, and its report.
//! - [`soak`]: many short scenarios, each drawn by its seed; `history` adds observations and logs to a finding.

pub mod addresses;
pub mod error;
mod history;
pub mod host_config;
pub mod outcome;
pub mod peers;
pub mod processes;
pub mod soak;
pub mod testbed;
