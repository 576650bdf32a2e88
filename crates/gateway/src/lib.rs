//! The program `mallowseam`: a storage gateway for small sites, with its services and command line.
//!
//! A host serves block volumes to clients over iSCSI and forwards their block I/Os to storage nodes;
//! `mallowseam-scheduler` decides all that happens to a block I/O in between. One thread, sockets on `mio`.
//!
//! The host:
//! - `event_loop`: polls sockets and timers, and calls the modules below.
//! - `client_connections`, `node_connections`: iSCSI sessions of clients and to storage nodes.
//! - `dispatcher`: the block I/Os in flight, between clients, scheduler and nodes.
//! - `endpoint_list`, `catalog_client`, `plan_replication`: clients of the services that a host follows.
//! - `scheduler_config`, `metrics`, `status`: configuration and figures in the forms that others take.
//!
//! The services: `plan_service`, `snapshot_catalog`. Both are built on `service` (the event loop) and
//! `host_connections`; they and the host share `error` and the package `process-io`.
//!
//! Tools of the command line (`cli`): `demand`, `placement`, `snapshot_archive`, `verify`, `blocking_client`.
#![warn(missing_docs)]

pub mod blocking_client;
mod catalog_client;
pub mod cli;
pub mod client_connections;
mod demand;
mod dispatcher;
mod endpoint_list;
mod error;
mod event_loop;
mod host_connections;
mod metrics;
mod node_connections;
mod placement;
mod plan_replication;
mod plan_service;
mod scheduler_config;
mod service;
mod snapshot_archive;
mod snapshot_catalog;
pub mod socket_io;
mod status;
mod verify;

pub use mallowseam_sockets::{clock, slab};

use mallowseam_process_io::{atomic_file, control_socket, json_lines, startup};

pub use control_socket::{RequestError, send_request};
pub use error::Error;
pub use event_loop::run;
pub use metrics::CommandCounts;
pub use plan_service::PlanRequest;
pub use scheduler_config::replicated_plan;
pub use status::{ClassStatus, NodeStatus, PlanStatus, Status, VolumeStatus};
