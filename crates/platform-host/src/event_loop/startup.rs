//! Startup: loads the configuration and opens everything that a host needs to run.
use super::admission::Listener;
use super::config_file::{ConfigFile, read_config};
use super::endpoint_watch::EndpointWatch;
use super::fleet::Fleet;
use super::status_log::StatusLog;
use super::{EventLoop, timers};
use crate::clients::ClientConnections;
use crate::dispatcher::{Dispatcher, SchedulerHost};
use crate::error::HostError;
use crate::nodes::NodeConnections;
use crate::signals::SignalPipes;
use mallowseam_connection_policy::executed_requests::ExecutedRequests;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_connection_policy::resource_budget::ResourceBudget;
use mallowseam_platform::config::HostConfig;
use mallowseam_platform::endpoints::WatchEvent;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{EndpointEvent, Tick};
use mallowseam_sockets::clock::{Clock, ticks_from_millis, ticks_to_millis};
use mallowseam_sockets::descriptors;
use mio::{Poll, Registry};
use std::path::Path;
use std::rc::Rc;

/// Size of the buffer for reads from sockets, in bytes.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Loads the configuration at startup, and raises the limit on file descriptors to the number that it requires.
pub(super) fn load_config(
    path: &Path,
    discovery_call_ms: Option<u64>,
) -> Result<HostConfig, HostError> {
    let mut config = read_config(path)?;
    config.settings.scheduler.poll_service_time = discovery_call_ms.map(ticks_from_millis);
    // With fewer descriptors than budgeted, the host would run out of them where it cannot reject a connection or
    // request.
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
    /// Opens signal pipes, the listener, fleet membership and the connection tables, and creates the scheduler.
    pub(super) fn open(path: &Path, config: &HostConfig, poll: &Poll) -> Result<Self, HostError> {
        let signals = SignalPipes::open(poll).map_err(HostError::Signals)?;
        let registry = Rc::new(clone_registry(poll.registry())?);
        let listener = Listener::open(Rc::clone(&registry), config.listen)?;
        let clock = Clock::from_unix_epoch();
        let now = clock.now();
        let fleet = Fleet::open(poll.registry(), config.fleet.clone())?;
        let settings = host_settings(config);
        let budget = ResourceBudget::new(config.max_sockets, config.memory_mb);
        let clients = open_clients(&budget, poll.registry())?;
        let nodes = open_nodes(&settings, &budget, poll.registry(), now)?;
        log_start(config, &budget);
        let scheduler = Scheduler::new(&settings.scheduler, config.seed, now);
        let executed = ExecutedRequests::new(config.seed, config.memory_mb);
        let host = SchedulerHost::new(now, settings, clients, nodes, executed);
        Ok(EventLoop {
            dispatcher: Dispatcher::new(clock, scheduler, host),
            listener,
            signals,
            watch: EndpointWatch::new(registry, config.discovery),
            fleet,
            config_file: ConfigFile::new(path, config),
            connection_check: timers::connection_check(now),
            status_log: StatusLog::new(now),
            scratch: vec![0; SCRATCH_BYTES],
        })
    }

    /// Starts the scheduler before the first iteration. `cached`: the cached endpoint list of the configuration.
    pub(super) fn start(&mut self, cached: Option<WatchEvent>) {
        self.dispatcher.update_now();
        // The scheduler has to run before it receives any event.
        self.dispatcher.start();
        if let Some(cached) = cached {
            self.watch.use_cached(&cached);
            self.dispatcher.on_endpoints(EndpointEvent::Cached, &cached);
        }
        self.run_timers();
    }
}

/// Returns the settings with the two rules that always hold on this platform: the host requests the endpoint list, and
/// block I/Os that were never attempted are shed in the first half of the time to their deadline, since a later
/// rejection costs three tenths of their weight.
fn host_settings(config: &HostConfig) -> PlatformSettings {
    let mut settings = config.settings.clone();
    settings.scheduler.endpoints_polled = true;
    settings.scheduler.shed_at_half_deadline = true;
    settings
}

fn clone_registry(registry: &Registry) -> Result<Registry, HostError> {
    registry.try_clone().map_err(HostError::Poll)
}

fn open_clients(
    budget: &ResourceBudget,
    registry: &Registry,
) -> Result<ClientConnections, HostError> {
    Ok(ClientConnections::new(
        clone_registry(registry)?,
        budget.client_connections,
        budget.client_bytes,
    ))
}

fn open_nodes(
    settings: &PlatformSettings,
    budget: &ResourceBudget,
    registry: &Registry,
    now: Tick,
) -> Result<NodeConnections, HostError> {
    // An idle timeout below one millisecond counts as unset.
    let idle_timeout = settings.idle_timeout.map(ticks_to_millis);
    let idle_timeout = idle_timeout.filter(|millis| *millis > 0);
    Ok(NodeConnections::new(
        clone_registry(registry)?,
        budget.node_connections,
        budget.node_bytes,
        settings.connect_timeout,
        KeepAlivePolicy::new(idle_timeout, ticks_to_millis(now)),
    ))
}

fn log_start(config: &HostConfig, budget: &ResourceBudget) {
    tracing::info!(
        host = config.name,
        listen = %config.listen,
        discovery = %config.discovery,
        client_connections = budget.client_connections,
        node_connections = budget.node_connections,
        cores = config.cpu_cores,
        idle_timeout_ms = config.settings.idle_timeout.map_or(0, ticks_to_millis),
        connect_timeout_ms = ticks_to_millis(config.settings.connect_timeout),
        memory_mb = config.memory_mb,
        cached_endpoints = config.cached_list.as_ref().map_or(0, |cached| cached.endpoints.len()),
        endpoints_pushed = config.settings.scheduler.endpoints_pushed,
        max_poll_delay_ms = ticks_to_millis(config.settings.scheduler.max_poll_delay),
        "host started"
    );
}
