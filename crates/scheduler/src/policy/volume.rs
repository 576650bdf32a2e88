//! A volume's rate limit and reservation on this host, as token buckets, and its usage through other hosts.
use super::constants::{ALLOCATION_INTERVAL, TICKS_PER_SECOND};
use super::node_budget::Entitlement;
use super::plan_rates::PlanRates;
use crate::interface::Tick;

/// Ticks (3 s) for which tokens are held for the highest-weight class after it has lacked tokens for a block I/O.
const TOP_CLASS_HOLD: Tick = 30_000;
/// Weight of one allocation interval in the mean rate of the other hosts: an average over about 1 s.
const OTHER_HOSTS_ALPHA: f64 = 0.1;
/// Ticks without an arrival after which a volume with full tokens is forgotten (10 s).
const FORGET_AFTER: Tick = 100_000;

/// A volume that has block I/Os on this host, or had some recently.
pub(super) struct Volume {
    /// Index of the volume's plan.
    plan: usize,
    /// Highest number of hosts stated by any block I/O of the volume.
    hosts: f64,
    buckets: TokenBuckets,
    /// Time until which the tokens are held for the highest-weight class.
    held_for_top_class_until: Option<Tick>,
    /// This host's quota of the rate limit, in units per tick; `None` means an even share.
    quota: Option<f64>,
    other_hosts: OtherHostsUsage,
    last_arrival: Tick,
    /// Number of block I/Os that have not been released.
    in_progress: u32,
}

/// The token buckets of a volume, in units.
struct TokenBuckets {
    /// Tokens of the rate limit.
    limit: f64,
    /// Units of the reservation that are unused.
    reservation: f64,
    refilled_at: Tick,
}

/// Usage of a volume through other hosts, as reported by nodes.
#[derive(Default)]
struct OtherHostsUsage {
    /// Units reported in the current allocation interval.
    interval_units: f64,
    /// Mean rate in units per tick; `None` before the first report.
    rate: Option<f64>,
}

impl Volume {
    /// Creates a volume whose buckets are empty and refill from `filled_since` on. They start empty because a host that
    /// has restarted may have used the tokens before.
    pub(super) fn new(plan: usize, hosts: f64, quota: Option<f64>, filled_since: Tick) -> Self {
        Volume {
            plan,
            hosts,
            buckets: TokenBuckets {
                limit: 0.0,
                reservation: 0.0,
                refilled_at: filled_since,
            },
            held_for_top_class_until: None,
            quota,
            other_hosts: OtherHostsUsage::default(),
            last_arrival: filled_since,
            in_progress: 0,
        }
    }

    /// Returns the index of the volume's plan.
    pub(super) fn plan(&self) -> usize {
        self.plan
    }

    /// Returns the number of hosts through which the volume is used.
    pub(super) fn hosts(&self) -> f64 {
        self.hosts
    }

    /// Returns the units of the reservation that are unused.
    pub(super) fn unused_reservation(&self) -> f64 {
        self.buckets.reservation
    }

    /// Moves the volume to another plan.
    pub(super) fn set_plan(&mut self, plan: usize) {
        self.plan = plan;
    }

    /// Changes this host's quota, in units per tick.
    pub(super) fn set_quota(&mut self, quota: Option<f64>) {
        self.quota = quota;
    }

    /// Records the arrival of a block I/O that states this number of hosts. The shares of all hosts add up to no more
    /// than the limit only if each host uses the highest number ever stated.
    pub(super) fn begin_block_io(&mut self, now: Tick, hosts: f64) {
        self.hosts = self.hosts.max(hosts);
        self.last_arrival = now;
        self.in_progress += 1;
    }

    /// Records the release of a block I/O.
    pub(super) fn end_block_io(&mut self) {
        self.in_progress -= 1;
    }

    /// Returns this host's share of the rate limit in units per tick, or `None` if the volume has no limit.
    fn limit_rate(&self, plan: &PlanRates) -> Option<f64> {
        self.quota.or_else(|| Some(plan.limit? / self.hosts))
    }

    /// Returns the maximum number of rate limit tokens that this host may accumulate.
    fn burst_share(&self, plan: &PlanRates) -> f64 {
        plan.burst_units / self.hosts
    }

    /// Refills the tokens of the rate limit, and those of the reservation up to one second's worth plus the largest
    /// block I/O.
    pub(super) fn refill(&mut self, now: Tick, plan: &PlanRates, max_io_units: f64) {
        let max_tokens = self.burst_share(plan);
        let limit_rate = self.limit_rate(plan);
        let buckets = &mut self.buckets;
        let elapsed = (now - buckets.refilled_at) as f64;
        buckets.refilled_at = now;
        buckets.limit = match limit_rate {
            Some(rate) => (buckets.limit + elapsed * rate).min(max_tokens),
            None => max_tokens,
        };
        let max_reserved = plan.reserved * TICKS_PER_SECOND + max_io_units;
        buckets.reservation = (buckets.reservation + elapsed * plan.reserved).min(max_reserved);
    }

    /// Takes the units of a block I/O that is sent for the first time.
    pub(super) fn take_tokens(&mut self, units: f64) {
        self.buckets.limit -= units;
        self.buckets.reservation = (self.buckets.reservation - units).max(0.0);
    }

    /// Returns whether the rate limit leaves too few tokens for a block I/O. While tokens are held for the
    /// highest-weight class, other classes get none.
    pub(super) fn lacks_tokens(&self, now: Tick, units: f64, highest_weight: bool) -> bool {
        let held = self.held_for_top_class_until.is_some_and(|end| now < end);
        self.buckets.limit < units || held && !highest_weight
    }

    /// Holds the tokens for the highest-weight class, if there are too few for a block I/O of this size.
    pub(super) fn hold_tokens_for_top_class(&mut self, now: Tick, units: f64) {
        if self.buckets.limit < units {
            self.held_for_top_class_until = Some(now + TOP_CLASS_HOLD);
        }
    }

    /// Records reported usage through other hosts. A report after a long time without answers may be large; it counts
    /// as at most one burst, because a larger amount conveys nothing more.
    pub(super) fn record_other_hosts_usage(&mut self, units: f64, plan: &PlanRates) {
        self.other_hosts.interval_units += units.clamp(0.0, plan.burst_units);
        self.other_hosts.rate.get_or_insert(0.0);
    }

    /// Ends an allocation interval: adds its reports to the mean rate of the other hosts.
    pub(super) fn end_interval(&mut self) {
        let units = std::mem::take(&mut self.other_hosts.interval_units);
        let rate = units / ALLOCATION_INTERVAL as f64;
        if let Some(mean) = &mut self.other_hosts.rate {
            *mean += (rate - *mean) * OTHER_HOSTS_ALPHA;
        }
    }

    /// Returns what the volume is entitled to at one node in one allocation interval.
    pub(super) fn entitlement(&self, plan: &PlanRates) -> Entitlement {
        let ceiling = |rate: f64| rate * ALLOCATION_INTERVAL as f64 + self.burst_share(plan);
        Entitlement {
            base: plan.base(self.hosts),
            ceiling: self.entitled_rate(plan).map(ceiling),
            weight: plan.weight,
        }
    }

    /// Returns the rate limit less the reported usage through other hosts, but at least this host's share; `None` if
    /// there is no limit.
    fn entitled_rate(&self, plan: &PlanRates) -> Option<f64> {
        let own = self.limit_rate(plan);
        match self.other_hosts.rate {
            Some(others) => Some((plan.limit? - others).max(own?)),
            None => own,
        }
    }

    /// Returns whether the volume can be forgotten without losing state: it has not been used for a long time, and its
    /// tokens are full.
    pub(super) fn is_forgettable(&self, now: Tick, plan: &PlanRates) -> bool {
        let idle = self.in_progress == 0 && now - self.last_arrival > FORGET_AFTER;
        idle && self.buckets.limit >= self.burst_share(plan)
    }
}
