//! Plans as data that changes while the counters go on, free of I/O, clocks and threads. `docs/living-plans.md`
//! tells the ways weighed.
//!
//! - `state`: plans and volumes in numbered versions, each by one change.
//! - `trail`: who changed what and why, chained by hashes; replayed, it gives every version again.
//! - `lend`: what a host does with its part of a limit: it lends what it does not use.
//! - `deal`: what the control service does with what is lent.
//! - `member`: a host that follows the service; `words`: what both say to each other.
//! - `force`: from when on a version is in force at all hosts.
pub mod deal;
pub mod force;
pub mod lend;
pub mod member;
pub mod state;
pub mod trail;
pub mod words;

/// Milliseconds on one's own clock, or a span of them.
pub type Millis = u64;
/// Units in thousandths: whole, so that parts add up exactly.
pub type Units = u64;
