//! The connection to the snapshot catalog, and what this host knows of the tree.
use crate::json_lines::{Disconnect, LineConnection, LineRead};
use mallowseam_cow::Millis;
use mallowseam_cow::cache::{Cache, NUMBERS};
use mallowseam_cow::cut;
use mallowseam_cow::tree::LayerId;
use mallowseam_cow::words::{ToCatalog, ToHost};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest line of the catalog in bytes: a whole tree without its places, of some hundred thousand layers and
/// names. A longer one ends the connection.
const MAX_LINE: usize = 32 << 20;
/// Reads from the catalog between two looks at clients and nodes: a tree of a million extents comes in pieces.
const READS_PER_TURN: usize = 4;

/// A layer of which the catalog wants to hear that no write of several parts lies half in it.
pub(crate) struct ClearRequest {
    pub(crate) layer: LayerId,
    pub(crate) branch: String,
}

/// The catalog's answer to whether a write with parts in a layer may be completed.
pub(crate) struct LeaveAnswer {
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
    pub(crate) cache: Cache,
    /// Counts up with every message that may let a waiting block I/O go on.
    pub(crate) revision: u64,
    /// Layers that the catalog waits to hear are clear.
    pub(crate) clear_requests: Vec<ClearRequest>,
    /// Answers that the dispatcher has not taken yet.
    pub(crate) leave_answers: Vec<LeaveAnswer>,
    /// Branches with a pending cut, and until when that holds back writes of several parts at most.
    pending_cuts: BTreeMap<String, Millis>,
    /// When numbers of a layer were last requested.
    numbers_requested: BTreeMap<LayerId, Millis>,
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
            cache: Cache::default(),
            revision: 0,
            clear_requests: Vec::new(),
            leave_answers: Vec::new(),
            pending_cuts: BTreeMap::new(),
            numbers_requested: BTreeMap::new(),
        }
    }

    /// Queues a message.
    pub(crate) fn send(&mut self, message: &ToCatalog) {
        if let Some(connection) = &mut self.connection {
            connection.send(message);
        }
    }

    /// Whether a cut of a branch is pending.
    pub(crate) fn has_pending_cut(&self, branch: &str, now: Millis) -> bool {
        self.pending_cuts.get(branch).is_some_and(|until| now < *until)
    }

    /// Connects and renews the lease where that is due, and writes what is queued.
    pub(crate) fn on_timer(&mut self, now: Millis) {
        if self.connection.is_none() && now >= self.next_connect {
            self.next_connect = now + Cache::CONNECT_AGAIN;
            match LineConnection::connect(self.address, &self.registry, self.token) {
                Ok(connection) => {
                    self.connection = Some(connection);
                    self.numbers_requested.clear();
                    let (host, have) = (self.host.clone(), self.cache.have());
                    self.send(&ToCatalog::Hello { host, have });
                }
                Err(e) => tracing::debug!(error = %e, "snapshot catalog not reachable"),
            }
        }
        if self.connection.is_some() && self.cache.renews(now) {
            let seen = self.cache.version().unwrap_or(0);
            self.send(&ToCatalog::Renew { sent: now, seen });
        }
        self.flush();
    }

    /// Requests place numbers of a layer while few are left.
    pub(crate) fn request_numbers(&mut self, layer: LayerId, now: Millis) {
        let due = self.numbers_requested.get(&layer).is_none_or(|last| now >= last + Cache::CONNECT_AGAIN);
        if self.cache.short(layer) && due {
            self.numbers_requested.insert(layer, now);
            self.send(&ToCatalog::Numbers { layer, count: NUMBERS });
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
        self.cache.lost();
    }

    /// Reads what has come, and writes. True: there is more to read.
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
        self.cache.doubt();
        self.disconnect(&Disconnect::TreeOutOfSequence);
    }

    fn on_message(&mut self, message: ToHost, now: Millis) {
        self.revision += 1;
        match message {
            ToHost::Whole { catalog, tree } => self.cache.coming(catalog, *tree),
            ToHost::Part { layer, lies } => {
                if !self.cache.part(layer, &lies) {
                    self.resynchronize();
                }
            }
            ToHost::Filled if !self.cache.filled() => self.resynchronize(),
            ToHost::Filled | ToHost::Going => self.on_tree_complete(now),
            ToHost::Changed { version, change } => {
                if self.cache.changed(version, &change) {
                    self.send(&ToCatalog::Seen { version });
                } else {
                    self.resynchronize();
                }
            }
            ToHost::Lease { sent, span } => self.cache.granted(sent, span),
            ToHost::Numbers { layer, first, count } => {
                self.numbers_requested.remove(&layer);
                self.cache.given(layer, first, count);
            }
            ToHost::NotPlaced { .. } => {}
            ToHost::Over { branch } => drop(self.pending_cuts.remove(&branch)),
            ToHost::AskClear { layer, branch } => {
                self.pending_cuts.insert(branch.clone(), now + cut::WITHIN);
                if !self.clear_requests.iter().any(|request| request.layer == layer) {
                    self.clear_requests.push(ClearRequest { layer, branch });
                }
            }
            ToHost::Leave { layer, given } => {
                self.leave_answers.push(LeaveAnswer { layer, granted: given });
            }
        }
    }

    /// The tree of a new connection is complete: the lease is renewed by it.
    fn on_tree_complete(&mut self, now: Millis) {
        let version = self.cache.version().unwrap_or(0);
        tracing::info!(version, "snapshot catalog synchronized");
        self.cache.lost();
        if self.cache.renews(now) {
            self.send(&ToCatalog::Renew { sent: now, seen: version });
        }
        self.send(&ToCatalog::Seen { version });
    }
}
