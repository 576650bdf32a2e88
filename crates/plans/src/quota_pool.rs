//! The control service's part in lending: it leases what hosts lend of one limit to hosts that need more than
//! their nominal quota, each lease for less time than every loan behind it still lasts. It owns no quota itself:
//! a service that dies or forgets leaves every host with its own.
use crate::expiring::{ExpiringAmount, largest_alive};
use crate::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use crate::{MilliUnits, Millis};
use std::collections::BTreeMap;

/// How long a lease lasts. Two renewals in a row may be lost before a lease holder falls back.
pub const LEASE_DURATION: Millis = 1_500;
/// How long the service counts a lease, as the holder's clock may be slow.
const LEASE_HOLD: Millis = LEASE_DURATION + CLOCK_SKEW_MARGIN;
/// The service polls all hosts this often.
pub const POLL_INTERVAL: Millis = 500;
/// Thousandths that stay, at each renewal, of what a lease holder has beyond its fair share: demand that wavers
/// does not move quota to and fro.
const DAMPING_PER_MILLE: MilliUnits = 500;

/// Number by which the service names a host.
pub type HostNumber = u32;

/// What a host needs beyond its nominal quota, and when it said so.
#[derive(Clone, Debug)]
struct Request {
    amount: MilliUnits,
    received_at: Millis,
}

/// The loans and leases of one limit as the service sees them.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    /// Nothing is leased before: leases of an earlier service, which nobody knows of, have to expire.
    leases_start_at: Millis,
    /// By lender: amounts, and until when they surely last.
    loans: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    /// By lease holder: amounts that it may still use.
    leases: BTreeMap<HostNumber, Vec<ExpiringAmount>>,
    requests: BTreeMap<HostNumber, Request>,
}

impl QuotaPool {
    /// An empty pool. `is_first_start`: no service ran before this one, so no earlier lease can be in use.
    #[must_use]
    pub fn new(now: Millis, is_first_start: bool) -> QuotaPool {
        let leases_start_at = if is_first_start { now } else { now + LEASE_HOLD };
        QuotaPool {
            leases_start_at,
            loans: BTreeMap::new(),
            leases: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Takes a host's answer to the poll that was sent at `polled_at`: what it lends, and what it needs beyond its
    /// nominal quota. The loan counts from the poll, which came before the answer whatever the clocks say.
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
        let loan = ExpiringAmount { amount: lent, expires_at: polled_at + LOAN_DURATION };
        if lent > 0 && loan.is_alive(now) {
            loans.push(loan);
        }
        self.requests.insert(host, Request { amount: requested, received_at: now });
    }

    /// Leases quota to a host for [`LEASE_DURATION`] from its report on. Returns the amount; 0: nothing.
    pub fn grant(&mut self, host: HostNumber, now: Millis) -> MilliUnits {
        self.drop_expired(now);
        if now < self.leases_start_at {
            return 0;
        }
        let requested = self.requests.get(&host).map_or(0, |r| r.amount);
        let lent = self.lent_until(now + LEASE_HOLD);
        let target = damped(self.fair_share(requested, lent), self.leased_to(host, now));
        // What others may still be using cannot be leased, whoever it should belong to.
        let amount = target.min(requested).min(lent.saturating_sub(self.leased_to_others(host, now)));
        if amount > 0 {
            let lease = ExpiringAmount { amount, expires_at: now + LEASE_HOLD };
            self.leases.entry(host).or_default().push(lease);
        }
        amount
    }

    /// What all lenders together surely leave unused up to a moment.
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
        let share = (u128::from(lent) * u128::from(requested)).checked_div(total).unwrap_or(0);
        MilliUnits::try_from(share).expect("a part of `lent`")
    }

    /// What a host may still be using of its leases.
    fn leased_to(&self, host: HostNumber, now: Millis) -> MilliUnits {
        self.leases.get(&host).map_or(0, |leases| largest_alive(leases, now))
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
        self.requests.retain(|_, request| now < request.received_at + LEASE_DURATION);
    }
}

/// What a lease holder should have next: its fair share, or on the way down only a part of the step towards it.
fn damped(fair_share: MilliUnits, held: MilliUnits) -> MilliUnits {
    if fair_share < held { fair_share + (held - fair_share) * DAMPING_PER_MILLE / 1000 } else { fair_share }
}
