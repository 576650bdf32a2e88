//! A host's quota of one rate limit, with lending and borrowing between hosts.
//!
//! Each host owns a nominal quota, an even part of the limit that is never leased to others without its consent. It
//! lends what it does not use for a short time, by its own decision and its own clock. What is leased to it in addition
//! it may use for a shorter time. A partitioned host therefore falls back to its nominal quota without any message, and
//! the quotas of all hosts never add up to more than the limit. (Nominal quota, lending and borrowing as in Kueue's
//! cohorts; expiry by both clocks with a margin as in Gray and Cheriton, "Leases", SOSP 1989.)
use crate::expiring::{ExpiringAmount, largest_unexpired};
use crate::{MilliUnits, Millis};

/// Duration of a loan in milliseconds, counted from the service's poll: long enough that a few polls may be lost while
/// a lease that the loan backs is renewed.
pub const LOAN_DURATION: Millis = 3_000;
/// Milliseconds beyond [`LOAN_DURATION`] for which a lender does not use the lent quota: covers clock drift of one per
/// cent, and one step of its own clock.
pub const CLOCK_SKEW_MARGIN: Millis = 50;
/// Fraction of the nominal quota that is never lent, in thousandths: it serves a sudden demand until loans have
/// expired.
const RESERVED_PER_MILLE: MilliUnits = 250;
/// Quota that a host keeps for its current demand, in thousandths of that demand: at the start of a working day demand
/// grows by a quarter in a second.
const HEADROOM_PER_MILLE: MilliUnits = 1_250;

/// A host's quota of one limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostQuota {
    /// The nominal quota: the limit divided by the number of hosts of the volume.
    nominal: MilliUnits,
    /// Amounts lent to other hosts. The largest one that has not expired counts.
    loans: Vec<ExpiringAmount>,
    /// Amounts leased from other hosts. The largest one that has not expired counts.
    leases: Vec<ExpiringAmount>,
}

/// Adds an amount, and drops amounts that have expired or are covered by the added one.
fn insert(amounts: &mut Vec<ExpiringAmount>, added: ExpiringAmount, now: Millis) {
    let is_covered =
        |a: &ExpiringAmount| a.amount <= added.amount && a.expires_at <= added.expires_at;
    amounts.retain(|a| a.is_unexpired(now) && !is_covered(a));
    amounts.push(added);
}

impl HostQuota {
    /// Returns the quota of one of `hosts` hosts that share `limit`, in thousandths of a unit a second.
    #[must_use]
    pub fn new(limit: MilliUnits, hosts: u32) -> Self {
        HostQuota {
            nominal: nominal_quota(limit, hosts),
            ..HostQuota::default()
        }
    }

    /// Restricts a host that has just started, and does not know what it lent before, to the part of its quota that it
    /// never lends, until all earlier loans have expired.
    pub fn restrict_until(&mut self, until: Millis, now: Millis) {
        let amount = self.nominal - self.never_lent();
        insert(
            &mut self.loans,
            ExpiringAmount {
                amount,
                expires_at: until,
            },
            now,
        );
    }

    /// Returns the nominal quota, in thousandths of a unit a second.
    #[must_use]
    pub fn nominal(&self) -> MilliUnits {
        self.nominal
    }

    /// Sets another limit. Loans and leases keep their amounts until they expire; see [`crate::rollout`] for when
    /// a lowered limit is effective at all hosts.
    pub fn set_limit(&mut self, limit: MilliUnits, hosts: u32) {
        self.nominal = nominal_quota(limit, hosts);
    }

    /// Returns the rate that this host may use now, in thousandths of a unit a second.
    #[must_use]
    pub fn available(&self, now: Millis) -> MilliUnits {
        self.nominal
            .saturating_sub(largest_unexpired(&self.loans, now))
            + largest_unexpired(&self.leases, now)
    }

    /// Returns the amount that the host can lend if its demand stays the same. `demand` includes rejected block I/Os.
    #[must_use]
    pub fn lendable(&self, demand: MilliUnits) -> MilliUnits {
        let with_headroom = demand.saturating_mul(HEADROOM_PER_MILLE) / 1000;
        self.nominal
            .saturating_sub(with_headroom.max(self.never_lent()))
    }

    /// Lends an amount, at most the nominal quota, in answer to a poll that is received now, and returns the amount.
    /// The available quota is reduced at once, which is before the answer is sent.
    pub fn lend(&mut self, amount: MilliUnits, now: Millis) -> MilliUnits {
        let amount = amount.min(self.nominal);
        let expires_at = now + LOAN_DURATION + CLOCK_SKEW_MARGIN;
        insert(&mut self.loans, ExpiringAmount { amount, expires_at }, now);
        amount
    }

    /// Adds a lease for `duration` from `requested_at`, the time by this host's clock at which it sent the report that
    /// the lease answers.
    pub fn add_lease(
        &mut self,
        amount: MilliUnits,
        requested_at: Millis,
        duration: Millis,
        now: Millis,
    ) {
        let lease = ExpiringAmount {
            amount,
            expires_at: requested_at + duration,
        };
        if lease.is_unexpired(now) {
            insert(&mut self.leases, lease, now);
        }
    }

    fn never_lent(&self) -> MilliUnits {
        self.nominal * RESERVED_PER_MILLE / 1000
    }
}

fn nominal_quota(limit: MilliUnits, hosts: u32) -> MilliUnits {
    limit / MilliUnits::from(hosts.max(1))
}
