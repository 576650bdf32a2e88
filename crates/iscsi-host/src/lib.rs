//! The iSCSI host: serves block volumes to clients over iSCSI and forwards their block I/Os to storage nodes.
//! `mallowseam-scheduler` decides when each block I/O is sent, to which node, and whether it is retried, shed
//! or failed. The host runs on one thread and polls its sockets with `mio`.
//!
//! - `event_loop`: polls sockets and timers, and calls the other modules.
//! - [`client_connections`], [`node_connections`]: iSCSI sessions with clients and with storage nodes.
//! - `dispatcher`: the block I/Os in flight between clients, the scheduler and nodes.
//! - `endpoint_list`, `catalog_client`, `plan_replication`: clients of the endpoint list service, the snapshot
//!   catalog and the plan service.
//! - `scheduler_config`: converts the configuration for the scheduler and the plan service.
//! - `metrics`, [`status`]: counters and latencies, and the status report on the control socket.
//! - [`socket_io`]: non-blocking reads and writes of connections.
#![warn(missing_docs)]

mod catalog_client;
pub mod client_connections;
mod dispatcher;
mod endpoint_list;
mod error;
mod event_loop;
mod metrics;
pub mod node_connections;
mod plan_replication;
mod scheduler_config;
pub mod socket_io;
pub mod status;

pub use error::Error;
pub use event_loop::run;
pub use metrics::CommandCounts;
pub use scheduler_config::replicated_plan;
