//! Service plans as versioned data, and the distribution of a plan's rate limit over the hosts of a volume.
//!
//! The package makes decisions only: it has no I/O, no clock and no threads. Callers pass in the time and transport
//! the messages. `docs/living-plans.md` describes the design and the alternatives that were considered.
//!
//! Control service side:
//!
//! - [`state`]: plans and the volumes that they are assigned to, in numbered versions.
//! - [`change_log`]: the append-only, hash-chained log of the changes that led to each version.
//! - [`rollout`]: the version that is effective at all hosts, and what blocks the rollout of a newer one.
//! - [`quota_pool`]: the quota that hosts lend, leased to hosts that need more than their nominal quota.
//!
//! Host side:
//!
//! - [`replica`]: a host's replica of the plans.
//! - `volume_quotas`: the host's quotas of all volumes that it serves.
//! - [`host_quota`]: a host's quota of one limit: what it owns, lends and leases.
//! - `reconnect_backoff`: the delays between the host's attempts to connect to the service.
//!
//! Both sides: [`messages`], the protocol between them, and [`error`].
//!
//! Three hosts share a limit of 900 units a second. An idle host lends the quota that it does not need, and a busy host
//! leases it for a limited time:
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

/// A time on the local monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;

/// Thousandths of a unit of cost (what one block I/O of `unit` bytes costs, see `docs/configuration.md`), or of
/// units a second for rates. Integers, so that the quotas of a limit add up exactly.
pub type MilliUnits = u64;
