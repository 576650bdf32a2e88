//! Copy-on-write snapshots and clones, free of I/O, clocks and threads. `docs/snapshots.md` describes the design,
//! its alternatives and its guarantees.
//!
//! One catalog process owns the tree of layers; every host holds a replica of it, and both apply the same numbered
//! changes.
//!
//! - [`tree`]: layers, branches and snapshots, and the changes that lead from one tree to the next.
//! - [`tree_replica`]: a host's replica of the tree, and where it sends a block I/O by that.
//! - [`copy_budget`]: when a host may start, or retry, the copy of an extent.
//! - [`consistent_cut`]: when a snapshot may be granted.
//! - [`split_write`]: keeps a write of several parts atomic with regard to cuts.
//! - [`leases`]: when a change is effective: no host acts on an older tree any more.
//! - [`reclaim`]: when the space of unreachable locations may be released.
//! - [`messages`]: the messages between hosts and catalog.
#![warn(missing_docs)]

pub mod consistent_cut;
pub mod copy_budget;
pub mod leases;
pub mod messages;
pub mod reclaim;
pub mod split_write;
pub mod tree;
pub mod tree_replica;

/// Milliseconds on the caller's own monotonic clock, or a span of them.
pub type Millis = u64;
