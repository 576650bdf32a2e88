//! Replicated plans, quotas of their limits, and plans reloaded from the configuration.
use super::HostProcess;
use crate::clock::ticks_to_millis;
use crate::error::{FileError, read_configuration};
use crate::metrics::VolumeMetrics;
use crate::scheduler_config;
use mallowseam_plans::MilliUnits;
use mallowseam_plans::state::State;
use mallowseam_scheduler::interface::{Tick, VolumeId};
use mallowseam_settings::reload::{self, ReloadOutcome, RestartRequired};
use rand::Rng;
use std::path::Path;

/// Ticks between two measurements of what clients request.
const MEASURE_PERIOD: Tick = 2_500;
const TICKS_PER_SECOND: f64 = 10_000.0;
/// `MilliUnits` are replicated in thousandths.
const THOUSANDTHS: f64 = 1000.0;
/// Values that the jitter of a reconnect may have.
const JITTER_RANGE: u64 = 1_000;

/// What clients request of each volume, measured period by period.
pub(super) struct DemandMeter {
    /// Thousandths of units a second in the last period.
    rates: Vec<MilliUnits>,
    /// When the present period began, and the counters then.
    began: Tick,
    counts: Vec<f64>,
}

impl DemandMeter {
    pub(super) fn new(volumes: usize) -> Self {
        DemandMeter {
            rates: vec![0; volumes],
            began: 0,
            counts: vec![0.0; volumes],
        }
    }

    /// Ends a period that is over. True: the rates are new.
    fn measure(&mut self, now: Tick, volumes: &[VolumeMetrics]) -> bool {
        if now < self.began + MEASURE_PERIOD {
            return false;
        }
        let seconds = (now - self.began) as f64 / TICKS_PER_SECOND;
        for ((rate, count), volume) in self.rates.iter_mut().zip(&mut self.counts).zip(volumes) {
            *rate = ((volume.requested - *count) / seconds * THOUSANDTHS) as MilliUnits;
            *count = volume.requested;
        }
        self.began = now;
        true
    }
}

/// Why plans cannot be applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApplyError {
    #[error("plans come from the control service: see `mallowseam plan`")]
    Replicated,
    #[error(transparent)]
    File(#[from] FileError),
    /// A replicated state lacks a volume of this host.
    #[error("volume {0} has no plan")]
    NoPlan(String),
    /// The configuration differs in more than its plans, a line each.
    #[error(transparent)]
    NeedsRestart(RestartRequired),
    /// The replicated plans cannot be applied without a restart.
    #[error("{}", .0.to_string().replace('\n', "; "))]
    Rejected(RestartRequired),
}

impl HostProcess {
    /// Reads what the plan service has sent.
    pub(super) fn read_plans(&mut self) {
        let now = ticks_to_millis(self.dispatcher.now);
        if let Some(replication) = &mut self.plan_replication
            && replication.on_ready(&mut self.read_buffer, &self.demand.rates, now)
        {
            self.apply_next_state();
        }
    }

    /// Measures what clients request, and has the scheduler keep to this host's quotas.
    pub(super) fn update_quotas(&mut self) {
        let Some(replication) = &mut self.plan_replication else {
            return;
        };
        let now = self.dispatcher.now;
        if self.demand.measure(now, &self.dispatcher.metrics.volumes) {
            replication.on_timer(ticks_to_millis(now), rand::rng().next_u64() % JITTER_RANGE);
        }
        let quotas = replication.replica.available_quotas(ticks_to_millis(now));
        for (volume, (quota, current)) in quotas.zip(&mut self.quotas).enumerate() {
            if quota != *current {
                *current = quota;
                let quota = quota.map(|thousandths| thousandths as f64 / THOUSANDTHS);
                self.scheduler
                    .on_quota_changed(now, VolumeId(volume as u32), quota);
            }
        }
    }

    /// Applies the cached plans, which are in effect until the plan service sends a newer state.
    pub(super) fn apply_cached_plans(&mut self) {
        let cached = self
            .plan_replication
            .as_ref()
            .map(|replication| replication.replica.state());
        match cached
            .filter(|state| state.version > 0)
            .map(|state| self.check_state(state))
        {
            Some(Ok(plans)) => self.apply(plans),
            Some(Err(e)) => tracing::warn!(error = %e, "cached plans not used"),
            None => {}
        }
    }

    /// Applies the state that the plan service has sent, or rejects it.
    fn apply_next_state(&mut self) {
        let Some(replication) = &self.plan_replication else {
            return;
        };
        let Some(state) = replication.replica.pending() else {
            return;
        };
        let applied = self.check_state(state).map(|plans| self.apply(plans));
        let Some(replication) = &mut self.plan_replication else {
            return;
        };
        match applied {
            Ok(()) => replication.accept(ticks_to_millis(self.dispatcher.now)),
            Err(e) => replication.reject(&e.to_string()),
        }
        self.update_quotas();
    }

    /// What is to be applied of a replicated state.
    fn check_state(&self, state: &State) -> Result<ReloadOutcome, ApplyError> {
        let mut wanted = self.config.clone();
        wanted.plans = state
            .plans
            .iter()
            .map(|(name, plan)| scheduler_config::configured_plan(name, plan))
            .collect();
        for volume in &mut wanted.volumes {
            let plan = state.volumes.get(&volume.name);
            let index =
                plan.and_then(|name| wanted.plans.iter().position(|plan| plan.name == *name));
            volume.plan = index.ok_or_else(|| ApplyError::NoPlan(volume.name.clone()))?;
        }
        reload::evaluate(&self.config, &wanted).map_err(ApplyError::Rejected)
    }

    fn apply(&mut self, plans: ReloadOutcome) {
        self.config.plans = plans.plans;
        for (volume, plan) in self.config.volumes.iter_mut().zip(&plans.volume_plans) {
            volume.plan = *plan;
        }
        let changed = self.dispatcher.apply_plans(&plans.volume_plans);
        let all = scheduler_config::scheduler_plans(&self.config);
        self.scheduler
            .on_plans_changed(self.dispatcher.now, &all, &changed);
        plans
            .changes
            .iter()
            .for_each(|change| tracing::info!(change = change.to_string(), "plans applied"));
    }

    /// Applies the plans of a configuration that differs from the running one in nothing else. Returns what
    /// has changed.
    pub(super) fn reload(&mut self, file: &str) -> Result<String, ApplyError> {
        if self.plan_replication.is_some() {
            return Err(ApplyError::Replicated);
        }
        let wanted = read_configuration(Path::new(file))?;
        let plans = reload::evaluate(&self.config, &wanted).map_err(ApplyError::NeedsRestart)?;
        if plans.changes.is_empty() {
            return Ok("nothing is different".to_owned());
        }
        let changes = plans.summary();
        self.apply(plans);
        Ok(changes)
    }
}
