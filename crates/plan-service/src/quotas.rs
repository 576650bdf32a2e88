//! What hosts lend each other of the limits of all volumes.
#[cfg(test)]
mod tests;

use mallowseam_plans::Millis;
use mallowseam_plans::messages::{VolumeLease, VolumeReport};
use mallowseam_plans::quota_pool::{HostNumber, QuotaPool};
use mallowseam_plans::state::State;
use std::collections::BTreeMap;

/// Number of a host among those that lend and borrow quotas, the same over all its connections.
pub(crate) type LenderId = HostNumber;

/// The hosts that lend and borrow, and the quota pool of each volume.
pub(crate) struct Quotas {
    started_at: Millis,
    /// No service ran before this one, so no lease of another one can be in use.
    is_first_start: bool,
    lender_ids: BTreeMap<String, LenderId>,
    pools: BTreeMap<String, QuotaPool>,
}

impl Quotas {
    /// The quotas of a service that starts now.
    pub(crate) fn new(now: Millis, is_first_start: bool) -> Self {
        Quotas {
            started_at: now,
            is_first_start,
            lender_ids: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// The number of a host, which is assigned when the host is first seen.
    pub(crate) fn lender_id(&mut self, host: &str) -> LenderId {
        let next = self.lender_ids.len() as LenderId;
        *self.lender_ids.entry(host.to_owned()).or_insert(next)
    }

    /// Takes what a host lends and wants of each volume's limit, and grants it what it can have.
    pub(crate) fn on_report(
        &mut self,
        lender: LenderId,
        polled_at: Millis,
        volumes: Vec<VolumeReport>,
        plans: &State,
        now: Millis,
    ) -> Vec<VolumeLease> {
        // Pools only for volumes that exist: a host cannot make this service grow without bound.
        volumes
            .into_iter()
            .filter(|report| plans.volumes.contains_key(&report.volume))
            .filter_map(|report| self.grant(lender, polled_at, report, now))
            .collect()
    }

    /// The lease that answers the report of one volume, if there is one.
    fn grant(
        &mut self,
        lender: LenderId,
        polled_at: Millis,
        report: VolumeReport,
        now: Millis,
    ) -> Option<VolumeLease> {
        let VolumeReport {
            volume,
            lent,
            requested,
        } = report;
        let pool = self
            .pools
            .entry(volume.clone())
            .or_insert_with(|| QuotaPool::new(self.started_at, self.is_first_start));
        pool.on_report(lender, polled_at, lent, requested, now);
        let amount = pool.grant(lender, now);
        (amount > 0).then_some(VolumeLease { volume, amount })
    }
}
