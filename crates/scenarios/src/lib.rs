//! Scenarios that are played through hosts of `mallowseam`: scripts that say what a run consists of and which faults are
//! injected when.
//!
//! - [`rehearsal`]: scripts for hosts behind iSCSI. [`fleet`]: scripts for many hosts on the users' platform, and what
//!   `mallowseam-audit` needs to know of them.
//! - [`builtin`]: scripts that come with the testbed. [`fault_schedule`]: scripts of fleets drawn by a seed.
//!   [`restart_schedule`]: scenarios of restarts drawn by a seed.
#![warn(missing_docs)]

mod arguments;
pub mod builtin;
pub mod fault_schedule;
pub mod fleet;
pub mod rehearsal;
pub mod restart_schedule;
