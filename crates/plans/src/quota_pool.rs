//! The control service's pool of the quota that hosts lend of one limit. The service leases it to hosts that need more
//! than their nominal quota; each lease expires before every loan that backs it. The service owns no quota itself: if
//! it crashes or loses its state, every host still has its nominal quota.
use crate::expiring::{ExpiringAmount, largest_unexpired};
use crate::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use crate::{MilliUnits, Millis};
use std::collections::BTreeMap;

/// Duration of a lease in milliseconds. Two renewals in a row may be lost before a lease holder falls back to its
/// nominal quota.
pub const LEASE_DURATION: Millis = 1_500;
/// Milliseconds for which the service counts a lease as in use, since the holder's clock may be slow.
const LEASE_DURATION_WITH_MARGIN: Millis = LEASE_DURATION + CLOCK_SKEW_MARGIN;
/// Milliseconds between two polls of all hosts.
pub const POLL_INTERVAL: Millis = 500;
/// Fraction of the excess over its fair share that a lease holder keeps at each renewal, in thousandths: prevents
/// fluctuating demand from moving quota back and forth.
const DAMPING_PER_MILLE: MilliUnits = 500;

/// Number by which the service identifies a host.
pub type HostNumber = u32;

/// The amount that a host needs beyond its nominal quota, and when its report was received.
#[derive(Clone, Debug)]
struct Request {
    amount: MilliUnits,
    received_at: Millis,
}

/// The loans and leases of one limit as the service sees them.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    /// Time before which nothing is leased: leases of an earlier run, which this one does not know, must expire first.
    leases_start_at: Millis,
    /// Loans by lender; each one lasts at least until its time of expiry.
    loans: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    /// Leases by lease holder, which may still use them.
    leases: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    /// Latest request of each host.
    requests: BTreeMap<HostNumber, Request>,
}

impl QuotaPool {
    /// Returns an empty pool. `is_first_start`: no service ran before this one, so no earlier lease can be in use.
    #[must_use]
    pub fn new(now: Millis, is_first_start: bool) -> QuotaPool {
        let leases_start_at = if is_first_start {
            now
        } else {
            now + LEASE_DURATION_WITH_MARGIN
        };
        QuotaPool {
            leases_start_at,
            loans: BTreeMap::new(),
            leases: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Records a host's answer to the poll sent at `polled_at`: the amount that it lends, and the amount that it needs
    /// beyond its nominal quota. The loan counts from the poll: the host lent later, so the loan ends later by its own
    /// count.
    pub fn on_report(
        &mut self,
        host: HostNumber,
        polled_at: Millis,
        lent: MilliUnits,
        requested: MilliUnits,
        now: Millis,
    ) {
        let loans = self.loans.entry(host).or_default();
        loans.retain(|loan| loan.is_unexpired(now));
        let loan = ExpiringAmount {
            amount: lent,
            expires_at: polled_at + LOAN_DURATION,
        };
        if lent > 0 && loan.is_unexpired(now) {
            loans.push(loan);
        }
        self.requests.insert(
            host,
            Request {
                amount: requested,
                received_at: now,
            },
        );
    }

    /// Leases quota to a host for [`LEASE_DURATION`], counted from its report. Returns the amount, which is 0 if
    /// nothing can be leased.
    pub fn grant(&mut self, host: HostNumber, now: Millis) -> MilliUnits {
        self.drop_expired(now);
        if now < self.leases_start_at {
            return 0;
        }
        let requested = self.requests.get(&host).map_or(0, |r| r.amount);
        let lent = self.lent_until(now + LEASE_DURATION_WITH_MARGIN);
        let target = damped(self.fair_share(requested, lent), self.leased_to(host, now));
        // Quota that others may still be using cannot be leased again, whatever the fair shares are.
        let amount = target
            .min(requested)
            .min(lent.saturating_sub(self.leased_to_others(host, now)));
        if amount > 0 {
            let lease = ExpiringAmount {
                amount,
                expires_at: now + LEASE_DURATION_WITH_MARGIN,
            };
            self.leases.entry(host).or_default().push(lease);
        }
        amount
    }

    /// Returns the amount that all lenders together leave unused at least until `until`.
    fn lent_until(&self, until: Millis) -> MilliUnits {
        let lent_by = |loans: &Vec<ExpiringAmount>| {
            let lasting = loans.iter().filter(|loan| until <= loan.expires_at);
            lasting.map(|loan| loan.amount).max().unwrap_or(0)
        };
        self.loans.values().map(lent_by).sum()
    }

    /// Returns the part of `lent` that a request gets in proportion to all requests.
    fn fair_share(&self, requested: MilliUnits, lent: MilliUnits) -> MilliUnits {
        let total: u128 = self.requests.values().map(|r| u128::from(r.amount)).sum();
        let share = (u128::from(lent) * u128::from(requested))
            .checked_div(total)
            .unwrap_or(0);
        MilliUnits::try_from(share).expect(
            "a fair share cannot exceed the lent amount, since the total includes the request",
        )
    }

    /// Returns the leased amount that a host may still be using.
    fn leased_to(&self, host: HostNumber, now: Millis) -> MilliUnits {
        self.leases
            .get(&host)
            .map_or(0, |leases| largest_unexpired(leases, now))
    }

    fn leased_to_others(&self, host: HostNumber, now: Millis) -> MilliUnits {
        let others = self.leases.keys().filter(|other| **other != host);
        others.map(|other| self.leased_to(*other, now)).sum()
    }

    fn drop_expired(&mut self, now: Millis) {
        for amounts in [&mut self.loans, &mut self.leases] {
            for amounts_of_host in amounts.values_mut() {
                amounts_of_host.retain(|a| a.is_unexpired(now));
            }
            amounts.retain(|_, amounts_of_host| !amounts_of_host.is_empty());
        }
        self.requests
            .retain(|_, request| now < request.received_at + LEASE_DURATION);
    }
}

/// Returns the next amount of a lease holder: its fair share or, if that is less than its current amount, an amount
/// between the two.
fn damped(fair_share: MilliUnits, current: MilliUnits) -> MilliUnits {
    if fair_share < current {
        fair_share + (current - fair_share) * DAMPING_PER_MILLE / 1000
    } else {
        fair_share
    }
}
