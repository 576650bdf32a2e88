//! Scenarios for runs of `mallowseam` hosts. A script describes the parts of a run, and the faults that are injected
//! with their times.
//!
//! - [`rehearsal`]: scripts for hosts behind iSCSI. [`fleet`]: scripts for many hosts on the users' platform, and the
//!   parameters that `mallowseam-audit` needs of them.
//! - [`builtin`]: scripts that come with the testbed. [`fault_schedule`]: scripts for fleets drawn from a seed.
//!   [`restart_schedule`]: scenarios with restarts drawn from a seed.
#![warn(missing_docs)]

mod arguments;
pub mod builtin;
pub mod fault_schedule;
pub mod fleet;
pub mod rehearsal;
pub mod restart_schedule;
