//! Client of the snapshot catalog: the connection, and this host's replica of the tree.
//! `cut_requests`: pending cuts and requests of the catalog that concern them.
mod cut_requests;

pub(crate) use cut_requests::{CompletionDecision, QuiesceRequest};

use cut_requests::CutRequests;
use mallowseam_control_protocol::json_lines::{Disconnect, LineConnection, LineRead};
use mallowseam_cow::Millis;
use mallowseam_cow::messages::{ToCatalog, ToHost};
use mallowseam_cow::tree::{LayerId, Tree};
use mallowseam_cow::tree_replica::{Lookup, SLOT_BATCH, TreeReplica};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum length of a line from the catalog, in bytes. Enough for a full tree, without its locations, of
/// some hundred thousand layers and names. A longer line ends the connection.
const MAX_LINE_BYTES: usize = 32 << 20;
/// Maximum number of reads from the catalog in one turn, so that a tree of a million extents does not delay
/// clients and nodes.
const READS_PER_TURN: usize = 4;
/// Version of the tree in messages of a host that has no tree.
const NO_VERSION: u64 = 0;

/// Connection to the snapshot catalog, and the replica of its tree.
pub(crate) struct CatalogClient {
    host: String,
    address: SocketAddr,
    registry: Registry,
    token: Token,
    connection: Option<LineConnection>,
    /// Whether the socket may have data to read.
    readable: bool,
    /// Earliest time of the next attempt to connect.
    next_connect: Millis,
    /// Replica of the tree, and the host's lease.
    replica: TreeReplica,
    /// Number of messages received, by which a change is detected.
    revision: u64,
    cuts: CutRequests,
    /// Time of the last request for slots of each layer that is not answered yet.
    slots_requested: BTreeMap<LayerId, Millis>,
}

impl CatalogClient {
    /// Creates the client of a host. The client connects at the first [`on_timer`](Self::on_timer).
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
            cuts: CutRequests::default(),
            slots_requested: BTreeMap::new(),
        }
    }

    /// Queues a message to the catalog. Discards the message if there is no connection.
    pub(crate) fn send(&mut self, message: &ToCatalog) {
        if let Some(connection) = &mut self.connection {
            connection.send(message);
        }
    }

    /// Returns the replica of the tree, if the host has one.
    pub(crate) fn tree(&self) -> Option<&Tree> {
        self.replica.tree()
    }

    /// Returns a number that changes with every message of the catalog. Any message may let a waiting block I/O
    /// continue.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Looks up where an extent of a branch or snapshot is read or written now.
    pub(crate) fn look_up(&mut self, name: &str, extent: u32, write: bool, now: Millis) -> Lookup {
        self.replica.look_up(name, extent, write, now)
    }

    /// Takes up to `count` unused slots of a layer.
    pub(crate) fn take_slots(&mut self, layer: LayerId, count: usize) -> Vec<u32> {
        std::iter::from_fn(|| self.replica.take_slot(layer))
            .take(count)
            .collect()
    }

    /// Takes the decisions of the catalog about split writes.
    pub(crate) fn take_completion_decisions(&mut self) -> Vec<CompletionDecision> {
        self.cuts.take_decisions()
    }

    /// Returns whether the catalog waits for this host to quiesce a layer.
    pub(crate) fn is_quiescing(&self) -> bool {
        self.cuts.is_quiescing()
    }

    /// Reports the requested layers without a split write in flight as quiesced.
    pub(crate) fn report_quiesced(&mut self, has_split_write: impl Fn(&QuiesceRequest) -> bool) {
        for QuiesceRequest { layer, .. } in self.cuts.take_quiesced(has_split_write) {
            self.send(&ToCatalog::Quiesced { layer });
        }
    }

    /// Returns whether a cut of a branch is pending.
    pub(crate) fn has_pending_cut(&self, branch: &str, now: Millis) -> bool {
        self.cuts.has_pending(branch, now)
    }

    /// Connects and renews the lease if that is due, and writes the queued messages.
    pub(crate) fn on_timer(&mut self, now: Millis) {
        if self.connection.is_none() && now >= self.next_connect {
            self.next_connect = now + TreeReplica::RECONNECT_INTERVAL;
            self.connect();
        }
        if self.connection.is_some() && self.replica.renewal_due(now) {
            let seen_version = self.replica.version().unwrap_or(NO_VERSION);
            self.send(&ToCatalog::RenewLease {
                sent_at: now,
                seen_version,
            });
        }
        self.flush();
    }

    fn connect(&mut self) {
        match LineConnection::connect(self.address, &self.registry, self.token) {
            Ok(connection) => {
                self.connection = Some(connection);
                self.slots_requested.clear();
                let hello = ToCatalog::Hello {
                    host: self.host.clone(),
                    replica_version: self.replica.tree_version(),
                };
                self.send(&hello);
            }
            Err(e) => tracing::debug!(error = %e, "snapshot catalog not reachable"),
        }
    }

    /// Requests slots of a layer if few are left and no recent request is unanswered.
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

    /// Handles readiness of the catalog's socket. Writes the queued messages, and reads up to `READS_PER_TURN`
    /// times if `readable` or if earlier data is unread. Returns whether there may be more to read in another
    /// turn.
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
        match connection.read(buffer, MAX_LINE_BYTES) {
            LineRead::WouldBlock => self.readable = false,
            LineRead::Closed(reason) => self.disconnect(&reason),
            LineRead::Lines(lines) => {
                for line in lines {
                    // Lines that were received on a connection that is closed by now are ignored.
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

    /// Discards the replica and closes the connection, as a message does not follow from the replica. The next
    /// connection starts with the full tree.
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
                let follows = self.replica.add_locations(layer, &locations);
                self.check_sequence(follows);
            }
            ToHost::FullTreeEnd if !self.replica.finish_full_tree() => self.resynchronize(),
            ToHost::FullTreeEnd | ToHost::CaughtUp => self.on_tree_complete(now),
            ToHost::TreeChanged { version, change } => {
                let follows = self.replica.apply_change(version, &change);
                if self.check_sequence(follows) {
                    self.send(&ToCatalog::Acknowledge { version });
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
            ToHost::CutFinished { branch } => self.cuts.cut_finished(&branch),
            ToHost::Quiesce { layer, branch } => self.cuts.quiesce(layer, branch, now),
            ToHost::CompletionDecision { layer, granted } => {
                self.cuts.decided(CompletionDecision { layer, granted });
            }
        }
    }

    /// Resynchronizes if a message does not follow from the replica of the tree. Returns `follows`.
    fn check_sequence(&mut self, follows: bool) -> bool {
        if !follows {
            self.resynchronize();
        }
        follows
    }

    /// Renews the lease and acknowledges the tree, as the replica is up to date on a new connection.
    fn on_tree_complete(&mut self, now: Millis) {
        let version = self.replica.version().unwrap_or(NO_VERSION);
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
