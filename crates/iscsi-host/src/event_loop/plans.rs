//! Replicated plans, and the quotas of this host.
use super::demand_meter::DemandMeter;
use super::sources::PLANS;
use crate::error::Error;
use crate::metrics::VolumeMetrics;
use crate::plan_replication::PlanReplication;
use mallowseam_control_protocol::startup;
use mallowseam_plans::MilliUnits;
use mallowseam_plans::replica::HostedVolume;
use mallowseam_plans::state::State;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{Tick, VolumeId};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Volume;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::Poll;
use rand::Rng;

/// Milli-units in a unit.
const MILLI_UNITS_PER_UNIT: f64 = 1000.0;
/// Number of different values of the reconnect jitter.
const JITTER_RANGE: u64 = 1_000;

/// Plans that the plan service replicates to this host, and this host's quotas.
pub(super) struct ReplicatedPlans {
    /// `None` if the plans are those of the configuration.
    replication: Option<PlanReplication>,
    /// Quota of each volume that the scheduler enforces; `None` if the scheduler enforces none.
    quotas: Vec<Option<MilliUnits>>,
    demand: DemandMeter,
}

impl ReplicatedPlans {
    /// Creates the replica of the plans if the configuration names a plan service. The replica does not connect
    /// yet.
    pub(super) fn open(config: &GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let replication = match config.host.plan_service {
            Some(address) => Some(PlanReplication::new(
                &config.host.name,
                address,
                config.host.plan_cache_path.clone(),
                config.volumes.iter().map(hosted_volume).collect(),
                startup::registry(poll)?,
                PLANS,
            )),
            None => None,
        };
        let volumes = config.volumes.len();
        Ok(ReplicatedPlans {
            replication,
            quotas: vec![None; volumes],
            demand: DemandMeter::new(volumes),
        })
    }

    /// Returns whether the plans come from a plan service.
    pub(super) fn is_replicated(&self) -> bool {
        self.replication.is_some()
    }

    /// Returns the state that the host acts on, or `None` if there is no plan service.
    pub(super) fn state(&self) -> Option<&State> {
        let replication = self.replication.as_ref()?;
        Some(replication.replica().state())
    }

    /// Returns the state that the host is to apply next.
    pub(super) fn pending_state(&self) -> Option<&State> {
        self.replication.as_ref()?.replica().pending()
    }

    /// Returns the quota of a volume, in units a second, or `None` if the volume has no replicated limit.
    pub(super) fn quota(&self, volume: usize) -> Option<f64> {
        self.quotas[volume].map(units_per_second)
    }

    /// Reads from the plan service. Returns whether there is a new state to apply.
    pub(super) fn read(&mut self, buffer: &mut [u8], now: Tick) -> bool {
        let rates = self.demand.rates();
        self.replication
            .as_mut()
            .is_some_and(|replication| replication.on_ready(buffer, rates, ticks_to_millis(now)))
    }

    /// Records that the host has applied the pending state.
    pub(super) fn accept_pending(&mut self, now: Tick) {
        if let Some(replication) = &mut self.replication {
            replication.accept(ticks_to_millis(now));
        }
    }

    /// Records that the host cannot apply the pending state.
    pub(super) fn reject_pending(&mut self, reason: &str) {
        if let Some(replication) = &mut self.replication {
            replication.reject(reason);
        }
    }

    /// Measures the demand of clients for the reports to the plan service, and passes changed quotas to the
    /// scheduler.
    pub(super) fn update_quotas(
        &mut self,
        scheduler: &mut Scheduler,
        volumes: &[VolumeMetrics],
        now: Tick,
    ) {
        let Some(replication) = &mut self.replication else {
            return;
        };
        if self.demand.measure(now, volumes) {
            let jitter = rand::rng().next_u64() % JITTER_RANGE;
            replication.on_timer(ticks_to_millis(now), jitter);
        }
        let quotas = replication.replica().available_quotas(ticks_to_millis(now));
        for (volume, (quota, current)) in quotas.zip(&mut self.quotas).enumerate() {
            if quota != *current {
                *current = quota;
                let volume = VolumeId(volume as u32);
                scheduler.on_quota_changed(now, volume, quota.map(units_per_second));
            }
        }
    }
}

fn hosted_volume(volume: &Volume) -> HostedVolume {
    HostedVolume {
        name: volume.name.clone(),
        host_count: volume.host_count,
    }
}

fn units_per_second(quota: MilliUnits) -> f64 {
    quota as f64 / MILLI_UNITS_PER_UNIT
}
