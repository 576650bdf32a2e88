//! A host's quotas of the limits of all volumes that it serves.
use crate::host_quota::{CLOCK_SKEW_MARGIN, HostQuota, LOAN_DURATION};
use crate::messages::{VolumeLease, VolumeReport};
use crate::state::{Plan, State};
use crate::{MilliUnits, Millis};

/// A volume that the host serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostedVolume {
    /// Name of the volume.
    pub name: String,
    /// Number of hosts that serve it, this one included.
    pub host_count: u32,
}

/// A volume with the host's quota of its limit, if its plan has a limit.
struct VolumeQuota {
    volume: HostedVolume,
    quota: Option<HostQuota>,
}

impl VolumeQuota {
    /// Sets the volume's limit; none removes the quota. A new quota is restricted until `unknown_loans_until`.
    fn set_limit(&mut self, limit: Option<MilliUnits>, unknown_loans_until: Millis, now: Millis) {
        let Some(limit) = limit else {
            self.quota = None;
            return;
        };
        let hosts = self.volume.host_count;
        if let Some(quota) = &mut self.quota {
            quota.set_limit(limit, hosts);
            return;
        }
        let quota = self.quota.insert(HostQuota::new(limit, hosts));
        if now < unknown_loans_until {
            quota.restrict_until(unknown_loans_until, now);
        }
    }
}

/// The quotas of a host, in the order in which the caller passed the volumes.
pub(crate) struct VolumeQuotas {
    entries: Vec<VolumeQuota>,
    /// Time until which other hosts may still use quota that this host lent before its start.
    unknown_loans_until: Millis,
}

impl VolumeQuotas {
    /// Returns the volumes of a host that starts now, without quotas.
    pub fn new(volumes: Vec<HostedVolume>, now: Millis) -> VolumeQuotas {
        let without_quota = |volume| VolumeQuota {
            volume,
            quota: None,
        };
        VolumeQuotas {
            entries: volumes.into_iter().map(without_quota).collect(),
            unknown_loans_until: now + LOAN_DURATION + CLOCK_SKEW_MARGIN,
        }
    }

    /// Sets the limits of the volumes to those of a state that the host acts on from now on.
    pub fn set_limits(&mut self, state: &State, now: Millis) {
        for entry in &mut self.entries {
            let plan = state.plan_of(&entry.volume.name);
            let limit = plan.and_then(Plan::limit);
            entry.set_limit(limit, self.unknown_loans_until, now);
        }
    }

    /// Lends the quota that is not needed. Returns, for each volume that has a limit, the lent amount and the amount
    /// needed beyond the nominal quota. `demand` has the demand of each volume, in the caller's order.
    pub fn lend(&mut self, demand: &[MilliUnits], now: Millis) -> Vec<VolumeReport> {
        let mut reports = Vec::new();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let Some(quota) = &mut entry.quota else {
                continue;
            };
            let demand = demand.get(index).copied().unwrap_or(0);
            reports.push(VolumeReport {
                volume: entry.volume.name.clone(),
                lent: quota.lend(quota.lendable(demand), now),
                requested: demand.saturating_sub(quota.nominal()),
            });
        }
        reports
    }

    /// Adds the leases that answer a report sent at `requested_at`. Leases of volumes without a limit are ignored.
    pub fn add_leases(
        &mut self,
        leases: Vec<VolumeLease>,
        requested_at: Millis,
        duration: Millis,
        now: Millis,
    ) {
        for lease in leases {
            let entry = self
                .entries
                .iter_mut()
                .find(|entry| entry.volume.name == lease.volume);
            if let Some(quota) = entry.and_then(|entry| entry.quota.as_mut()) {
                quota.add_lease(lease.amount, requested_at, duration, now);
            }
        }
    }

    /// Returns what the host may use now of each volume's limit; none for a volume without a limit.
    pub fn available(&self, now: Millis) -> impl Iterator<Item = Option<MilliUnits>> {
        self.entries
            .iter()
            .map(move |entry| entry.quota.as_ref().map(|quota| quota.available(now)))
    }
}
