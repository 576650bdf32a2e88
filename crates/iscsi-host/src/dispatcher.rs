//! The block I/Os in flight between clients, the scheduler and nodes. The dispatcher carries out the
//! scheduler's decisions. Outcomes are queued and reported to the scheduler once its current call has
//! returned.
//!
//! Types with their own state:
//! - `block_ios`: block I/Os (`block_io`), their attempts (`attempt_tags`, `attempt_timeouts`), and the
//!   reports on them to the scheduler (`bio_builder`, and the package `scheduler-driver`).
//! - `commands`: commands of clients, whose outcome follows from that of their parts.
//! - `exported_units`: the logical units that clients see, backed by the `volumes` of the configuration.
//! - `mapped_volumes`: volumes whose locations are in the snapshot catalog, with `extent_copies`.
//!
//! Event handlers that span several of these types:
//! - `client_commands`, `local_commands`, `answers`: commands from arrival to answer.
//! - `lookups`, `split_writes`: locations of block I/Os of mapped volumes, and cuts that delay them.
//! - `attempts`, `scheduler_host`: attempts at nodes, and calls from the scheduler.
//! - `connections`: connections of clients, to nodes and to the snapshot catalog.
mod answers;
mod attempt_tags;
mod attempt_timeouts;
mod attempts;
mod bio_builder;
mod block_io;
mod block_ios;
mod client_commands;
mod commands;
mod connections;
mod exported_units;
mod extent_copies;
mod io_classes;
mod layer_location;
mod local_commands;
mod lookups;
mod mapped_volumes;
mod part_ids;
mod parts_in_flight;
mod scheduler_host;
mod split_writes;
mod transfer;
mod volumes;

use crate::catalog_client::CatalogClient;
use crate::client_connections::{ClientId, Clients};
use crate::metrics::Metrics;
use crate::node_connections::{NodeIndex, Nodes};
use block_ios::BlockIos;
use client_commands::ClientRequest;
use commands::Commands;
use exported_units::ExportedUnits;
use mallowseam_iscsi::target::TargetEvent;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    EndpointEvent, Host, NodeEndpoint, NodeState, Tick, VolumeId,
};
use mallowseam_scheduler_driver::DrivenHost;
use mallowseam_settings::GatewayConfig;
use mapped_volumes::MappedVolumes;

/// The block I/Os in flight, and the connections of clients and nodes that carry them.
pub(crate) struct Dispatcher {
    /// Time of the current iteration of the event loop.
    now: Tick,
    clients: Clients,
    nodes: Nodes,
    metrics: Metrics,
    units: ExportedUnits,
    commands: Commands,
    block_ios: BlockIos,
    /// Mapped volumes; `None` if the host has none.
    mapped: Option<MappedVolumes>,
}

impl Dispatcher {
    /// Creates a dispatcher with nothing in flight. `catalog`: client of the snapshot catalog, if the host has
    /// mapped volumes.
    pub(crate) fn new(
        config: &GatewayConfig,
        clients: Clients,
        nodes: Nodes,
        catalog: Option<CatalogClient>,
    ) -> Self {
        let catalog_config = config.catalog.clone().unwrap_or_default();
        let max_attempts = config.fleet.max_attempts;
        Dispatcher {
            now: 0,
            clients,
            nodes,
            metrics: Metrics::new(
                config.io_classes.len(),
                config.nodes.len(),
                config.volumes.len(),
            ),
            units: ExportedUnits::new(config),
            commands: Commands::default(),
            block_ios: BlockIos::new(config),
            mapped: catalog
                .map(|catalog| MappedVolumes::new(catalog, &catalog_config, max_attempts)),
        }
    }

    /// Returns the time of the current iteration.
    pub(crate) fn now(&self) -> Tick {
        self.now
    }

    /// Sets the time of the current iteration.
    pub(crate) fn set_now(&mut self, now: Tick) {
        self.now = now;
    }

    /// Returns the connections of clients.
    pub(crate) fn clients(&self) -> &Clients {
        &self.clients
    }

    /// Returns the connections to nodes.
    pub(crate) fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Returns the counters of the host.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Assigns a plan to each volume. `plans`: indices of the plans, in the order of the configured volumes.
    /// Returns the volumes whose plan has changed, with the index of the new plan.
    pub(crate) fn apply_plans(&mut self, plans: &[usize]) -> Vec<(VolumeId, u16)> {
        self.units.apply_plans(plans)
    }

    /// Returns the number of block I/Os in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.block_ios.len()
    }

    /// Returns the earliest time at which work is due without an event: the scheduler's timer, the timeout of
    /// an attempt, or a repeated lookup.
    pub(crate) fn next_due(&self) -> Option<Tick> {
        let lookup = self.mapped.as_ref().and_then(MappedVolumes::next_lookup);
        let timers = [
            self.block_ios.driver().timer_due(),
            self.block_ios.next_timeout(),
            lookup,
        ];
        timers.into_iter().flatten().min()
    }

    /// Returns whether the scheduler has requested the endpoint list since the last call.
    pub(crate) fn take_endpoint_list_request(&mut self) -> bool {
        self.block_ios.driver_mut().take_endpoints_request()
    }

    /// Passes an update of the endpoint list, or a failed request for it, to the scheduler.
    pub(crate) fn on_endpoints(
        &mut self,
        scheduler: &mut Scheduler,
        event: EndpointEvent,
        nodes: &[NodeEndpoint],
    ) {
        for listed in nodes {
            let removed = listed.state == NodeState::Removed;
            self.nodes.set_removed(listed.node.0 as NodeIndex, removed);
        }
        let now = self.now;
        scheduler.on_endpoints(self, now, event, nodes);
        self.withdraw_from_inactive_nodes(event, nodes);
        self.process_pending(scheduler);
    }

    /// Handles an event of a client's session.
    fn on_client_event(&mut self, scheduler: &mut Scheduler, client: ClientId, event: TargetEvent) {
        match event {
            TargetEvent::LoggedIn(identity) => self.clients.on_login(client, identity.initiator),
            TargetEvent::Command {
                task,
                lun,
                cdb,
                read_len,
                data,
            } => {
                let request = ClientRequest {
                    client,
                    task,
                    lun,
                    cdb,
                    read_len,
                    data,
                };
                self.on_command(scheduler, request);
            }
            TargetEvent::CommandAborted { task } => {
                if let Some(aborted) = self.clients.abort_command(client, task) {
                    self.abandon_command(aborted.command);
                }
            }
            TargetEvent::Logout | TargetEvent::NopOut => {}
        }
    }

    /// Fires the scheduler's timer for the first time.
    pub(crate) fn run_first_timer(&mut self, scheduler: &mut Scheduler) {
        self.set_timer(0);
        self.on_timer(scheduler);
    }

    /// Fires the scheduler's timer once it is due.
    pub(crate) fn on_timer(&mut self, scheduler: &mut Scheduler) {
        if self.fire_timer(scheduler) {
            self.process_pending(scheduler);
        }
    }

    /// Passes everything that is pending to the scheduler: reports first, then copy steps, then block I/Os that
    /// wait for their location. Repeats this until nothing is pending.
    pub(crate) fn process_pending(&mut self, scheduler: &mut Scheduler) {
        loop {
            self.abandon_commands_of_closed_connections();
            if let Some(finished) = self.nodes.next_finished() {
                self.on_finished_attempt(finished);
            }
            let has_more = self.report_next(scheduler)
                || self.start_next_copy_step(scheduler)
                || self.nodes.has_finished()
                || self.clients.has_abandoned()
                || self.retry_lookups(scheduler);
            if !has_more {
                return;
            }
        }
    }

    fn abandon_commands_of_closed_connections(&mut self) {
        while let Some(commands) = self.clients.next_abandoned() {
            for abandoned in commands {
                self.abandon_command(abandoned.command);
            }
        }
    }

    /// Passes the next queued copy step to the scheduler. Returns whether there was one.
    fn start_next_copy_step(&mut self, scheduler: &mut Scheduler) -> bool {
        let step = self.mapped.as_mut().and_then(MappedVolumes::next_copy_step);
        if let Some(step) = step {
            self.pass_to_scheduler(scheduler, step);
        }
        step.is_some()
    }
}
