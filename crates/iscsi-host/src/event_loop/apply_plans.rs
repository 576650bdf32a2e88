//! Applies plans from the plan service, from the cache, or from a reloaded configuration.
use super::EventLoop;
use crate::scheduler_config;
use mallowseam_files::text_file::{FileError, read_configuration};
use mallowseam_plans::state::State;
use mallowseam_settings::reload::{self, ReloadOutcome, RestartRequired};
use std::path::Path;

/// Reason for which plans cannot be applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApplyError {
    /// The configuration cannot change plans that a plan service replicates.
    #[error("plans are replicated from the plan service; change them with `mallowseam plan`")]
    Replicated,
    #[error(transparent)]
    File(#[from] FileError),
    /// A replicated state assigns no plan to a volume of this host.
    #[error("volume {0} has no plan")]
    NoPlan(String),
    /// The configuration differs from the running one in more than its plans; one line per difference.
    #[error(transparent)]
    NeedsRestart(RestartRequired),
    /// The replicated plans cannot be applied without a restart; the differences are on one line.
    #[error("{}", .0.to_string().replace('\n', "; "))]
    Rejected(RestartRequired),
}

impl EventLoop {
    /// Applies the cached plans, if there are any. They are in effect until the plan service sends a newer
    /// state.
    pub(super) fn apply_cached_plans(&mut self) {
        let cached = self.plans.state().filter(|state| state.version > 0);
        match cached.map(|state| self.check_state(state)) {
            Some(Ok(plans)) => self.apply(plans),
            Some(Err(e)) => tracing::warn!(error = %e, "cached plans not used"),
            None => {}
        }
    }

    /// Reads from the plan service and applies or rejects a new state.
    pub(super) fn read_plans(&mut self) {
        let now = self.dispatcher.now();
        if self.plans.read(&mut self.read_buffer, now) {
            self.apply_pending_state();
        }
    }

    fn apply_pending_state(&mut self) {
        let Some(state) = self.plans.pending_state() else {
            return;
        };
        match self.check_state(state) {
            Ok(plans) => {
                self.apply(plans);
                self.plans.accept_pending(self.dispatcher.now());
            }
            Err(e) => self.plans.reject_pending(&e.to_string()),
        }
        self.update_quotas();
    }

    /// Returns the plan changes that a replicated state makes to the running configuration.
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
        let now = self.dispatcher.now();
        self.scheduler.on_plans_changed(now, &all, &changed);
        for change in &plans.changes {
            tracing::info!(change = change.to_string(), "plans applied");
        }
    }

    /// Reloads a configuration file that may differ from the running configuration in its plans only. Returns
    /// a summary of the changes.
    pub(super) fn reload(&mut self, file: &str) -> Result<String, ApplyError> {
        if self.plans.is_replicated() {
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
