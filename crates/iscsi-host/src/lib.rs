//! The host behind iSCSI: serves block volumes to clients over iSCSI and forwards their block I/Os to storage
//! nodes. `mallowseam-scheduler` decides all that happens to a block I/O in between. One thread, sockets on
//! `mio`.
//!
//! - `event_loop`: polls sockets and timers, and calls the modules below.
//! - [`client_connections`], [`node_connections`]: iSCSI sessions of clients and to storage nodes.
//! - `dispatcher`: the block I/Os in flight, between clients, scheduler and nodes.
//! - `endpoint_list`, `catalog_client`, `plan_replication`: clients of the services that a host follows.
//! - `scheduler_config`, `metrics`, [`status`]: configuration and figures in the forms that others take.
//! - [`socket_io`]: reads and writes of connections.
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
