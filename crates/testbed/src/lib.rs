//! Testbed of the gateway: plays scenarios with fault injection through host processes. Nothing in this package is part
//! of `mallowseam` itself.
//!
//! - [`rehearsal`] plays a scenario of `mallowseam-scenarios` with host processes between `mallowseam-stand-ins` and
//!   `mallowseam-load`. Stand-ins and load write a common trace, which `mallowseam-audit` checks.
//! - [`fleet`] plays scenarios with many hosts and with faults on the links between hosts and their peers.
//! - [`benchmark`] and [`snapshot_benchmark`] measure latency, rate and memory; [`placement_day`] compares weights of
//!   volumes over a simulated day.
#![warn(missing_docs)]

pub mod benchmark;
pub mod error;
pub mod fleet;
pub mod placement_day;
pub mod process;
pub mod rehearsal;
pub mod snapshot_benchmark;

pub use mallowseam_gateway::blocking_client;
