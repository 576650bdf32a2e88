//! The control service's part in lending: it leases what hosts lend of one limit to hosts that need more than
//! their nominal quota, each lease for less time than every loan that backs it. It owns no quota itself:
//! if it crashes or loses its state, every host still has its nominal quota.
use crate::expiring::{ExpiringAmount, largest_alive};
use crate::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use crate::{MilliUnits, Millis};
use std::collections::BTreeMap;

/// Milliseconds that a lease lasts. Two renewals in a row may be lost before a lease holder falls back to its nominal
/// quota.
pub const LEASE_DURATION: Millis = 1_500;
/// Milliseconds for which the service counts a lease as in use, as the holder's clock may be slow.
const LEASE_DURATION_WITH_MARGIN: Millis = LEASE_DURATION + CLOCK_SKEW_MARGIN;
/// Milliseconds between two polls of all hosts.
pub const POLL_INTERVAL: Millis = 500;
/// Thousandths of what a lease holder has beyond its fair share that it keeps at each renewal: fluctuating demand does
/// not move quota back and forth.
const DAMPING_PER_MILLE: MilliUnits = 500;

/// Number by which the service names a host.
pub type HostNumber = u32;

/// What a host needs beyond its nominal quota, and when it reported that.
#[derive(Clone, Debug)]
struct Request {
    amount: MilliUnits,
    received_at: Millis,
}

/// The loans and leases of one limit as the service sees them.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    /// Nothing is leased before this time: leases of an earlier run, which this one does not know, have to expire.
    leases_start_at: Millis,
    /// By lender: amounts, and until when they last at least.
    loans: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    /// By lease holder: amounts that it may still use.
    leases: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    requests: BTreeMap<HostNumber, Request>,
}

impl QuotaPool {
    /// An empty pool. `is_first_start`: no service ran before this one, so no earlier lease can be in use.
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

    /// Takes a host's answer to the poll that was sent at `polled_at`: what it lends, and what it needs beyond its
    /// nominal quota. The loan counts from the poll: the host lent after it, so that its own count of the loan ends later.
    pub fn on_report(
        &mut self,
        host: HostNumber,
        polled_at: Millis,
        lent: MilliUnits,
        requested: MilliUnits,
        now: Millis,
    ) {
        let loans = self.loans.entry(host).or_default();
        loans.retain(|loan| loan.is_alive(now));
        let loan = ExpiringAmount {
            amount: lent,
            expires_at: polled_at + LOAN_DURATION,
        };
        if lent > 0 && loan.is_alive(now) {
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

    /// Leases quota to a host for [`LEASE_DURATION`] from its report on. Returns the
    /// amount, which is 0 where nothing can be leased.
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

    /// What all lenders together leave unused at least until a moment.
    fn lent_until(&self, until: Millis) -> MilliUnits {
        let lent_by = |loans: &Vec<ExpiringAmount>| {
            let lasting = loans.iter().filter(|loan| until <= loan.expires_at);
            lasting.map(|loan| loan.amount).max().unwrap_or(0)
        };
        self.loans.values().map(lent_by).sum()
    }

    /// The part of `lent` that goes with a request, in proportion to all requests.
    fn fair_share(&self, requested: MilliUnits, lent: MilliUnits) -> MilliUnits {
        let total: u128 = self.requests.values().map(|r| u128::from(r.amount)).sum();
        let share = (u128::from(lent) * u128::from(requested))
            .checked_div(total)
            .unwrap_or(0);
        MilliUnits::try_from(share)
            .expect("no share is larger than `lent`: the request is one of the total")
    }

    /// What a host may still be using of its leases.
    fn leased_to(&self, host: HostNumber, now: Millis) -> MilliUnits {
        self.leases
            .get(&host)
            .map_or(0, |leases| largest_alive(leases, now))
    }

    fn leased_to_others(&self, host: HostNumber, now: Millis) -> MilliUnits {
        let others = self.leases.keys().filter(|other| **other != host);
        others.map(|other| self.leased_to(*other, now)).sum()
    }

    fn drop_expired(&mut self, now: Millis) {
        for amounts in [&mut self.loans, &mut self.leases] {
            for of_host in amounts.values_mut() {
                of_host.retain(|a| a.is_alive(now));
            }
            amounts.retain(|_, of_host| !of_host.is_empty());
        }
        self.requests
            .retain(|_, request| now < request.received_at + LEASE_DURATION);
    }
}

/// What a lease holder should have next: its fair share, or where that is less than it has, only a part of the step down.
fn damped(fair_share: MilliUnits, current: MilliUnits) -> MilliUnits {
    if fair_share < current {
        fair_share + (current - fair_share) * DAMPING_PER_MILLE / 1000
    } else {
        fair_share
    }
}
