//! One host: clients speak iSCSI to it, it submits to storage nodes, and `mallowseam-scheduler` decides all that
//! happens to a block I/O in between. One thread, sockets on `mio`.
pub mod blocking_client;
mod catalog_client;
pub mod cli;
pub mod client_connections;
mod control_socket;
mod demand;
mod dispatcher;
mod endpoint_list;
mod event_loop;
mod json_lines;
mod metrics;
mod node_connections;
mod plan_replication;
mod plan_service;
mod scheduler_config;
mod shares;
mod snapshot_archive;
mod snapshot_catalog;
pub mod socket_io;
mod startup;
mod verify;

pub use mallowseam_sockets::{clock, slab};

pub use control_socket::{Status, ask};
pub use event_loop::run;
pub use plan_service::PlanRequest;
pub use scheduler_config::replicated_plan;
pub use startup::Failure;
