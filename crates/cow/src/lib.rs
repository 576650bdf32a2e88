//! Copy-on-write snapshots and clones, free of I/O, clocks and threads. `docs/snapshots.md` describes the design,
//! its alternatives and its guarantees.
//!
//! One catalog process owns the tree of layers; every host holds a replica of it, and both apply the same numbered
//! changes.
//!
//! - [`tree`]: layers, branches and snapshots, and the changes that lead from one tree to the next.
//! - [`tree_replica`]: a host's replica of the tree, by which the host decides where to send each block I/O.
//! - [`copy_budget`]: when a host may start, or retry, the copy of an extent.
//! - [`consistent_cut`]: when a snapshot may be granted.
//! - [`split_write`]: keeps a write that is sent in several parts atomic with regard to cuts.
//! - [`leases`]: when a change is effective, that is, no host acts on an older tree any more.
//! - [`reclaim`]: when the space of unreachable locations may be released.
//! - [`messages`]: the messages between hosts and the catalog.
#![warn(missing_docs)]

pub mod consistent_cut;
pub mod copy_budget;
pub mod leases;
pub mod messages;
pub mod reclaim;
pub mod split_write;
pub mod tree;
pub mod tree_replica;

/// Time on the caller's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;
