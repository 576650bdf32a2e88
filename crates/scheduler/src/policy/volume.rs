//! A volume's rate limit and reservation on this host, each a token bucket, and its use through other hosts.
use super::constants::{ALLOCATION_INTERVAL, TICKS_PER_SECOND};
use super::node_budget::Entitlement;
use super::plan_rates::PlanRates;
use crate::interface::Tick;

/// Ticks for which tokens that ran short serve only the class of the highest weight.
const TOP_CLASS_HOLD: Tick = 30_000;
/// Weight of one allocation interval in the other hosts' mean rate: about a second decides.
const OTHER_HOSTS_ALPHA: f64 = 0.1;
/// Ticks without an arrival until a volume with full tokens is forgotten.
const FORGET_AFTER: Tick = 100_000;

/// A volume with block I/Os here, or recently.
pub(super) struct Volume {
    /// Index of its plan.
    plan: usize,
    /// The most hosts that any of its block I/Os named.
    hosts: f64,
    buckets: TokenBuckets,
    /// Until then its tokens are for the class of the highest weight.
    held_for_top_class_until: Option<Tick>,
    /// This host's quota of the limit, in units a tick; none: an even share.
    quota: Option<f64>,
    other_hosts: OtherHostsUsage,
    last_arrival: Tick,
    /// Block I/Os not yet released.
    in_progress: u32,
}

/// The tokens of a volume, in units.
struct TokenBuckets {
    /// Tokens of the limit.
    limit: f64,
    /// Units of the reservation that are not used yet.
    reservation: f64,
    refilled_at: Tick,
}

/// What nodes report of a volume's use through other hosts.
#[derive(Default)]
struct OtherHostsUsage {
    /// Units reported in this allocation interval.
    interval_units: f64,
    /// Mean rate in units a tick; none before the first report.
    rate: Option<f64>,
}

impl Volume {
    /// A volume whose buckets are filled from this time on. They open empty, since a host that was restarted may have
    /// spent the tokens before.
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

    /// Index of its plan.
    pub(super) fn plan(&self) -> usize {
        self.plan
    }

    /// The hosts through which it is used.
    pub(super) fn hosts(&self) -> f64 {
        self.hosts
    }

    /// Units of its reservation that are not used yet.
    pub(super) fn unused_reservation(&self) -> f64 {
        self.buckets.reservation
    }

    /// Changes its plan.
    pub(super) fn set_plan(&mut self, plan: usize) {
        self.plan = plan;
    }

    /// Changes its quota, in units a tick.
    pub(super) fn set_quota(&mut self, quota: Option<f64>) {
        self.quota = quota;
    }

    /// Counts a block I/O that arrived and named so many hosts. The hosts' shares add up to the limit only if each
    /// goes by the highest number ever named.
    pub(super) fn begin_block_io(&mut self, now: Tick, hosts: f64) {
        self.hosts = self.hosts.max(hosts);
        self.last_arrival = now;
        self.in_progress += 1;
    }

    /// A block I/O was released.
    pub(super) fn end_block_io(&mut self) {
        self.in_progress -= 1;
    }

    /// This host's part of the limit, in units a tick; none if the volume has no limit.
    fn limit_rate(&self, plan: &PlanRates) -> Option<f64> {
        self.quota.or_else(|| Some(plan.limit? / self.hosts))
    }

    /// The most tokens of the limit that this host may save.
    fn burst_share(&self, plan: &PlanRates) -> f64 {
        plan.burst_units / self.hosts
    }

    /// Refills the tokens of the limit, and those of the reservation up to a second of it and one block I/O.
    pub(super) fn refill(&mut self, now: Tick, plan: &PlanRates, max_io_units: f64) {
        let max_tokens = self.burst_share(plan);
        let limit_rate = self.limit_rate(plan);
        let buckets = &mut self.buckets;
        let span = (now - buckets.refilled_at) as f64;
        buckets.refilled_at = now;
        buckets.limit = match limit_rate {
            Some(rate) => (buckets.limit + span * rate).min(max_tokens),
            None => max_tokens,
        };
        let max_reserved = plan.reserved * TICKS_PER_SECOND + max_io_units;
        buckets.reservation = (buckets.reservation + span * plan.reserved).min(max_reserved);
    }

    /// Takes the units of a block I/O that is sent for the first time.
    pub(super) fn take_tokens(&mut self, units: f64) {
        self.buckets.limit -= units;
        self.buckets.reservation = (self.buckets.reservation - units).max(0.0);
    }

    /// Whether the limit leaves too few tokens for a block I/O. A class of lower weight gets none while they are kept
    /// for the class of the highest weight.
    pub(super) fn lacks_tokens(&self, now: Tick, units: f64, highest_weight: bool) -> bool {
        let kept = self.held_for_top_class_until.is_some_and(|end| now < end);
        self.buckets.limit < units || kept && !highest_weight
    }

    /// Keeps the tokens for the class of the highest weight, if they were too few for one of its block I/Os.
    pub(super) fn hold_tokens_for_top_class(&mut self, now: Tick, units: f64) {
        if self.buckets.limit < units {
            self.held_for_top_class_until = Some(now + TOP_CLASS_HOLD);
        }
    }

    /// Records a report of what other hosts used. After a silence a report may be large, but what exceeds a burst
    /// tells nothing more.
    pub(super) fn record_other_hosts_usage(&mut self, units: f64, plan: &PlanRates) {
        self.other_hosts.interval_units += units.clamp(0.0, plan.burst_units);
        self.other_hosts.rate.get_or_insert(0.0);
    }

    /// Ends an allocation interval: the reports go into the other hosts' mean rate.
    pub(super) fn end_interval(&mut self) {
        let units = std::mem::take(&mut self.other_hosts.interval_units);
        let rate = units / ALLOCATION_INTERVAL as f64;
        if let Some(mean) = &mut self.other_hosts.rate {
            *mean += (rate - *mean) * OTHER_HOSTS_ALPHA;
        }
    }

    /// What it is entitled to at one node in one allocation interval.
    pub(super) fn entitlement(&self, plan: &PlanRates) -> Entitlement {
        let ceiling = |rate: f64| rate * ALLOCATION_INTERVAL as f64 + self.burst_share(plan);
        Entitlement {
            base: plan.base(self.hosts),
            ceiling: self.entitled_rate(plan).map(ceiling),
            weight: plan.weight,
        }
    }

    /// The limit less what other hosts are reported to use, and at least this host's part; none if it has no limit.
    fn entitled_rate(&self, plan: &PlanRates) -> Option<f64> {
        let own = self.limit_rate(plan);
        match self.other_hosts.rate {
            Some(others) => Some((plan.limit? - others).max(own?)),
            None => own,
        }
    }

    /// Whether nothing would be lost by forgetting it: it has not been used for long, and its tokens are full.
    pub(super) fn is_forgettable(&self, now: Tick, plan: &PlanRates) -> bool {
        let idle = self.in_progress == 0 && now - self.last_arrival > FORGET_AFTER;
        idle && self.buckets.limit >= self.burst_share(plan)
    }
}
