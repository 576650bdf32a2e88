//! Testbed of the gateway: plays scenarios with fault injection through host processes. Nothing here is part of
//! `mallowseam`.
//!
//! - [`rehearsal`] plays a scenario of `mallowseam-scenarios` with host processes between `mallowseam-stand-ins` and
//!   `mallowseam-load`. These write a common trace, which `mallowseam-audit` judges.
//! - [`fleet`] does the same with many hosts and faults on the links between them.
//! - [`benchmark`] and [`snapshot_benchmark`] measure; [`placement_day`] compares weights over a day.
#![warn(missing_docs)]

pub mod benchmark;
pub mod error;
pub mod fleet;
pub mod placement_day;
pub mod process;
pub mod rehearsal;
pub mod snapshot_benchmark;

pub use mallowseam_gateway::blocking_client;
