//! A multi-process testbed: real host processes, faults on the links between them, and simulated peers.
//!
//! - [`scenario`]: a script of a run, parsed. [`fault_schedule`]: scripts drawn by a seed.
//! - [`links`]: what faults do to the bytes and datagrams of one direction of a link.
//! - [`simulated_node`], [`client_load`]: a node and the clients as models without sockets or clocks; the discovery
//!   service is the queue that the cold-start model has, too.
//! - [`peers`]: their sockets, on one event loop. [`processes`]: the host processes.
//! - [`testbed`]: plays a scenario. [`outcome`]: what a run brought, and its report.
//! - [`audit_input`]: what `mallowseam-audit` needs to know of a scenario to judge its run.
#![warn(missing_docs)]

pub mod addresses;
pub mod audit_input;
pub mod client_load;
pub mod error;
pub mod fault_schedule;
pub mod host_config;
pub mod links;
pub mod outcome;
pub mod peers;
pub mod processes;
pub mod scenario;
pub mod simulated_node;
pub mod testbed;
