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
//! - [`replica`]: a host's replica of the plans.
//! - `volume_quotas`: the host's quotas of all volumes that it serves.
//! - [`host_quota`]: a host's quota of one limit: what it owns, lends and leases.
//! - `reconnect_backoff`: when the host tries again to connect to the service.
//!
//! Both: [`messages`], the protocol between them, and [`error`].
//!
//! Three hosts share a limit of 900 units a second. An idle one lends what it does not need, and a busy one leases
//! it for a while:
//!
//! ```
//! use mallowseam_plans::host_quota::HostQuota;
//! use mallowseam_plans::quota_pool::{LEASE_DURATION, QuotaPool};
//!
//! let mut idle = HostQuota::new(900_000, 3);
//! let mut busy = HostQuota::new(900_000, 3);
//! let mut pool = QuotaPool::new(0, true);
//!
//! // The service polls at 0 ms. Both hosts report, host 0 no demand, host 1 twice its nominal quota.
//! let lent = idle.lend(idle.lendable(0), 5);
//! let lendable = busy.lendable(600_000);
//! let requested = 600_000 - busy.nominal();
//! pool.on_report(0, 0, lent, 0, 10);
//! pool.on_report(1, 0, busy.lend(lendable, 5), requested, 10);
//!
//! // The lease counts from the moment at which host 1 reported.
//! busy.add_lease(pool.grant(1, 10), 5, LEASE_DURATION, 15);
//! assert_eq!((idle.available(15), busy.available(15)), (75_000, 525_000));
//! assert_eq!(busy.available(5 + LEASE_DURATION), 300_000);
//! ```
#![warn(missing_docs)]

pub mod change_log;
pub mod error;
mod expiring;
pub mod host_quota;
pub mod messages;
pub mod quota_pool;
mod reconnect_backoff;
pub mod replica;
pub mod rollout;
pub mod state;
mod volume_quotas;

/// Milliseconds: a moment on the reader's own monotonic clock, or a duration.
pub type Millis = u64;

/// Thousandths of a unit of cost (what one block I/O of `unit` bytes costs, see `docs/configuration.md`), or of
/// units a second for rates. Integers, so that the quotas of a limit add up exactly.
pub type MilliUnits = u64;
