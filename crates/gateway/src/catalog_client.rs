//! The connection to the snapshot catalog, and what this host knows of the tree.
use crate::json_lines::{Disconnect, LineConnection, LineRead};
use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::CUT_TIMEOUT;
use mallowseam_cow::messages::{ToCatalog, ToHost};
use mallowseam_cow::tree::{LayerId, Tree};
use mallowseam_cow::tree_replica::{Lookup, SLOT_BATCH, TreeReplica};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest line of the catalog in bytes: a whole tree without its locations, of some hundred thousand layers
/// and names. A longer one ends the connection.
const MAX_LINE: usize = 32 << 20;
/// Reads from the catalog between two looks at clients and nodes: a tree of a million extents comes in
/// pieces.
const READS_PER_TURN: usize = 4;

/// The catalog's request to quiesce a layer: to report once no split write is partly completed in it.
pub(crate) struct QuiesceRequest {
    pub(crate) layer: LayerId,
    pub(crate) branch: String,
}

/// The catalog's answer to whether a write with parts in a layer may be completed.
pub(crate) struct CompletionDecision {
    pub(crate) layer: LayerId,
    pub(crate) granted: bool,
}

/// The connection to the catalog and the cached tree.
pub(crate) struct CatalogClient {
    host: String,
    address: SocketAddr,
    registry: Registry,
    token: Token,
    connection: Option<LineConnection>,
    readable: bool,
    /// No attempt to connect before this time.
    next_connect: Millis,
    /// The tree as this host knows it, and its lease.
    replica: TreeReplica,
    /// Counts up with every message.
    revision: u64,
    /// Layers that the catalog waits for this host to quiesce.
    quiesce_requests: Vec<QuiesceRequest>,
    /// Answers that the dispatcher has not taken yet.
    completion_decisions: Vec<CompletionDecision>,
    /// Branches with a pending cut, and the time until which it delays split writes at most.
    pending_cuts: BTreeMap<String, Millis>,
    /// When slots of a layer were last requested.
    slots_requested: BTreeMap<LayerId, Millis>,
}

impl CatalogClient {
    /// The client of a host; it connects at the first `on_timer`.
    pub(crate) fn new(host: &str, address: SocketAddr, registry: Registry, token: Token) -> Self {
        CatalogClient {
            host: host.to_owned(),
            address,
            registry,
            token,
            connection: None,
            readable: false,
            next_connect: 0,
            replica: TreeReplica::default(),
            revision: 0,
            quiesce_requests: Vec::new(),
            completion_decisions: Vec::new(),
            pending_cuts: BTreeMap::new(),
            slots_requested: BTreeMap::new(),
        }
    }

    /// Queues a message.
    pub(crate) fn send(&mut self, message: &ToCatalog) {
        if let Some(connection) = &mut self.connection {
            connection.send(message);
        }
    }

    /// The tree as this host knows it.
    pub(crate) fn tree(&self) -> Option<&Tree> {
        self.replica.tree()
    }

    /// Changes with every message that may let a waiting block I/O go on.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Where an extent of a branch or snapshot is read or written now.
    pub(crate) fn look_up(&mut self, name: &str, extent: u32, write: bool, now: Millis) -> Lookup {
        self.replica.look_up(name, extent, write, now)
    }

    /// Takes slots of a layer that no attempt has used yet, as many as there are up to `count`.
    pub(crate) fn take_slots(&mut self, layer: LayerId, count: usize) -> Vec<u32> {
        std::iter::from_fn(|| self.replica.take_slot(layer))
            .take(count)
            .collect()
    }

    /// The catalog's decisions about split writes, which are taken once.
    pub(crate) fn take_completion_decisions(&mut self) -> Vec<CompletionDecision> {
        std::mem::take(&mut self.completion_decisions)
    }

    /// Whether the catalog waits for this host to quiesce a layer.
    pub(crate) fn is_quiescing(&self) -> bool {
        !self.quiesce_requests.is_empty()
    }

    /// Reports the layers that this host has quiesced: those without a split write.
    pub(crate) fn report_quiesced(&mut self, has_split_write: impl Fn(&QuiesceRequest) -> bool) {
        let requests = std::mem::take(&mut self.quiesce_requests);
        let (pending, quiesced): (Vec<QuiesceRequest>, Vec<QuiesceRequest>) =
            requests.into_iter().partition(has_split_write);
        self.quiesce_requests = pending;
        for QuiesceRequest { layer, .. } in quiesced {
            self.send(&ToCatalog::Quiesced { layer });
        }
    }

    /// Whether a cut of a branch is pending.
    pub(crate) fn has_pending_cut(&self, branch: &str, now: Millis) -> bool {
        self.pending_cuts
            .get(branch)
            .is_some_and(|until| now < *until)
    }

    /// Connects and renews the lease where that is due, and writes what is queued.
    pub(crate) fn on_timer(&mut self, now: Millis) {
        if self.connection.is_none() && now >= self.next_connect {
            self.next_connect = now + TreeReplica::RECONNECT_INTERVAL;
            match LineConnection::connect(self.address, &self.registry, self.token) {
                Ok(connection) => {
                    self.connection = Some(connection);
                    self.slots_requested.clear();
                    let (host, known) = (self.host.clone(), self.replica.known());
                    self.send(&ToCatalog::Hello { host, known });
                }
                Err(e) => tracing::debug!(error = %e, "snapshot catalog not reachable"),
            }
        }
        if self.connection.is_some() && self.replica.renewal_due(now) {
            let seen_version = self.replica.version().unwrap_or(0);
            self.send(&ToCatalog::RenewLease {
                sent_at: now,
                seen_version,
            });
        }
        self.flush();
    }

    /// Requests place slots of a layer while few are left.
    pub(crate) fn request_slots(&mut self, layer: LayerId, now: Millis) {
        let due = self
            .slots_requested
            .get(&layer)
            .is_none_or(|last| now >= last + TreeReplica::RECONNECT_INTERVAL);
        if self.replica.needs_slots(layer) && due {
            self.slots_requested.insert(layer, now);
            self.send(&ToCatalog::AllocateSlots {
                layer,
                count: SLOT_BATCH,
            });
        }
    }

    fn flush(&mut self) {
        if let Some(Err(reason)) = self.connection.as_mut().map(LineConnection::flush) {
            self.disconnect(&reason);
        }
    }

    fn disconnect(&mut self, reason: &Disconnect) {
        if let Some(connection) = self.connection.take() {
            connection.close(&self.registry);
            tracing::warn!(%reason, "snapshot catalog connection lost");
        }
        self.replica.connection_lost();
    }

    /// The catalog's socket is ready: reads up to `READS_PER_TURN` times if `readable`, or if the turn before
    /// left data unread, and writes. True: there is more to read, in another turn.
    pub(crate) fn on_ready(&mut self, readable: bool, buffer: &mut [u8], now: Millis) -> bool {
        self.readable |= readable;
        self.flush();
        for _ in 0..READS_PER_TURN {
            if !self.readable {
                break;
            }
            self.read(buffer, now);
        }
        self.flush();
        self.readable
    }

    fn read(&mut self, buffer: &mut [u8], now: Millis) {
        let Some(connection) = &mut self.connection else {
            self.readable = false;
            return;
        };
        match connection.read(buffer, MAX_LINE) {
            LineRead::WouldBlock => self.readable = false,
            LineRead::Closed(reason) => self.disconnect(&reason),
            LineRead::Lines(lines) => {
                for line in lines {
                    // What came on a connection that is given up counts no more.
                    if self.connection.is_none() {
                        break;
                    }
                    match serde_json::from_slice(&line) {
                        Ok(message) => self.on_message(message, now),
                        Err(e) => self.disconnect(&e.into()),
                    }
                }
            }
        }
    }

    /// A message does not follow from the known tree: a new connection begins with the whole tree.
    fn resynchronize(&mut self) {
        self.replica.invalidate();
        self.disconnect(&Disconnect::TreeOutOfSequence);
    }

    fn on_message(&mut self, message: ToHost, now: Millis) {
        self.revision += 1;
        match message {
            ToHost::FullTree { catalog_id, tree } => {
                self.replica.begin_full_tree(catalog_id, *tree);
            }
            ToHost::Locations { layer, locations } => {
                if !self.replica.add_locations(layer, &locations) {
                    self.resynchronize();
                }
            }
            ToHost::FullTreeEnd if !self.replica.finish_full_tree() => self.resynchronize(),
            ToHost::FullTreeEnd | ToHost::CaughtUp => self.on_tree_complete(now),
            ToHost::TreeChanged { version, change } => {
                if self.replica.apply_change(version, &change) {
                    self.send(&ToCatalog::Acknowledge { version });
                } else {
                    self.resynchronize();
                }
            }
            ToHost::LeaseGranted { sent_at, duration } => {
                self.replica.lease_granted(sent_at, duration);
            }
            ToHost::SlotsAllocated {
                layer,
                first,
                count,
            } => {
                self.slots_requested.remove(&layer);
                self.replica.add_slots(layer, first, count);
            }
            ToHost::LocationRejected { .. } => {}
            ToHost::CutFinished { branch } => drop(self.pending_cuts.remove(&branch)),
            ToHost::Quiesce { layer, branch } => {
                self.pending_cuts.insert(branch.clone(), now + CUT_TIMEOUT);
                if !self
                    .quiesce_requests
                    .iter()
                    .any(|request| request.layer == layer)
                {
                    self.quiesce_requests.push(QuiesceRequest { layer, branch });
                }
            }
            ToHost::CompletionDecision { layer, granted } => {
                self.completion_decisions
                    .push(CompletionDecision { layer, granted });
            }
        }
    }

    /// The tree of a new connection is complete: the lease is renewed by it.
    fn on_tree_complete(&mut self, now: Millis) {
        let version = self.replica.version().unwrap_or(0);
        tracing::info!(version, "snapshot catalog synchronized");
        self.replica.connection_lost();
        if self.replica.renewal_due(now) {
            self.send(&ToCatalog::RenewLease {
                sent_at: now,
                seen_version: version,
            });
        }
        self.send(&ToCatalog::Acknowledge { version });
    }
}
