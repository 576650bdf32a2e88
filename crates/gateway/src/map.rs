//! The connection to the catalog, and what this host knows of the tree.
use crate::lines::{Lines, Read};
use mallowseam_cow::Millis;
use mallowseam_cow::messages::{ToCatalog, ToHost};
use mallowseam_cow::tree::LayerId;
use mallowseam_cow::tree_replica::{SLOT_BATCH, TreeReplica};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest line from the catalog: a whole tree without its places, of some hundred thousand layers and names. A
/// longer one ends the connection.
const LINE_MOST: usize = 32 << 20;
/// Reads from the catalog between two looks at clients and nodes: a tree of a million extents comes in pieces.
const READS: usize = 4;

pub struct Map {
    host: String,
    address: SocketAddr,
    registry: Registry,
    token: Token,
    lines: Option<Lines>,
    readable: bool,
    connect_at: Millis,
    pub cache: TreeReplica,
    /// Counts up with everything that may let a waiting block I/O go on.
    pub news: u64,
    /// Layers that the catalog wants to hear are clear, with their branch; and its words about leave.
    pub owed: Vec<(LayerId, String)>,
    pub leaves: Vec<(LayerId, bool)>,
    /// Branches with a pending cut, and until when that holds writes of several parts back at most.
    held: BTreeMap<String, Millis>,
    asked: BTreeMap<LayerId, Millis>,
}

impl Map {
    pub fn new(host: &str, address: SocketAddr, registry: Registry, token: Token) -> Self {
        Map {
            host: host.to_owned(),
            address,
            registry,
            token,
            lines: None,
            readable: false,
            connect_at: 0,
            cache: TreeReplica::default(),
            news: 0,
            owed: Vec::new(),
            leaves: Vec::new(),
            held: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    pub fn say(&mut self, word: &ToCatalog) {
        if let Some(lines) = &mut self.lines {
            lines.say(word);
        }
    }

    /// Whether a cut of a branch is pending.
    pub fn holds(&self, branch: &str, now: Millis) -> bool {
        self.held.get(branch).is_some_and(|until| now < *until)
    }

    /// Connects, renews, and writes what waits.
    pub fn tend(&mut self, now: Millis) {
        if self.lines.is_none() && now >= self.connect_at {
            self.connect_at = now + TreeReplica::RECONNECT_INTERVAL;
            match Lines::connect(self.address, &self.registry, self.token) {
                Ok(lines) => {
                    self.lines = Some(lines);
                    self.asked.clear();
                    let (host, known) = (self.host.clone(), self.cache.known());
                    self.say(&ToCatalog::Hello { host, known });
                }
                Err(e) => tracing::debug!(error = %e, "catalog"),
            }
        }
        if self.lines.is_some() && self.cache.renewal_due(now) {
            let seen_version = self.cache.version().unwrap_or(0);
            self.say(&ToCatalog::RenewLease { sent_at: now, seen_version });
        }
        self.flush();
    }

    /// Asks for numbers of a layer while few are left.
    pub fn want_numbers(&mut self, layer: LayerId, now: Millis) {
        let again = self.asked.get(&layer).is_none_or(|at| now >= at + TreeReplica::RECONNECT_INTERVAL);
        if self.cache.needs_slots(layer) && again {
            self.asked.insert(layer, now);
            self.say(&ToCatalog::AllocateSlots { layer, count: SLOT_BATCH });
        }
    }

    pub fn flush(&mut self) {
        if let Some(Err(why)) = self.lines.as_mut().map(Lines::push) {
            self.lose(&why);
        }
    }

    fn lose(&mut self, why: &str) {
        if let Some(lines) = self.lines.take() {
            lines.end(&self.registry);
            tracing::warn!(why, "catalog connection lost");
        }
        self.cache.connection_lost();
    }

    /// Reads what has come, and writes. True: there is more to read.
    pub fn ready(&mut self, readable: bool, scratch: &mut [u8], now: Millis) -> bool {
        self.readable |= readable;
        self.flush();
        for _ in 0..READS {
            if !self.readable {
                break;
            }
            let Some(lines) = &mut self.lines else {
                self.readable = false;
                break;
            };
            match lines.read(scratch, LINE_MOST) {
                Read::Blocked => self.readable = false,
                Read::Over(why) => self.lose(&why),
                Read::Lines(whole) => {
                    for line in whole {
                        // What came on a connection that is given up counts no more.
                        if self.lines.is_none() {
                            break;
                        }
                        match serde_json::from_slice(&line) {
                            Ok(word) => self.heard(word, now),
                            Err(e) => self.lose(&e.to_string()),
                        }
                    }
                }
            }
        }
        self.flush();
        self.readable
    }

    /// Something was missed: a new connection opens with the whole tree.
    fn doubt(&mut self) {
        self.cache.invalidate();
        self.lose("what the catalog says does not follow what is known");
    }

    fn heard(&mut self, word: ToHost, now: Millis) {
        self.news += 1;
        match word {
            ToHost::FullTree { catalog_id, tree } => self.cache.begin_full_tree(catalog_id, *tree),
            ToHost::Locations { layer, locations } => {
                if !self.cache.add_locations(layer, &locations) {
                    self.doubt();
                }
            }
            ToHost::FullTreeEnd if !self.cache.finish_full_tree() => self.doubt(),
            ToHost::FullTreeEnd | ToHost::CaughtUp => {
                let version = self.cache.version().unwrap_or(0);
                tracing::info!(version, "catalog read");
                self.cache.connection_lost();
                if self.cache.renewal_due(now) {
                    self.say(&ToCatalog::RenewLease { sent_at: now, seen_version: version });
                }
                self.say(&ToCatalog::Acknowledge { version });
            }
            ToHost::TreeChanged { version, change } => {
                if self.cache.apply_change(version, &change) {
                    self.say(&ToCatalog::Acknowledge { version });
                } else {
                    self.doubt();
                }
            }
            ToHost::LeaseGranted { sent_at, duration } => self.cache.lease_granted(sent_at, duration),
            ToHost::SlotsAllocated { layer, first, count } => {
                self.asked.remove(&layer);
                self.cache.add_slots(layer, first, count);
            }
            ToHost::LocationRejected { .. } => {}
            ToHost::CutFinished { branch } => drop(self.held.remove(&branch)),
            ToHost::Quiesce { layer, branch } => {
                self.held.insert(branch.clone(), now + mallowseam_cow::consistent_cut::CUT_TIMEOUT);
                if !self.owed.iter().any(|o| o.0 == layer) {
                    self.owed.push((layer, branch));
                }
            }
            ToHost::CompletionDecision { layer, granted } => self.leaves.push((layer, granted)),
        }
    }
}
