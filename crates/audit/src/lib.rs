//! Audits of test runs: they check the traffic recorded on the sockets of clients, nodes and discovery services against
//! the guarantees of hosts. They depend neither on the internals of hosts nor on those of the stand-ins that write the
//! traces.
//!
//! - [`trace`] is the record that stand-ins write of a run with hosts behind iSCSI. [`block`] defines the content of
//!   blocks, and [`service_model`] the capacity of nodes. [`rehearsal`] audits the trace.
//! - [`fleet`] audits many hosts on the users' platform, by the observations in [`fleet::record`].
//! - [`membership`] checks the membership tables of hosts against the faults that were injected.
#![warn(missing_docs)]

pub mod block;
mod evidence;
pub mod fleet;
pub mod membership;
pub mod rehearsal;
pub mod service_model;
pub mod trace;

pub use evidence::{RULES, SLACK};
