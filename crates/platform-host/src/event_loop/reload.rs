//! Reloads the configuration on SIGHUP: the discovery service, the plans' figures and the seeds of the fleet are applied,
//! everything else needs a restart.
use super::EventLoop;
use crate::dispatcher::Dispatcher;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::interface::SchedulerConfig;

impl EventLoop {
    /// Reads the configuration file again. An invalid one changes nothing.
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

/// Applies the figures of plans, if the plans are the same.
fn reload_plans(dispatcher: &mut Dispatcher, settings: &PlatformSettings) {
    let current = dispatcher.settings();
    let has_same_names =
        settings.class_names == current.class_names && settings.plan_names == current.plan_names;
    if has_same_names {
        dispatcher.change_plans(&settings.scheduler.plans);
    } else {
        tracing::warn!("other I/O classes or plans need a restart");
    }
}

/// Warns about all other settings, which are read only at startup: a host that applied some of them would serve by two
/// configurations at once.
fn warn_about_settings(current: &PlatformSettings, reloaded: &PlatformSettings) {
    if fixed_settings(reloaded) != fixed_settings(current) {
        tracing::warn!("settings beside the plans' figures have changed, and need a restart");
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
