//! A multi-process testbed: real host processes, faults on the links between them, and simulated peers. Nodes and
//! clients are the models of `mallowseam-stand-ins` and `mallowseam-load`; the discovery service is the queue of
//! `mallowseam-models`.
//!
//! - [`peers`]: the sockets of all peers, on one event loop. [`processes`]: the host processes.
//! - [`testbed`]: plays a scenario of `mallowseam-scenarios`. [`outcome`]: what a run brought, and its report.
//! - [`soak`]: many short scenarios, each drawn by its seed; `history` tells what is known of a finding.

pub mod addresses;
pub mod error;
mod history;
pub mod host_config;
pub mod outcome;
pub mod peers;
pub mod processes;
pub mod soak;
pub mod testbed;
