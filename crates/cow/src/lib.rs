//! Snapshots and clones by copy on write, free of I/O, clocks and threads. `docs/snapshots.md` tells the ways
//! weighed and the promise.
//!
//! - `tree`: layers, branches and snapshots, changed by one numbered change after another; the catalog and
//!   every host apply the same changes and so hold the same tree.
//! - `copies`: when an extent may be copied, and copied again.
//! - `cut`: when a snapshot may be granted.
//! - `leases`: when a change counts everywhere.
//! - `pieces`: a write of several parts, whole in a snapshot or not in it.
//! - `free`: when space is given back.
//! - `words`: what hosts and catalog say to each other.
//! - `cache`: what a host does with a block I/O, by what it knows of the tree.
pub mod cache;
pub mod copies;
pub mod cut;
pub mod free;
mod index;
pub mod leases;
pub mod pieces;
pub mod tree;
pub mod words;

/// Milliseconds on one's own clock, or a span of them.
pub type Millis = u64;
