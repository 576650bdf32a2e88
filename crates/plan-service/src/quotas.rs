//! The quotas that hosts lend each other, for the limits of all volumes.
#[cfg(test)]
mod tests;

use mallowseam_plans::Millis;
use mallowseam_plans::messages::{VolumeLease, VolumeReport};
use mallowseam_plans::quota_pool::{HostNumber, QuotaPool};
use mallowseam_plans::state::State;
use std::collections::BTreeMap;

/// Id of a host in the quota pools, the same for all connections of the host.
pub(crate) type QuotaHostId = HostNumber;

/// The ids of the hosts in the quota pools, and the quota pool of each volume.
pub(crate) struct Quotas {
    started_at: Millis,
    /// Whether no service ran before this one, so that no lease of an earlier one can be in use.
    is_first_start: bool,
    host_ids: BTreeMap<String, QuotaHostId>,
    pools: BTreeMap<String, QuotaPool>,
}

impl Quotas {
    /// Returns the quotas of a service that starts now.
    pub(crate) fn new(now: Millis, is_first_start: bool) -> Self {
        Quotas {
            started_at: now,
            is_first_start,
            host_ids: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Returns the id of a host, which is assigned when the host is first seen.
    pub(crate) fn host_id(&mut self, host: &str) -> QuotaHostId {
        let next = self.host_ids.len() as QuotaHostId;
        *self.host_ids.entry(host.to_owned()).or_insert(next)
    }

    /// Records what a host lends and requests of each volume's limit. Returns the leases that it is granted.
    pub(crate) fn on_report(
        &mut self,
        host_id: QuotaHostId,
        polled_at: Millis,
        volumes: Vec<VolumeReport>,
        plans: &State,
        now: Millis,
    ) -> Vec<VolumeLease> {
        // Only volumes that exist get a pool: a host cannot make the memory of this service grow without bound.
        volumes
            .into_iter()
            .filter(|report| plans.volumes.contains_key(&report.volume))
            .filter_map(|report| self.grant(host_id, polled_at, report, now))
            .collect()
    }

    /// Returns the lease that answers the report of one volume; none if nothing can be leased.
    fn grant(
        &mut self,
        host_id: QuotaHostId,
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
        pool.on_report(host_id, polled_at, lent, requested, now);
        let amount = pool.grant(host_id, now);
        (amount > 0).then_some(VolumeLease { volume, amount })
    }
}
