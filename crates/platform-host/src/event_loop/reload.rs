//! Reloads the configuration on SIGHUP. A reload applies the discovery service, the plans' figures and the seeds of the
//! fleet; all other changes need a restart.
use super::EventLoop;
use crate::dispatcher::Dispatcher;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::interface::SchedulerConfig;

impl EventLoop {
    /// Reads the configuration file again and applies it. An invalid file changes nothing.
    pub(super) fn reload(&mut self) {
        let Some(config) = self.config_file.read() else {
            return;
        };
        self.config_file.warn_about_identity(&config);
        reload_plans(&mut self.dispatcher, &config.settings);
        warn_about_settings(self.dispatcher.settings(), &config.settings);
        self.fleet.reload(config.fleet);
        let is_moved = self.watch.set_service(config.discovery);
        tracing::info!(discovery = %config.discovery, moved = is_moved, "configuration reloaded");
        if is_moved {
            self.dispatcher.on_discovery_moved();
        }
    }
}

/// Applies the plans' figures, if the names of plans and I/O classes are unchanged.
fn reload_plans(dispatcher: &mut Dispatcher, settings: &PlatformSettings) {
    let current = dispatcher.settings();
    let are_names_unchanged =
        settings.class_names == current.class_names && settings.plan_names == current.plan_names;
    if are_names_unchanged {
        dispatcher.change_plans(&settings.scheduler.plans);
    } else {
        tracing::warn!("other I/O classes or plans need a restart");
    }
}

/// Logs a warning if settings have changed that are read only at startup. A host that applied some of them would serve
/// by two configurations at once.
fn warn_about_settings(current: &PlatformSettings, reloaded: &PlatformSettings) {
    if fixed_settings(reloaded) != fixed_settings(current) {
        tracing::warn!("settings beside the plans' figures have changed, and need a restart");
    }
}

/// Returns the settings without those that a reload applies and those that the host itself sets.
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
