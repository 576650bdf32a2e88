//! The program `mallowseam`: a storage gateway for small sites, with its services and command line.
//!
//! The hosts are packages of their own: `iscsi-host` (`mallowseam run`) and `platform-host`
//! (`mallowseam host`).
//!
//! The services: `plan_service`, `snapshot_catalog`. Both are built on `service` (the event loop) and
//! `host_connections`; they and the host share the package `process-io`.
//!
//! Tools of the command line (`cli`): `demand`, `placement`, `snapshot_archive`, `verify`, `blocking_client`.
#![warn(missing_docs)]

pub mod blocking_client;
pub mod cli;
mod demand;
mod error;
mod host_connections;
mod placement;
mod plan_service;
mod service;
mod snapshot_archive;
mod snapshot_catalog;
mod verify;

use mallowseam_process_io::{atomic_file, control_socket, json_lines, startup};

pub use control_socket::{RequestError, send_request};
pub use error::Error;
pub use mallowseam_iscsi_host::status::{
    ClassStatus, NodeStatus, PlanStatus, Status, VolumeStatus,
};
pub use mallowseam_iscsi_host::{CommandCounts, replicated_plan, run};
pub use mallowseam_iscsi_host::{client_connections, socket_io};
pub use mallowseam_sockets::{clock, slab};
pub use plan_service::PlanRequest;
