//! Rate limits and reservations of volumes, each a token bucket on this host.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{Bio, Plan, Tick, VolumeId};
use crate::state::{PlanRates, Request, Scheduler, TICKS_PER_SECOND, Volume};

const KEPT_FOR_TOP_CLASS: Tick = 30_000; // ticks for which tokens that ran short serve only the top class
const OTHER_HOSTS_ALPHA: f64 = 0.1; // weight of one interval in the other hosts' mean rate: about a second

impl Volume {
    /// This host's part of the limit, in units a tick: an even share where there is no quota.
    pub(super) fn limit_rate(&self, plan: &PlanRates) -> f64 {
        self.quota.unwrap_or(plan.limit / self.hosts)
    }

    /// Refills the tokens of the limit, and those of the reservation up to a second of it and one block I/O.
    pub(super) fn refill(&mut self, now: Tick, plan: &PlanRates, max_io_units: f64) {
        let span = (now - self.refilled_at) as f64;
        self.refilled_at = now;
        self.tokens =
            (self.tokens + span * self.limit_rate(plan)).min(plan.burst_units / self.hosts);
        let most = plan.reserved * TICKS_PER_SECOND + max_io_units;
        self.reserve_tokens = (self.reserve_tokens + span * plan.reserved).min(most);
    }

    /// Records what other hosts were reported to use in an interval in their mean rate.
    pub(super) fn record_other_hosts_rate(&mut self) {
        let rate = std::mem::take(&mut self.reported_by_others) / ALLOCATION_INTERVAL as f64;
        self.other_hosts_rate = self
            .other_hosts_rate
            .map(|mean| mean + (rate - mean) * OTHER_HOSTS_ALPHA);
    }
}

impl Scheduler {
    /// This host's quota of a volume's limit from now on, in units a second; none: an even share.
    pub fn on_quota_changed(&mut self, now: Tick, id: VolumeId, quota: Option<f64>) {
        let quota = quota.map(|rate| rate / TICKS_PER_SECOND);
        self.quotas.set(id.0, quota);
        if let Some(volume) = self.volumes.get_mut(id.0) {
            volume.refill(now, &self.plans[volume.plan], self.max_io_units);
            volume.quota = quota;
        }
    }

    /// The plans from now on, and the volumes that change to another one. Tokens saved under the old figures
    /// stay, cut to the new ones at once; bases and ceilings follow with the next interval.
    pub fn on_plans_changed(&mut self, now: Tick, plans: &[Plan], moved: &[(VolumeId, u16)]) {
        self.refill_all(now);
        self.plans = plans.iter().map(PlanRates::from).collect();
        for (id, plan) in moved {
            if let Some(volume) = self.volumes.get_mut(id.0) {
                volume.plan = usize::from(*plan);
            }
        }
        self.refill_all(now);
    }

    fn refill_all(&mut self, now: Tick) {
        for volume in self.volumes.values_mut() {
            volume.refill(now, &self.plans[volume.plan], self.max_io_units);
        }
    }

    /// Counts a block I/O among its volume's. The bucket opens empty: a host that is back may have spent it.
    pub(super) fn count_in_volume(&mut self, now: Tick, bio: &Bio) {
        let plan = bio.plan as usize;
        let hosts = f64::from(bio.hosts.clamp(1, self.hosts));
        let quota = self.quotas.get(bio.volume.0).copied();
        let new = || Volume {
            plan,
            hosts,
            refilled_at: self.started_at,
            quota,
            ..Volume::default()
        };
        let volume = self.volumes.get_or_insert_with(bio.volume.0, new);
        volume.refill(now, &self.plans[plan], self.max_io_units);
        // The hosts' shares add up to the limit only if none is ever larger than the smallest allotted.
        volume.hosts = volume.hosts.max(hosts);
        volume.last_arrival = now;
        volume.in_progress += 1;
    }

    /// Records a report of what other hosts used. After a silence, more than a burst says no more than that.
    pub(super) fn record_other_hosts_usage(&mut self, id: VolumeId, units: f64) {
        let volume = &mut self.volumes[id.0];
        volume.reported_by_others += units.clamp(0.0, self.plans[volume.plan].burst_units);
        volume.other_hosts_rate = volume.other_hosts_rate.or(Some(0.0));
    }

    /// Whether the limit leaves too few tokens; a lower class gets none while they are kept for the top one.
    pub(super) fn over_limit(&self, now: Tick, request: &Request) -> bool {
        let volume = &self.volumes[request.bio.volume.0];
        let lower_class = self.class(request).weight_deficit > 0.0;
        let kept_for_others = lower_class && now < volume.kept_for_top_class_until;
        let short = volume.tokens < request.bio.units || kept_for_others;
        self.plans[volume.plan].limit.is_finite() && !request.charged && short
    }

    /// Keeps a volume's tokens for the class of the highest weight, if they were too few for that class.
    pub(super) fn keep_tokens_for_top_class(&mut self, now: Tick, request: &Request) {
        let top_class = self.class(request).weight_deficit == 0.0;
        let volume = &mut self.volumes[request.bio.volume.0];
        if top_class && !request.charged && volume.tokens < request.bio.units {
            volume.kept_for_top_class_until = now + KEPT_FOR_TOP_CLASS;
        }
    }

    /// Takes a block I/O's units from its volume's tokens, with its first attempt.
    pub(super) fn take_tokens(&mut self, now: Tick, bio: &Bio) {
        let volume = &mut self.volumes[bio.volume.0];
        volume.refill(now, &self.plans[volume.plan], self.max_io_units);
        volume.tokens -= bio.units;
        volume.reserve_tokens = (volume.reserve_tokens - bio.units).max(0.0);
    }
}
