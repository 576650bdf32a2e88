//! Reloads the configuration on SIGHUP: the discovery service, the plans' figures and the seeds of the fleet are applied,
//! everything else needs a restart.
use super::{EventLoop, startup};
use mallowseam_fleet::config::FleetConfig;
use mallowseam_platform::config::HostConfig;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::interface::SchedulerConfig;

impl EventLoop {
    /// Reads the configuration file again. An invalid one changes nothing.
    pub(super) fn reload(&mut self) {
        let config = match startup::read_config(&self.config_path) {
            Ok(config) => config,
            Err(error) => return tracing::error!(%error, "configuration rejected"),
        };
        self.warn_about_identity(&config);
        self.reload_plans(&config.settings);
        self.warn_about_settings(&config.settings);
        self.reload_fleet(config.fleet.clone());
        self.reload_discovery(&config);
    }

    fn warn_about_identity(&self, config: &HostConfig) {
        if config.listen != self.config.listen || config.name != self.config.name {
            tracing::warn!("another name or address to listen on needs a restart");
        }
    }

    /// Applies the figures of plans, if the plans are the same.
    fn reload_plans(&mut self, settings: &PlatformSettings) {
        let current = &mut self.dispatcher.settings;
        if settings.class_names == current.class_names && settings.plan_names == current.plan_names
        {
            self.scheduler
                .on_plans_changed(self.dispatcher.now, &settings.scheduler.plans, &[]);
            current
                .scheduler
                .plans
                .clone_from(&settings.scheduler.plans);
        } else {
            tracing::warn!("other I/O classes or plans need a restart");
        }
    }

    /// Warns about all other settings, which are read only at startup: a host that applied some of them would serve by two
    /// configurations at once.
    fn warn_about_settings(&self, settings: &PlatformSettings) {
        if fixed_settings(settings) != fixed_settings(&self.dispatcher.settings) {
            tracing::warn!("settings beside the plans' figures have changed, and need a restart");
        }
    }

    fn reload_fleet(&mut self, config: Option<FleetConfig>) {
        match (&mut self.fleet, config) {
            (None, None) => {}
            (Some(fleet), config) => fleet.reload(config),
            (None, Some(_)) => tracing::warn!("fleet membership needs a restart"),
        }
    }

    fn reload_discovery(&mut self, config: &HostConfig) {
        let is_moved = config.discovery != self.config.discovery;
        tracing::info!(discovery = %config.discovery, moved = is_moved, "configuration reloaded");
        self.config.discovery = config.discovery;
        if is_moved {
            // The watch on the old service stays open until the scheduler has requested one on the new service.
            self.dispatcher.on_discovery_moved(&mut self.scheduler);
        }
    }
}

/// The settings without what a reload applies, and without what the host itself sets.
fn fixed_settings(settings: &PlatformSettings) -> PlatformSettings {
    PlatformSettings {
        scheduler: SchedulerConfig {
            plans: Vec::new(),
            endpoints_polled: true,
            shed_at_half_deadline: true,
            poll_service_time: None,
            ..settings.scheduler.clone()
        },
        ..settings.clone()
    }
}
