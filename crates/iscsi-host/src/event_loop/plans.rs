//! Replicated plans and quotas of their limits.
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

/// `MilliUnits` in a unit.
const THOUSANDTHS: f64 = 1000.0;
/// Values that the jitter of a reconnect may have.
const JITTER_RANGE: u64 = 1_000;

/// The plans that a plan service replicates to the host, and the host's quotas.
pub(super) struct ReplicatedPlans {
    /// None: the plans are those of the configuration.
    replication: Option<PlanReplication>,
    /// The quotas that the scheduler keeps to, by volume.
    quotas: Vec<Option<MilliUnits>>,
    demand: DemandMeter,
}

impl ReplicatedPlans {
    /// The replica of the plans, where the configuration names a plan service. It does not connect yet.
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

    /// Whether a plan service decides the plans.
    pub(super) fn is_replicated(&self) -> bool {
        self.replication.is_some()
    }

    /// The state that the host acts on; none: there is no plan service.
    pub(super) fn state(&self) -> Option<&State> {
        let replication = self.replication.as_ref()?;
        Some(replication.replica().state())
    }

    /// The state that the host is to act on next.
    pub(super) fn pending_state(&self) -> Option<&State> {
        self.replication.as_ref()?.replica().pending()
    }

    /// The quota of a volume in units a second; none where its limit is not replicated.
    pub(super) fn quota(&self, volume: usize) -> Option<f64> {
        self.quotas[volume].map(units_per_second)
    }

    /// Reads what the plan service has sent. True: a new state is to be applied.
    pub(super) fn read(&mut self, buffer: &mut [u8], now: Tick) -> bool {
        let rates = self.demand.rates();
        self.replication
            .as_mut()
            .is_some_and(|replication| replication.on_ready(buffer, rates, ticks_to_millis(now)))
    }

    /// The host acts on the pending state.
    pub(super) fn accept_pending(&mut self, now: Tick) {
        if let Some(replication) = &mut self.replication {
            replication.accept(ticks_to_millis(now));
        }
    }

    /// The host cannot act on the pending state.
    pub(super) fn reject_pending(&mut self, reason: &str) {
        if let Some(replication) = &mut self.replication {
            replication.reject(reason);
        }
    }

    /// Measures what clients request, reports it to the plan service, and has the scheduler keep to this
    /// host's quotas.
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
    quota as f64 / THOUSANDTHS
}
