//! The block I/Os in flight: the client of each, and its attempt at a node. Carries out the
//! scheduler's decisions; their outcomes are queued and passed to the scheduler once its present call has
//! returned.
//!
//! - `block_io`: commands, block I/Os and attempts, and the tags of attempts.
//! - `commands`: commands of clients, from their arrival to their answer.
//! - `attempts`: attempts at nodes, and the scheduler's view of this host.
//! - `local_commands`: commands that the host answers itself.
//! - `exported_units`: the units that clients see.
//! - `mapped_volumes`, `split_writes`, `extent_copies`: block I/Os whose location the snapshot catalog knows.
mod attempts;
mod block_io;
mod commands;
mod exported_units;
mod extent_copies;
mod local_commands;
mod mapped_volumes;
mod split_writes;

use crate::catalog_client::CatalogClient;
use crate::client_connections::{ClientId, Clients};
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use crate::metrics::Metrics;
use crate::node_connections::Nodes;
use crate::scheduler_config::{mapped_layout, volume_layout};
use crate::slab::Slab;
use attempts::AttemptTimeout;
use block_io::{BlockIo, Command};
use exported_units::ExportedUnit;
use extent_copies::ExtentCopy;
use mallowseam_connection_policy::request_splitting::{SubRequest, VolumeLayout};
use mallowseam_cow::copy_budget::CopyBudget;
use mallowseam_cow::tree::LayerExtent;
use mallowseam_iscsi::target::TargetEvent;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptOutcome, BioId, Tick, VolumeId};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{self, Idempotency};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

/// A volume of the configuration.
struct Volume {
    name: String,
    /// Index of its plan.
    plan: u16,
    lun: u32,
    block_count: u64,
    /// Bytes of a block.
    block_size: u32,
    /// Number of hosts through which it is used.
    host_count: u32,
    layout: VolumeLayout,
    /// Its branch in the snapshot catalog, where that knows the locations of its extents.
    branch: Option<Rc<str>>,
}

impl Volume {
    fn new(config: &GatewayConfig, volume: &config::Volume, extent_blocks: u64) -> Self {
        let layout = if volume.mapped {
            mapped_layout(volume, extent_blocks)
        } else {
            volume_layout(config, volume)
        };
        Volume {
            name: volume.name.clone(),
            plan: volume.plan as u16,
            lun: volume.lun.into(),
            block_count: volume.block_count,
            block_size: volume.block_size,
            host_count: volume.host_count,
            layout,
            branch: volume.mapped.then(|| volume.name.as_str().into()),
        }
    }
}

/// An I/O class of the configuration.
struct IoClassConfig {
    /// Ticks after which a client gives up.
    deadline: Tick,
    /// Ticks within which block I/Os are to complete.
    latency_objective: Tick,
    non_idempotent: bool,
}

impl IoClassConfig {
    fn new(class: &config::IoClass) -> Self {
        IoClassConfig {
            deadline: ticks_from_micros_floor(class.deadline),
            latency_objective: ticks_from_micros_ceil(class.latency_objective),
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        }
    }
}

/// Index of a block I/O, which is its id for the scheduler as well.
type BlockIoIndex = u32;

/// The block I/Os in flight, with the connections that they come from and go to.
pub(crate) struct Dispatcher {
    /// The time of the present iteration of the event loop.
    pub(crate) now: Tick,
    pub(crate) clients: Clients,
    pub(crate) nodes: Nodes,
    pub(crate) metrics: Metrics,
    /// The client of the snapshot catalog, where the host has mapped volumes.
    pub(crate) catalog: Option<CatalogClient>,
    /// When the timer that the scheduler has set is due.
    pub(crate) timer_due: Option<Tick>,
    /// The scheduler has requested the endpoint list.
    pub(crate) endpoint_list_requested: bool,
    volumes: Vec<Volume>,
    classes: Vec<IoClassConfig>,
    /// Bytes of a unit, in which costs are counted.
    unit_bytes: u64,
    max_transfer_bytes: u64,
    max_attempts: u32,
    /// The shard of each node.
    shards: Vec<u32>,
    block_ios: Slab<BlockIo>,
    commands: Slab<Command>,
    /// Ordering keys by LUN and number, each with a small index for the scheduler.
    ordering_keys: Interner<(u32, u64)>,
    /// How many attempts each block I/O's index has had, for their tags.
    attempt_counts: Vec<u32>,
    attempt_timeouts: BinaryHeap<Reverse<AttemptTimeout>>,
    /// Outcomes of attempts that are not passed to the scheduler yet.
    outcomes: VecDeque<(BioId, AttemptOutcome)>,
    /// Block I/Os to be withdrawn from the scheduler: nobody waits for them, or their location is looked up
    /// again.
    withdrawn: VecDeque<BioId>,
    /// Block I/Os of copies that are not passed to the scheduler yet.
    arrivals: VecDeque<BlockIoIndex>,
    /// Reused for splitting commands.
    sub_requests: Vec<SubRequest>,
    /// The sequence number of the last block I/O.
    last_sequence: u64,
    /// Blocks of an extent of mapped volumes.
    extent_blocks: u64,
    /// Index of the I/O class of copies.
    copy_class: usize,
    /// Snapshots and clones by LUN, of a version of the tree.
    units: BTreeMap<u32, ExportedUnit>,
    units_version: Option<u64>,
    /// Block I/Os whose location is not known yet, in the order in which they arrived.
    waiting: Vec<BlockIoIndex>,
    /// The catalog's revision at the last lookup of those, and when the next one is due.
    lookup_revision: u64,
    next_lookup: Tick,
    copy_budget: CopyBudget,
    copies: BTreeMap<LayerExtent, ExtentCopy>,
}

impl Dispatcher {
    /// Nothing is in flight.
    pub(crate) fn new(
        config: &GatewayConfig,
        clients: Clients,
        nodes: Nodes,
        catalog: Option<CatalogClient>,
    ) -> Self {
        let catalog_config = config.catalog.clone().unwrap_or_default();
        let extent_blocks = catalog_config.extent_blocks;
        Dispatcher {
            now: 0,
            clients,
            nodes,
            metrics: Metrics::new(
                config.io_classes.len(),
                config.nodes.len(),
                config.volumes.len(),
            ),
            catalog,
            timer_due: None,
            endpoint_list_requested: false,
            volumes: config
                .volumes
                .iter()
                .map(|volume| Volume::new(config, volume, extent_blocks))
                .collect(),
            classes: config.io_classes.iter().map(IoClassConfig::new).collect(),
            unit_bytes: config.fleet.unit_bytes,
            max_transfer_bytes: config.host.max_transfer_bytes,
            max_attempts: config.fleet.max_attempts,
            shards: config.nodes.iter().map(|node| node.shard).collect(),
            block_ios: Slab::default(),
            commands: Slab::default(),
            ordering_keys: Interner::default(),
            attempt_counts: Vec::new(),
            attempt_timeouts: BinaryHeap::new(),
            outcomes: VecDeque::new(),
            withdrawn: VecDeque::new(),
            arrivals: VecDeque::new(),
            sub_requests: Vec::new(),
            last_sequence: 0,
            extent_blocks,
            copy_class: catalog_config.copy_class,
            units: BTreeMap::new(),
            units_version: None,
            waiting: Vec::new(),
            lookup_revision: 0,
            next_lookup: 0,
            copy_budget: CopyBudget::default(),
            copies: BTreeMap::new(),
        }
    }

    /// Volumes have these plans from now on, by index. Returns the scheduler's handles of those whose plan
    /// has changed.
    pub(crate) fn apply_plans(&mut self, plans: &[usize]) -> Vec<(VolumeId, u16)> {
        let mut changed = Vec::new();
        for (index, (volume, plan)) in self.volumes.iter_mut().zip(plans).enumerate() {
            let plan = *plan as u16;
            if volume.plan != plan {
                volume.plan = plan;
                changed.push((VolumeId(index as u32), plan));
            }
        }
        changed
    }

    /// Block I/Os in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.block_ios.len()
    }

    /// An event of a client's session.
    pub(crate) fn on_client_event(
        &mut self,
        scheduler: &mut Scheduler,
        client: ClientId,
        event: TargetEvent,
    ) {
        match event {
            TargetEvent::LoggedIn(who) => self.clients.on_login(client, who.initiator),
            TargetEvent::Command {
                task,
                lun,
                cdb,
                read_len,
                data,
            } => {
                let request = commands::ClientRequest {
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

    /// Calls the scheduler's timer once it is due. Nothing else may call it: the scheduler sets each time
    /// once, would mistake an earlier or later call for the one that it has set, and would wait in vain for
    /// the next.
    pub(crate) fn on_timer(&mut self, scheduler: &mut Scheduler) {
        if self.timer_due.is_some_and(|time| time <= self.now) {
            self.timer_due = None;
            let now = self.now;
            scheduler.on_timer(self, now);
            self.process_pending(scheduler);
        }
    }

    /// Passes outcomes, withdrawals and arrivals to the scheduler until none is left.
    pub(crate) fn process_pending(&mut self, scheduler: &mut Scheduler) {
        let now = self.now;
        loop {
            while let Some(commands) = self.clients.next_abandoned() {
                for abandoned in commands {
                    self.abandon_command(abandoned.command);
                }
            }
            if let Some(finished) = self.nodes.next_finished() {
                self.on_finished_attempt(finished);
            }
            // Withdrawals go first: what is withdrawn behind a write that was rejected must not be sent when
            // that one frees its place in the window.
            if let Some(id) = self.withdrawn.pop_front() {
                if self.block_ios.get(id.0).is_some() {
                    scheduler.on_disconnect(self, now, id);
                }
            } else if let Some((id, outcome)) = self.outcomes.pop_front() {
                scheduler.on_attempt_finished(self, now, id, &outcome);
            } else if let Some(index) = self.arrivals.pop_front() {
                self.pass_to_scheduler(scheduler, index);
            } else if !self.nodes.has_finished()
                && !self.clients.has_abandoned()
                && !self.retry_lookups(scheduler)
            {
                return;
            }
        }
    }
}
