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
use mallowseam_fleet_udp::Part;
use mallowseam_platform::config::{self, Config};
use mallowseam_platform::settings::Named;
use mallowseam_scheduler::host::{ListForm, Tick};
use mallowseam_scheduler::scheduler::Scheduler;
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::{Clock, ticks_from_millis, ticks_to_millis};
use mallowseam_sockets::descriptors;
use mio::{Poll, Registry};
use std::path::Path;

/// Bytes read from a socket at once.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Reads and checks the configuration file.
pub(super) fn read_config(path: &Path) -> Result<Config, HostError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(HostError::ReadConfig { path, source }),
    };
    config::read(&text).map_err(|problems| HostError::InvalidConfig { path, problems })
}

/// Loads the configuration at startup, and raises the limit of descriptors to what it asks for.
pub(super) fn load_config(path: &Path, discovery_call_ms: Option<u64>) -> Result<Config, HostError> {
    let mut config = read_config(path)?;
    config.named.terms.ask_turn = discovery_call_ms.map(ticks_from_millis);
    // With fewer descriptors than budgeted, the host would run out of them at points where it cannot reject anything.
    let given = descriptors::raise_limit(config.sockets).map_err(HostError::DescriptorLimit)?;
    if given < config.sockets {
        return Err(HostError::TooFewDescriptors { wanted: config.sockets, given });
    }
    Ok(config)
}

impl EventLoop {
    /// Opens signal pipes, the listener, fleet membership and the connection tables.
    pub(super) fn open(path: &Path, config: Config, poll: &Poll) -> Result<Self, HostError> {
        let signals = SignalPipes::open(poll).map_err(HostError::Signals)?;
        let listener = Listener::open(poll, config.listen)?;
        let clock = Clock::from_unix_epoch();
        let now = clock.now();
        let fleet = open_fleet(&config, poll.registry())?;
        let settings = host_settings(&config);
        let budget = ResourceBudget::new(config.sockets, config.memory_mb);
        let (clients, nodes) = connections(&settings, &budget, poll.registry(), now)?;
        log_start(&config, &budget);
        Ok(EventLoop {
            config_path: path.to_owned(),
            scheduler: Scheduler::new(&settings.terms, config.seed, now),
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
        // The scheduler's timer fires once before anything else; from then on it sets its timers itself, and asks for
        // the endpoint list.
        let now = self.dispatcher.now;
        self.dispatcher.set_timer(now);
        self.dispatcher.fire_timer(&mut self.scheduler);
        if let Some(cached) = self.config.known.take() {
            self.watch.use_cached(&cached);
            self.dispatcher.on_endpoints(&mut self.scheduler, ListForm::Kept, &cached);
        }
        self.run_timers();
    }
}

/// The settings, with the two rules that always hold on this platform: the endpoint list is requested by the host, and
/// block I/Os that were never attempted are rejected in the first half of their time (a later rejection costs three
/// tenths of their weight).
fn host_settings(config: &Config) -> Named {
    let mut settings = config.named.clone();
    settings.terms.list_on_request = true;
    settings.terms.word_by_half = true;
    settings
}

fn clone_registry(registry: &Registry) -> Result<Registry, HostError> {
    registry.try_clone().map_err(HostError::Poll)
}

fn open_fleet(config: &Config, registry: &Registry) -> Result<Option<Box<Part>>, HostError> {
    let Some(place) = config.place.clone() else { return Ok(None) };
    let fleet = Part::open(registry, tokens::FLEET, place).map_err(HostError::Fleet)?;
    Ok(Some(Box::new(fleet)))
}

fn connections(
    settings: &Named,
    budget: &ResourceBudget,
    registry: &Registry,
    now: Tick,
) -> Result<(ClientConnections, NodeConnections), HostError> {
    let keep_alive = KeepAlivePolicy::new(ticks_to_millis(settings.idle_close), ticks_to_millis(now));
    let clients =
        ClientConnections::new(clone_registry(registry)?, budget.client_connections, budget.client_bytes);
    let nodes = NodeConnections::new(
        clone_registry(registry)?,
        budget.node_connections,
        budget.node_bytes,
        settings.connect_within,
        keep_alive,
    );
    Ok((clients, nodes))
}

fn log_start(config: &Config, budget: &ResourceBudget) {
    tracing::info!(
        host = config.name,
        listen = %config.listen,
        discovery = %config.discovery,
        clients = budget.client_connections,
        nodes = budget.node_connections,
        cores = config.cores,
        idle_close_ms = ticks_to_millis(config.named.idle_close),
        connect_within_ms = ticks_to_millis(config.named.connect_within),
        memory_mb = config.memory_mb,
        known = config.known.as_ref().map_or(0, |known| known.entries.len()),
        list_pushed = config.named.terms.list_pushed,
        ask_within_ms = ticks_to_millis(config.named.terms.ask_within),
        "host starts"
    );
}
