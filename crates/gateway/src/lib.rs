//! The program `mallowseam`: a storage gateway for small sites, with its services and command line.
//!
//! The hosts are packages of their own: `mallowseam-iscsi-host` (`mallowseam run`) and
//! `mallowseam-platform-host` (`mallowseam host`).
//!
//! The services are packages of their own, too; `plan_service` and `snapshot_catalog` start them with the configuration
//! of a site. Hosts, services and the command line share `mallowseam-control-protocol`.
//!
//! The command line (`cli`) is built on `demand`, `placement`, `snapshot_archive`, `verify` and `blocking_client`.
#![warn(missing_docs)]

pub mod blocking_client;
pub mod cli;
mod demand;
mod error;
mod placement;
mod plan_service;
mod snapshot_archive;
mod snapshot_catalog;
mod verify;

use mallowseam_control_protocol::{control_socket, startup};

pub use error::Error;
