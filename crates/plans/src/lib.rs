//! Service plans as versioned data, and the distribution of a plan's rate limit over the hosts of a volume.
//!
//! The package decides only: it has no I/O, no clock and no threads. Callers pass the time in and carry the
//! messages. `docs/living-plans.md` describes the design and the alternatives that were considered.
//!
//! Control service side:
//!
//! - [`state`]: plans and the volumes that they are assigned to, in numbered versions.
//! - [`change_log`]: the append-only, hash-chained log of the changes that led to each version.
//! - [`rollout`]: which version is effective at all hosts, and what a newer one still waits for.
//! - [`quota_pool`]: the quota that hosts lend, leased to hosts that need more than their own.
//!
//! Host side:
//!
//! - [`replica`]: a host's replica of the plans, and its quotas.
//! - [`host_quota`]: a host's quota of one limit: what it owns, lends and leases.
//!
//! Both: [`messages`], the protocol between them, and [`error`].
#![warn(missing_docs)]

pub mod change_log;
pub mod error;
mod expiring;
pub mod host_quota;
pub mod messages;
pub mod quota_pool;
pub mod replica;
pub mod rollout;
pub mod state;

/// Milliseconds: a moment on the reader's own monotonic clock, or a duration.
pub type Millis = u64;

/// Thousandths of a unit of cost (what one block I/O of `unit` bytes costs, see `docs/configuration.md`), or of
/// units a second for rates. Integers, so that the quotas of a limit add up exactly.
pub type MilliUnits = u64;
