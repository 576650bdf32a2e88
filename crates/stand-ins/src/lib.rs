//! Stand-ins for the peers of `mallowseam` hosts, with fault injection. They record the events on their sockets in the
//! trace of `mallowseam-audit`.
//!
//! - [`node`]: a storage node, as an iSCSI target on a thread of its own.
//! - [`endpoint_list_service`]: the service that notifies hosts, with a lag, which nodes run.
//! - [`simulated_node`]: a node of a fleet, as a model without sockets or clocks.
//! - [`links`]: faults of the bytes and datagrams in each direction of a link.
#![warn(missing_docs)]

pub mod endpoint_list_service;
pub mod links;
pub mod node;
pub mod simulated_node;
