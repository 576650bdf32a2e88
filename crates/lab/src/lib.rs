//! Testbed of the gateway: stand-ins for nodes, clients and the endpoint list service, and scenarios with fault injection.
//! Nothing here is part of `mallowseam`.
//!
//! - [`script`] describes a scenario; [`rehearsal`] plays it with host processes around which stand-ins run:
//!   [`node`], [`load`] and [`endpoint_list_service`]. They write a common trace, which `mallowseam-audit` judges.
//! - [`fleet`] does the same with many hosts and faults on the links between them.
//! - [`benchmark`] and [`snapshot_benchmark`] measure; [`placement_day`] compares weights over a day.
#![warn(missing_docs)]

pub mod benchmark;
pub mod endpoint_list_service;
pub mod error;
pub mod fleet;
pub mod load;
pub mod node;
pub mod placement_day;
pub mod process;
pub mod rehearsal;
pub mod script;
pub mod snapshot_benchmark;

pub use mallowseam_gateway::blocking_client;
