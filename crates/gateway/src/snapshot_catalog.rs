//! The snapshot catalog service: stores the tree of layers, replicates its changes to hosts, and has nodes
//! close layers and unmap reclaimed extents.
//!
//! - `hosts`: messages of hosts, and what a host that connects is sent.
//! - `operator`: requests on the control socket, and operations whose end an operator waits for.
//! - `node_commands`: commands at nodes, which close layers to writes and unmap reclaimed extents.
//! - `listing`: the tree as text.
mod hosts;
mod listing;
mod node_commands;
mod operator;

use crate::clock::{Clock, ticks_to_duration, ticks_to_millis};
use crate::control_socket::ConnectionId;
use crate::error::Error;
use crate::host_connections::{HostId, Limits};
use crate::node_connections::Nodes;
use crate::service::{
    self, FIRST_NODE_TOKEN, ListeningSockets, PeriodicTimer, Service, ServiceSockets, SocketEvent,
};
use crate::startup;
use hosts::Hello;
use mallowseam_cow::Millis;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::messages::ToHost;
use mallowseam_cow::reclaim::Reclaimer;
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Tree};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_scheduler::interface::Tick;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{self, Volume};
use mallowseam_snapshot_catalog::Catalog;
use mio::Poll;
use mio::event::Event;
use node_commands::NodeCommand;
use operator::PendingOperation;
use std::collections::BTreeMap;
use std::time::Duration;

const READ_BUFFER: usize = 64 * 1024;
const LIMITS: Limits = Limits {
    max_line: 64 * 1024,
    max_unsent: 128 << 20,
};
/// Ticks between two periodic checks of leases, connections and layers.
const CHECK_PERIOD: Tick = 100;
/// Ticks after which hosts that have not quiesced a layer get the request again.
const QUIESCE_PERIOD: Tick = 2_000;

/// Whether a host has sent its hello message, and is sent every change from then on.
type Subscribed = bool;

/// The location of an extent that hosts were notified of. It becomes writable once no host acts on an older
/// version.
struct PendingLocation {
    version: u64,
    layer: LayerId,
    extent: u32,
}

/// What is sent once the changes of this iteration are on disk.
enum Reply {
    Operator(ConnectionId, String),
    Host(HostId, ToHost),
}

struct CatalogService {
    config: GatewayConfig,
    clock: Clock,
    now: Tick,
    catalog: Catalog,
    leases: HostLeases,
    /// Extents and layers to be reclaimed.
    reclaimer: Reclaimer,
    sockets: ServiceSockets<Subscribed>,
    nodes: Nodes,
    /// Commands in flight at nodes, by tag.
    commands: BTreeMap<u32, NodeCommand>,
    last_tag: u32,
    pending_locations: Vec<PendingLocation>,
    pending_operations: Vec<PendingOperation>,
    replies: Vec<Reply>,
    /// Hello messages of this iteration.
    hellos: Vec<Hello>,
    /// This iteration has put a batch on disk.
    stored: bool,
    /// Crash points passed so far, and the one at which the process aborts.
    crash_points: u64,
    crash_at: Option<u64>,
    check_timer: PeriodicTimer<Tick>,
    quiesce_timer: PeriodicTimer<Tick>,
    read_buffer: Vec<u8>,
}

/// Runs the snapshot catalog of a site until SIGTERM, SIGINT or a request to stop.
///
/// `crash_at`: aborts at that crash point. Crash points lie before and after the store takes a batch, after
/// hosts and operators have been notified, and after a node has answered a command.
///
/// # Errors
/// An address, path or store of the configuration cannot be had, or the store fails later.
pub(crate) fn run(config: GatewayConfig, crash_at: Option<u64>) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(Error::Poll)?;
    let mut service = CatalogService::open(config, &poll)?;
    service.crash_at = crash_at;
    service::run(&mut service, &mut poll)?;
    tracing::info!("snapshot catalog stopped");
    Ok(())
}

impl CatalogService {
    fn open(config: GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let settings = config
            .catalog
            .clone()
            .ok_or(Error::MissingSection("catalog"))?;
        let address = startup::validated_address(settings.listen);
        let listening = ListeningSockets::open(
            address,
            settings.control_socket.as_deref(),
            config.nodes.len(),
            LIMITS,
            poll,
        )?;
        let catalog =
            Catalog::open(&settings.store_path).map_err(|source| Error::OpenCatalogStore {
                path: settings.store_path.clone(),
                source,
            })?;
        let initiator = format!("{}:catalog", config.host.target);
        let registry = startup::registry(poll)?;
        let nodes = Nodes::new(
            &config.nodes,
            initiator,
            ProposedParams::default(),
            registry,
            FIRST_NODE_TOKEN,
        );
        let clock = Clock::from_zero();
        let now = clock.now();
        let fresh = catalog.tree().version == 0;
        tracing::info!(listen = %address, version = catalog.tree().version, "snapshot catalog started");
        let mut service = CatalogService {
            config,
            clock,
            now,
            reclaimer: Reclaimer::from_tree(catalog.tree()),
            catalog,
            leases: HostLeases::new(ticks_to_millis(now), fresh),
            sockets: listening.watch_signals(poll)?,
            nodes,
            commands: BTreeMap::new(),
            last_tag: 0,
            pending_locations: Vec::new(),
            pending_operations: Vec::new(),
            replies: Vec::new(),
            hellos: Vec::new(),
            stored: false,
            crash_points: 0,
            crash_at: None,
            check_timer: PeriodicTimer::new(CHECK_PERIOD, now),
            quiesce_timer: PeriodicTimer::new(QUIESCE_PERIOD, now),
            read_buffer: vec![0; READ_BUFFER],
        };
        service.resume_pending_locations();
        service.create_configured_branches(&settings)?;
        Ok(service)
    }

    /// Locations that hosts were notified of, and that were not writable at the last stop, become so in this
    /// run.
    fn resume_pending_locations(&mut self) {
        let tree = self.catalog.tree();
        for (id, layer) in &tree.layers {
            for extent in layer
                .locations
                .keys()
                .filter(|extent| !layer.writable.contains(extent))
            {
                let (version, layer, extent) = (tree.version, *id, *extent);
                self.pending_locations.push(PendingLocation {
                    version,
                    layer,
                    extent,
                });
            }
        }
    }

    /// Creates a branch for each mapped volume that has none yet.
    fn create_configured_branches(&mut self, settings: &config::Catalog) -> Result<(), Error> {
        let mapped: Vec<Volume> = self
            .config
            .volumes
            .iter()
            .filter(|v| v.mapped)
            .cloned()
            .collect();
        for volume in mapped {
            if !self.tree().branches.contains_key(&volume.name) {
                let extent_count = (volume.block_count / settings.extent_blocks) as u32;
                let created = Change::BranchCreated {
                    branch: volume.name,
                    extent_count,
                };
                self.propose(created).map_err(Error::ConfiguredVolume)?;
            }
        }
        Ok(())
    }

    /// Makes a change, which counts once the batch is on disk. Its version.
    fn propose(&mut self, change: Change) -> Result<u64, ChangeError> {
        let effects = self.catalog.stage(change)?;
        self.reclaimer.record_change(self.catalog.tree(), &effects);
        Ok(self.catalog.tree().version)
    }

    /// The tree, with the changes that are not on disk yet.
    fn tree(&self) -> &Tree {
        self.catalog.tree()
    }

    /// Blocks of an extent.
    fn extent_blocks(&self) -> u64 {
        self.config
            .catalog
            .as_ref()
            .map_or(1, |catalog| catalog.extent_blocks)
    }

    fn read_node(&mut self, node: usize, readable: bool) {
        let mut more = self
            .nodes
            .on_ready(node, readable, &mut self.read_buffer, self.now);
        while more {
            more = self.nodes.read(node, &mut self.read_buffer, self.now);
        }
    }

    /// Periodic checks.
    fn on_timer(&mut self, now: Millis) {
        self.leases.remove_expired(now);
        if self.quiesce_timer.take_due(self.now) {
            self.quiesce_hosts(now);
        }
        self.nodes.on_timer(self.now);
        self.close_layers();
        self.reclaim_extents(now);
    }

    /// Makes locations writable once no host acts on a tree without them.
    fn make_locations_writable(&mut self, now: Millis) {
        for pending in std::mem::take(&mut self.pending_locations) {
            if self.leases.is_effective(pending.version, now) {
                let _ = self.propose(Change::ExtentWritable {
                    layer: pending.layer,
                    extent: pending.extent,
                });
            } else {
                self.pending_locations.push(pending);
            }
        }
    }

    /// A point at which tests have the process crash.
    fn crash_point(&mut self) {
        self.crash_points += 1;
        if self.crash_at == Some(self.crash_points) {
            std::process::abort();
        }
    }

    /// Puts the changes of this iteration on disk, then queues them for the hosts.
    fn store_changes(&mut self) -> Result<(), Error> {
        self.stored = self.catalog.committed_version() < self.tree().version;
        if self.stored {
            self.crash_point();
        }
        // A store that fails is no store: hosts go on by their leases, and a new process reads what is there.
        let batch = self.catalog.commit().map_err(Error::CatalogStore)?;
        if self.stored {
            self.crash_point();
        }
        for (version, change) in (batch.first_version..).zip(batch.changes) {
            self.sockets
                .hosts_mut()
                .broadcast(&ToHost::TreeChanged { version, change }, |host| {
                    *host.state()
                });
        }
        self.welcome_hosts();
        Ok(())
    }

    /// Sends what waited for the changes to be on disk.
    fn send_replies(&mut self) {
        for reply in std::mem::take(&mut self.replies) {
            match reply {
                Reply::Host(id, message) => self.sockets.hosts_mut().send(id, &message),
                Reply::Operator(connection, text) => {
                    self.sockets.operators_mut().answer(connection, &text);
                }
            }
        }
        self.sockets.hosts_mut().flush();
        if std::mem::take(&mut self.stored) {
            self.crash_point();
        }
    }
}

impl Service for CatalogService {
    fn is_stopping(&self) -> bool {
        self.sockets.is_stop_requested()
    }

    fn poll_timeout(&self) -> Duration {
        ticks_to_duration((self.check_timer.next_due() - self.clock.now()).max(0))
    }

    fn on_poll_returned(&mut self) {
        self.now = self.clock.now();
    }

    fn on_event(&mut self, event: &Event) -> Result<(), Error> {
        match self.sockets.on_ready(event.token()) {
            Some(SocketEvent::Request { connection, line }) => self.on_request(connection, &line),
            Some(SocketEvent::Node(node)) => {
                let readable = event.is_readable() || event.is_error() || event.is_read_closed();
                self.read_node(node, readable);
            }
            Some(SocketEvent::Host(id)) => {
                while let Some(message) = self.sockets.hosts_mut().next_message(id) {
                    self.on_message(id, message);
                }
            }
            None => {}
        }
        Ok(())
    }

    fn after_events(&mut self) -> Result<(), Error> {
        let now = ticks_to_millis(self.now);
        self.on_completed_commands();
        self.make_locations_writable(now);
        if self.check_timer.take_due(self.now) {
            self.on_timer(now);
        }
        self.advance_operations(now);
        self.store_changes()?;
        self.nodes.flush();
        self.send_replies();
        Ok(())
    }
}
