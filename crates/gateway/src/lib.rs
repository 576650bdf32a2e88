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
//! The services are packages of their own; `plan_service` and `snapshot_catalog` run them with the configuration of a
//! site. Host, services and command line share `mallowseam-control-protocol`; the modules here share `socket_io`,
//! `atomic_file` and `error`.
//!
//! Tools of the command line (`cli`): `demand`, `placement`, `snapshot_archive`, `verify`, `blocking_client`.
#![warn(missing_docs)]

mod atomic_file;
pub mod blocking_client;
mod catalog_client;
pub mod cli;
pub mod client_connections;
mod demand;
mod dispatcher;
mod endpoint_list;
mod error;
mod event_loop;
mod metrics;
mod node_connections;
mod placement;
mod plan_replication;
mod plan_service;
mod scheduler_config;
mod snapshot_archive;
mod snapshot_catalog;
pub mod socket_io;
mod status;
mod verify;

use mallowseam_control_protocol::{control_socket, json_lines, startup};
pub use mallowseam_sockets::{clock, slab};

pub use error::Error;
pub use event_loop::run;
pub use mallowseam_control_protocol::{PlanRequest, RequestError, send_request};
pub use metrics::CommandCounts;
pub use scheduler_config::replicated_plan;
pub use status::{ClassStatus, NodeStatus, PlanStatus, Status, VolumeStatus};
