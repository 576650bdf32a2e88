//! Opens everything that a host needs to run.
use super::EventLoop;
use super::admission::Listener;
use super::endpoint_watch::EndpointWatch;
use super::timers::PeriodicTimers;
use crate::clients::ClientConnections;
use crate::dispatcher::Dispatcher;
use crate::error::HostError;
use crate::nodes::NodeConnections;
use crate::signals::SignalPipes;
use crate::tokens;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_connection_policy::resource_budget::ResourceBudget;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_platform::config::{self, HostConfig};
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{EndpointEvent, Host, Tick};
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::{Clock, ticks_from_millis, ticks_to_millis};
use mallowseam_sockets::descriptors;
use mio::{Poll, Registry};
use std::path::Path;

/// Bytes read from a socket at once.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Reads and checks the configuration file.
pub(super) fn read_config(path: &Path) -> Result<HostConfig, HostError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(HostError::ReadConfig { path, source }),
    };
    config::parse(&text).map_err(|problems| HostError::InvalidConfig { path, problems })
}

/// Loads the configuration at startup, and raises the limit of descriptors to what it asks for.
pub(super) fn load_config(
    path: &Path,
    discovery_call_ms: Option<u64>,
) -> Result<HostConfig, HostError> {
    let mut config = read_config(path)?;
    config.settings.scheduler.poll_service_time = discovery_call_ms.map(ticks_from_millis);
    // With fewer descriptors than budgeted, the host would run out of them at points where it cannot reject anything.
    let granted =
        descriptors::raise_limit(config.max_sockets).map_err(HostError::DescriptorLimit)?;
    if granted < config.max_sockets {
        return Err(HostError::TooFewDescriptors {
            wanted: config.max_sockets,
            given: granted,
        });
    }
    Ok(config)
}

impl EventLoop {
    /// Opens signal pipes, the listener, fleet membership and the connection tables.
    pub(super) fn open(path: &Path, config: HostConfig, poll: &Poll) -> Result<Self, HostError> {
        let signals = SignalPipes::open(poll).map_err(HostError::Signals)?;
        let listener = Listener::open(poll, config.listen)?;
        let clock = Clock::from_unix_epoch();
        let now = clock.now();
        let fleet = open_fleet(&config, poll.registry())?;
        let settings = host_settings(&config);
        let budget = ResourceBudget::new(config.max_sockets, config.memory_mb);
        let (clients, nodes) = connections(&settings, &budget, poll.registry(), now)?;
        log_start(&config, &budget);
        Ok(EventLoop {
            config_path: path.to_owned(),
            scheduler: Scheduler::new(&settings.scheduler, config.seed, now),
            dispatcher: Dispatcher::new(now, settings, clients, nodes),
            registry: clone_registry(poll.registry())?,
            listener,
            signals,
            watch: EndpointWatch::new(config.discovery),
            fleet,
            is_fleet_readable: false,
            scratch: vec![0; SCRATCH_BYTES],
            periodic: PeriodicTimers::new(now),
            arrivals: ArrivalEstimator::new(now),
            clock,
            config,
        })
    }

    /// Runs once, before the first iteration.
    pub(super) fn start(&mut self) {
        self.update_now();
        // The scheduler's timer fires once before anything else; from then on the scheduler sets its timers itself, and
        // requests the endpoint list.
        self.dispatcher.set_timer(0);
        self.dispatcher.run_scheduler_timer(&mut self.scheduler);
        if let Some(cached) = self.config.cached_list.take() {
            self.watch.use_cached(&cached);
            self.dispatcher
                .on_endpoints(&mut self.scheduler, EndpointEvent::Cached, &cached);
        }
        self.run_timers();
    }
}

/// The settings, with the two rules that always hold on this platform: the endpoint list is requested by the host, and
/// block I/Os that were never attempted are rejected in the first half of their time (a later rejection costs three
/// tenths of their weight).
fn host_settings(config: &HostConfig) -> PlatformSettings {
    let mut settings = config.settings.clone();
    settings.scheduler.endpoints_polled = true;
    settings.scheduler.shed_at_half_deadline = true;
    settings
}

fn clone_registry(registry: &Registry) -> Result<Registry, HostError> {
    registry.try_clone().map_err(HostError::Poll)
}

fn open_fleet(
    config: &HostConfig,
    registry: &Registry,
) -> Result<Option<Box<UdpMembership>>, HostError> {
    let Some(fleet) = config.fleet.clone() else {
        return Ok(None);
    };
    let fleet = UdpMembership::open(registry, tokens::FLEET, fleet).map_err(HostError::Fleet)?;
    Ok(Some(Box::new(fleet)))
}

fn connections(
    settings: &PlatformSettings,
    budget: &ResourceBudget,
    registry: &Registry,
    now: Tick,
) -> Result<(ClientConnections, NodeConnections), HostError> {
    let keep_alive =
        KeepAlivePolicy::new(ticks_to_millis(settings.idle_timeout), ticks_to_millis(now));
    let clients = ClientConnections::new(
        clone_registry(registry)?,
        budget.client_connections,
        budget.client_bytes,
    );
    let nodes = NodeConnections::new(
        clone_registry(registry)?,
        budget.node_connections,
        budget.node_bytes,
        settings.connect_timeout,
        keep_alive,
    );
    Ok((clients, nodes))
}

fn log_start(config: &HostConfig, budget: &ResourceBudget) {
    tracing::info!(
        host = config.name,
        listen = %config.listen,
        discovery = %config.discovery,
        client_connections = budget.client_connections,
        node_connections = budget.node_connections,
        cores = config.cpu_cores,
        idle_timeout_ms = ticks_to_millis(config.settings.idle_timeout),
        connect_timeout_ms = ticks_to_millis(config.settings.connect_timeout),
        memory_mb = config.memory_mb,
        cached_endpoints = config.cached_list.as_ref().map_or(0, |cached| cached.endpoints.len()),
        endpoints_pushed = config.settings.scheduler.endpoints_pushed,
        max_poll_delay_ms = ticks_to_millis(config.settings.scheduler.max_poll_delay),
        "host started"
    );
}
