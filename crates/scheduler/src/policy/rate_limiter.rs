//! Rate limits and reservations of all volumes, according to their plans and to the quotas of this host.
use super::constants::TICKS_PER_SECOND;
use super::io_classes::ClassPolicy;
use super::node_budget::Entitlement;
use super::plan_rates::PlanRates;
use super::request::Request;
use super::volume::Volume;
use crate::interface::{Bio, Host, Plan, SchedulerConfig, Tick, VolumeId};
use crate::slab::Slab;
use std::num::NonZeroU32;

/// The plans and the volumes that they limit.
pub(super) struct RateLimiter {
    plans: Vec<PlanRates>,
    volumes: Slab<VolumeId, Volume>,
    /// Quotas by volume, in units per tick.
    quotas: Slab<VolumeId, f64>,
    /// Number of hosts that share the nodes, including this one; `None` if not configured.
    host_count: Option<NonZeroU32>,
    /// Size of the largest block I/O, in units.
    max_io_units: f64,
    /// Whether nodes report the units that they served for a volume through other hosts.
    other_hosts_usage_reported: bool,
    started_at: Tick,
}

impl RateLimiter {
    /// Creates a rate limiter with the configured plans and no volumes.
    pub(super) fn new(config: &SchedulerConfig, max_io_units: f64, now: Tick) -> Self {
        RateLimiter {
            plans: config.plans.iter().map(PlanRates::from).collect(),
            volumes: Slab::default(),
            quotas: Slab::default(),
            host_count: NonZeroU32::new(config.hosts),
            max_io_units,
            other_hosts_usage_reported: config.other_hosts_usage_reported,
            started_at: now,
        }
    }

    /// Records the arrival of a block I/O at its volume.
    pub(super) fn begin_block_io(&mut self, now: Tick, bio: &Bio) {
        let plan = usize::from(bio.plan);
        let hosts = self.volume_hosts(bio);
        let quota = self.quotas.get(bio.volume).copied();
        let started_at = self.started_at;
        let make = || Volume::new(plan, hosts, quota, started_at);
        let volume = self.volumes.get_or_insert_with(bio.volume, make);
        volume.refill(now, &self.plans[plan], self.max_io_units);
        volume.begin_block_io(now, hosts);
    }

    /// Returns the number of hosts that a block I/O states for its volume, limited to between 1 and the configured
    /// number.
    fn volume_hosts(&self, bio: &Bio) -> f64 {
        let max_hosts = self.host_count.map_or(u32::MAX, NonZeroU32::get);
        f64::from(bio.hosts.clamp(1, max_hosts))
    }

    /// Records the release of a block I/O of the volume.
    pub(super) fn end_block_io(&mut self, id: VolumeId) {
        self.volumes[id].end_block_io();
    }

    /// Returns whether the volume's rate limit prevents a block I/O from being sent now. A retry already has its
    /// tokens.
    pub(super) fn is_over_limit(&self, now: Tick, request: &Request, class: &ClassPolicy) -> bool {
        let bio = request.bio();
        let volume = &self.volumes[bio.volume];
        let is_limited = self.plans[volume.plan()].limit.is_some() && !request.has_tokens();
        is_limited && volume.lacks_tokens(now, bio.units, class.has_highest_weight())
    }

    /// Takes the units of a block I/O from its volume's tokens, on its first attempt.
    pub(super) fn take_tokens(&mut self, now: Tick, bio: &Bio) {
        let volume = &mut self.volumes[bio.volume];
        volume.refill(now, &self.plans[volume.plan()], self.max_io_units);
        volume.take_tokens(bio.units);
    }

    /// Holds the volume's tokens for the highest-weight class for some time, if there are too few for this block I/O of
    /// that class, which is given up.
    pub(super) fn hold_tokens_for_top_class(&mut self, now: Tick, bio: &Bio) {
        self.volumes[bio.volume].hold_tokens_for_top_class(now, bio.units);
    }

    /// Records the usage of a volume through other hosts that a node reported.
    pub(super) fn record_other_hosts_usage(&mut self, id: VolumeId, units: f64) {
        if self.other_hosts_usage_reported {
            let volume = &mut self.volumes[id];
            volume.record_other_hosts_usage(units, &self.plans[volume.plan()]);
        }
    }

    /// Returns what a volume is entitled to at one node in one allocation interval.
    pub(super) fn entitlement(&self, id: VolumeId) -> Entitlement {
        let volume = &self.volumes[id];
        volume.entitlement(&self.plans[volume.plan()])
    }

    /// Returns the cost that a block I/O's plan reserves at one node in one allocation interval.
    pub(super) fn base_of_plan(&self, bio: &Bio) -> f64 {
        self.plans[usize::from(bio.plan)].base(self.volumes[bio.volume].hosts())
    }

    /// Returns the units of a volume's reservation that are unused.
    pub(super) fn unused_reservation(&self, id: VolumeId) -> f64 {
        self.volumes[id].unused_reservation()
    }

    /// Returns the factor by which the priority weight of a volume's block I/Os is multiplied.
    pub(super) fn priority_factor(&self, id: VolumeId) -> f64 {
        self.plans[self.volumes[id].plan()].priority_factor
    }

    /// Ends an allocation interval and forgets volumes that have not been used for a long time. Calls `on_forgotten`
    /// for each of them.
    pub(super) fn end_interval(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        mut on_forgotten: impl FnMut(VolumeId),
    ) {
        for id in self.volumes.indices() {
            let Some(volume) = self.volumes.get_mut(id) else {
                continue;
            };
            let plan = &self.plans[volume.plan()];
            volume.refill(now, plan, self.max_io_units);
            volume.end_interval();
            if volume.is_forgettable(now, plan) {
                self.volumes.remove(id);
                on_forgotten(id);
                host.release_volume(id);
            }
        }
    }

    /// Sets this host's quota of a volume's rate limit, in units per second. With `None`, the quota is an even share.
    pub(super) fn set_quota(&mut self, now: Tick, id: VolumeId, quota: Option<f64>) {
        let quota = quota.map(|rate| rate / TICKS_PER_SECOND);
        self.quotas.set(id, quota);
        if let Some(volume) = self.volumes.get_mut(id) {
            volume.refill(now, &self.plans[volume.plan()], self.max_io_units);
            volume.set_quota(quota);
        }
    }

    /// Replaces the plans and moves volumes to other plans. Tokens accumulated under the old plans are kept, but are
    /// immediately reduced to the maximum of the new plans.
    pub(super) fn set_plans(&mut self, now: Tick, plans: &[Plan], moved: &[(VolumeId, u16)]) {
        self.refill_all(now);
        self.plans = plans.iter().map(PlanRates::from).collect();
        for (id, plan) in moved {
            if let Some(volume) = self.volumes.get_mut(*id) {
                volume.set_plan(usize::from(*plan));
            }
        }
        self.refill_all(now);
    }

    fn refill_all(&mut self, now: Tick) {
        for volume in self.volumes.values_mut() {
            volume.refill(now, &self.plans[volume.plan()], self.max_io_units);
        }
    }
}
