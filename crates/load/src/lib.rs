//! Clients that put load on `mallowseam` hosts, drawn from a seed.
//!
//! - [`initiators`]: iSCSI initiators on a thread of their own, which record their commands and the answers in the
//!   trace of `mallowseam-audit`.
//! - [`client_load`]: the clients of a fleet, as a model without sockets or clocks.
#![warn(missing_docs)]

pub mod client_load;
pub mod initiators;
