//! The snapshot catalog service. It stores the tree of layers, replicates changes of the tree to hosts, and sends
//! commands to nodes by which they close layers to writes and unmap reclaimed extents.
//!
//! Modules that handle events:
//! - `hosts`: messages of hosts.
//! - `operator`: requests on the control socket.
//! - `operations`: the steps of operations whose end an operator waits for.
//! - `node_events`: ends of commands at nodes.
//!
//! Modules that hold the service's state, one type per file: `settings`, `stored_tree`, `node_commands`,
//! `pending_locations`, `pending_operations`, `outbox`, `crash_points`. `listing` formats the tree as text. The caller
//! provides the connections to nodes: [`NodeConnections`].
#![warn(missing_docs)]

mod crash_points;
mod error;
mod hosts;
mod listing;
mod node_commands;
mod node_connections;
mod node_events;
mod operations;
mod operator;
mod outbox;
mod pending_locations;
mod pending_operations;
mod settings;
mod stored_tree;
mod subscription;

pub use error::Error;
pub use node_connections::{FinishedCommand, NodeConnections, UnitCommand};

use crash_points::CrashPoints;
use mallowseam_control_protocol::startup;
use mallowseam_cow::Millis;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::messages::ToHost;
use mallowseam_cow::tree::{Change, Tree};
use mallowseam_scheduler::interface::Tick;
use mallowseam_service_loop::{
    FIRST_NODE_TOKEN, Limits, ListeningSockets, PollError, Service, ServiceSockets, SocketEvent,
};
use mallowseam_settings::GatewayConfig;
use mallowseam_sockets::clock::{Clock, ticks_to_duration, ticks_to_millis};
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use mio::event::Event;
use mio::{Poll, Registry};
use node_commands::NodeCommands;
use outbox::Outbox;
use pending_locations::PendingLocations;
use pending_operations::PendingOperations;
use settings::Settings;
use std::time::Duration;
use stored_tree::StoredTree;
use subscription::Subscription;

/// Limits in bytes for one host connection. Messages to the catalog are short, while a full tree may wait to be read by
/// the host.
const HOST_LIMITS: Limits = Limits {
    max_line: 64 * 1024,
    max_unsent: 128 << 20,
};
/// Interval between two periodic checks of leases, connections and layers, in ticks.
const CHECK_PERIOD: Tick = 100;
/// Interval at which the quiesce request is sent again to hosts that have not confirmed it, in ticks.
const QUIESCE_PERIOD: Tick = 2_000;

/// State of the running service. `N` are the connections to the nodes.
struct CatalogService<N> {
    clock: Clock,
    /// When the last poll returned.
    now: Tick,
    settings: Settings,
    sockets: ServiceSockets<Subscription>,
    tree: StoredTree,
    leases: HostLeases,
    node_commands: NodeCommands<N>,
    pending_locations: PendingLocations,
    pending_operations: PendingOperations,
    outbox: Outbox,
    check_timer: PeriodicTimer<Tick>,
    quiesce_timer: PeriodicTimer<Tick>,
    crash_points: CrashPoints,
}

/// Runs the snapshot catalog of a site until SIGTERM, SIGINT or a request to stop.
///
/// `crash_at`: number of the crash point at which the process aborts, for tests. There is a crash point before and
/// after the store commits a batch, one after hosts and operators have been notified of the batch, and one after a
/// command at a node has ended. `connect_nodes`: returns the connections to the nodes of the configuration. Their poll
/// tokens begin with the number that it is called with.
///
/// # Errors
/// Returns an error if an address, path or store of the configuration cannot be opened, or the store fails later.
pub fn run<N: NodeConnections>(
    config: &GatewayConfig,
    crash_at: Option<u64>,
    connect_nodes: impl FnOnce(Registry, usize) -> N,
) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(PollError)?;
    let mut service = CatalogService::open(config, crash_at, connect_nodes, &poll)?;
    mallowseam_service_loop::run(&mut service, &mut poll)?;
    tracing::info!("snapshot catalog stopped");
    Ok(())
}

impl<N: NodeConnections> CatalogService<N> {
    fn open(
        config: &GatewayConfig,
        crash_at: Option<u64>,
        connect_nodes: impl FnOnce(Registry, usize) -> N,
        poll: &Poll,
    ) -> Result<Self, Error> {
        let section = config.catalog.as_ref().ok_or(Error::MissingSection)?;
        let address = startup::validated_address(section.listen);
        let listening = ListeningSockets::open(
            address,
            section.control_socket.as_deref(),
            config.nodes.len(),
            HOST_LIMITS,
            poll,
        )?;
        let tree = StoredTree::open(&section.store_path)?;
        let nodes = connect_nodes(startup::registry(poll)?, FIRST_NODE_TOKEN);
        let clock = Clock::from_zero();
        let now = clock.now();
        tracing::info!(listen = %address, version = tree.tree().version, "snapshot catalog started");
        let mut service = CatalogService {
            clock,
            now,
            settings: Settings::new(config, section),
            sockets: listening.watch_signals(poll)?,
            leases: HostLeases::new(ticks_to_millis(now), tree.is_new()),
            node_commands: NodeCommands::new(nodes),
            pending_locations: PendingLocations::from_tree(tree.tree()),
            pending_operations: PendingOperations::default(),
            outbox: Outbox::default(),
            check_timer: PeriodicTimer::new(CHECK_PERIOD, now),
            quiesce_timer: PeriodicTimer::new(QUIESCE_PERIOD, now),
            crash_points: CrashPoints::new(crash_at),
            tree,
        };
        service.create_configured_branches()?;
        Ok(service)
    }

    /// Creates a branch for each mapped volume of the configuration that has none yet.
    fn create_configured_branches(&mut self) -> Result<(), Error> {
        for volume in self.settings.mapped_volumes() {
            if !self.tree.tree().branches.contains_key(&volume.name) {
                let created = Change::BranchCreated {
                    branch: volume.name.clone(),
                    extent_count: volume.extent_count,
                };
                self.tree
                    .propose(created)
                    .map_err(Error::ConfiguredVolume)?;
            }
        }
        Ok(())
    }

    /// Returns the tree, including changes that are not on disk yet.
    fn tree(&self) -> &Tree {
        self.tree.tree()
    }

    /// Returns when the last poll returned, in milliseconds.
    fn now_millis(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    /// Runs the periodic checks of leases, connections and layers.
    fn on_timer(&mut self) {
        self.leases.remove_expired(self.now_millis());
        if self.quiesce_timer.take_due(self.now) {
            self.quiesce_hosts();
        }
        self.node_commands.on_timer(self.now);
        self.close_layers();
        self.reclaim_extents();
    }

    /// Makes locations writable once no host acts on a tree without them.
    fn make_locations_writable(&mut self) {
        let now = ticks_to_millis(self.now);
        for location in self.pending_locations.take_effective(&self.leases, now) {
            // The change is rejected if the tree has changed in the meantime. Then nothing is left to do.
            let _ = self.tree.propose(Change::ExtentWritable {
                layer: location.layer,
                extent: location.extent,
            });
        }
    }

    /// Commits the changes of this iteration to disk, then queues them for the hosts. Returns whether there were any.
    fn store_changes(&mut self) -> Result<bool, Error> {
        let has_changes = self.tree.has_uncommitted_changes();
        if has_changes {
            self.crash_points.pass();
        }
        let batch = self.tree.commit()?;
        if has_changes {
            self.crash_points.pass();
        }
        for (version, change) in (batch.first_version..).zip(batch.changes) {
            let changed = ToHost::TreeChanged { version, change };
            self.sockets
                .hosts_mut()
                .broadcast(&changed, |host| *host.state() == Subscription::Active);
        }
        self.update_new_hosts();
        Ok(has_changes)
    }

    /// Sends each host that has said hello the changes on disk that it lacks. Later changes follow one by one.
    fn update_new_hosts(&mut self) {
        for hello in self.outbox.take_hellos() {
            if let Some(host) = self.sockets.hosts_mut().get_mut(hello.host) {
                host.set_state(Subscription::Active);
                self.tree.send_missing(hello.replica_version, host);
            }
        }
    }

    /// Sends the replies that waited for the changes to be on disk.
    fn send_replies(&mut self) {
        self.outbox.send_replies(&mut self.sockets);
        self.sockets.hosts_mut().flush();
    }
}

impl<N: NodeConnections> Service for CatalogService<N> {
    type Error = Error;

    fn is_stopping(&self) -> bool {
        self.sockets.is_stop_requested()
    }

    fn poll_timeout(&self) -> Duration {
        ticks_to_duration(self.check_timer.next_due() - self.clock.now())
    }

    fn on_poll_returned(&mut self) {
        self.now = self.clock.now();
    }

    fn on_event(&mut self, event: &Event) -> Result<(), Error> {
        match self.sockets.on_ready(event.token()) {
            Some(SocketEvent::Request { connection, line }) => self.on_request(connection, &line),
            Some(SocketEvent::Node(node)) => {
                let readable = event.is_readable() || event.is_error() || event.is_read_closed();
                self.node_commands.on_node_ready(node, readable, self.now);
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
        self.process_ended_commands();
        self.make_locations_writable();
        if self.check_timer.take_due(self.now) {
            self.on_timer();
        }
        self.advance_operations();
        let has_stored = self.store_changes()?;
        self.node_commands.flush();
        self.send_replies();
        if has_stored {
            self.crash_points.pass();
        }
        Ok(())
    }
}
