//! Stand-ins for what surrounds hosts of `mallowseam`, with the faults that are injected into them. They record what passes
//! on their sockets in the trace of `mallowseam-audit`.
//!
//! - [`node`]: a storage node, an iSCSI target on a thread of its own.
//! - [`endpoint_list_service`]: the service that tells hosts which nodes run, late.
//! - [`simulated_node`]: a node of a fleet as a model without sockets or clocks.
//! - [`links`]: what faults do to the bytes and datagrams of one direction of a link.
#![warn(missing_docs)]

pub mod endpoint_list_service;
pub mod links;
pub mod node;
pub mod simulated_node;
