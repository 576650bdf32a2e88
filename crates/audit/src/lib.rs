//! Audits of runs: what passed on the sockets of clients, nodes and discovery services, checked against the rules that
//! hosts promise to keep. Nothing here knows the program's insides, nor those of the stand-ins that write the traces.
//!
//! - [`trace`] is what stand-ins record of hosts behind iSCSI, with the content of a [`block`] and the
//!   [`service_model`] that a node follows. [`rehearsal`] judges it.
//! - [`fleet`] judges many hosts on the users' platform, by the observations in [`fleet::record`].
//! - [`membership`] checks the hosts' membership tables against what was done to the hosts.
#![warn(missing_docs)]

pub mod block;
mod evidence;
pub mod fleet;
pub mod membership;
pub mod rehearsal;
pub mod service_model;
pub mod trace;

pub use evidence::{RULES, SLACK};
