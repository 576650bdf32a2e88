//! The connection to the node list service, and the copy of the list kept for the next start.
use crate::clock::ticks_to_millis;
use crate::wire::{self, ReadOutcome};
use mallowseam_connection_policy::endpoint_list_request::EndpointListRequest;
use mallowseam_endpoint_list::{
    Endpoint, EndpointState, EndpointUpdate, EndpointWatcher, UpdateKind, WatchEvent,
};
use mallowseam_scheduler::interface::{EndpointEvent, NodeEndpoint, NodeId, NodeState, Tick};
use mallowseam_settings::config;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const TICKS: Tick = 10; // ticks in a millisecond

/// A node as the configuration names it, and when its present run began by this host's clock.
struct Known {
    name: String,
    zone: u32,
    shard: u32,
    born: u64,
    came_up: Tick,
}

pub struct List {
    host: String,
    address: Option<SocketAddr>,
    kept: Option<PathBuf>,
    known: Vec<Known>,
    registry: Registry,
    token: Token,
    socket: Option<TcpStream>,
    readable: bool,
    asked: Vec<u8>,
    register: EndpointWatcher,
    request: EndpointListRequest,
    news: VecDeque<(EndpointEvent, Vec<NodeEndpoint>)>,
}

impl List {
    pub fn new(host: &config::Host, nodes: &[config::Node], registry: Registry, token: Token) -> Self {
        let mut zones: Vec<&str> = Vec::new();
        let mut known = Vec::new();
        for n in nodes {
            let zone = zones.iter().position(|z| *z == n.zone).unwrap_or_else(|| {
                zones.push(&n.zone);
                zones.len() - 1
            });
            known.push(Known {
                name: n.name.clone(),
                zone: zone as u32,
                shard: n.shard,
                born: 0,
                came_up: 0,
            });
        }
        List {
            host: host.name.clone(),
            address: host.endpoint_service,
            kept: host.endpoint_cache_path.clone(),
            known,
            registry,
            token,
            socket: None,
            readable: false,
            asked: Vec::new(),
            register: EndpointWatcher::default(),
            request: EndpointListRequest::default(),
            news: VecDeque::new(),
        }
    }

    /// What is known before the service has been asked: the kept copy, or all nodes where there is no service.
    pub fn start(&mut self, now: Tick) {
        if self.address.is_none() {
            let listed = |(i, k): (usize, &Known)| NodeEndpoint {
                node: NodeId(i as u32),
                zone: k.zone,
                shard: k.shard,
                state: NodeState::Active,
                started_at: 0,
            };
            let all = self.known.iter().enumerate().map(listed).collect();
            self.news.push_back((EndpointEvent::FullSnapshot, all));
            return;
        }
        let Some(path) = &self.kept else { return };
        match std::fs::read_to_string(path).map_err(|e| e.to_string()) {
            Ok(text) => match self.register.restore_cache(&text) {
                Ok(update) => {
                    tracing::info!(nodes = update.endpoints.len(), "kept node list read");
                    self.tell(EndpointEvent::Cached, update, now);
                }
                Err(wrong) => tracing::warn!(%wrong, "kept node list is not used"),
            },
            Err(why) => tracing::info!(why, "no kept node list"),
        }
    }

    pub fn news(&mut self) -> Option<(EndpointEvent, Vec<NodeEndpoint>)> {
        self.news.pop_front()
    }

    pub fn known(&self) -> (u64, u64) {
        self.register.version()
    }

    /// Asks for the list and its changes.
    pub fn watch(&mut self, now: Tick) {
        let Some(address) = self.address else { return };
        self.request.sent(ticks_to_millis(now));
        if self.socket.is_none() {
            match TcpStream::connect(address) {
                Ok(mut socket) => {
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    if let Err(e) = self.registry.register(&mut socket, self.token, interest) {
                        return self.fail(&e.to_string());
                    }
                    self.register.on_reconnect();
                    (self.socket, self.readable) = (Some(socket), false);
                    self.asked.clear();
                }
                Err(e) => return self.fail(&e.to_string()),
            }
        }
        self.asked.extend_from_slice(format!("watch {}\n", self.host).as_bytes());
        self.flush();
    }

    fn fail(&mut self, why: &str) {
        tracing::warn!(why, "node list service");
        if let Some(mut socket) = self.socket.take() {
            let _ = self.registry.deregister(&mut socket);
        }
        self.request.finished();
        self.news.push_back((EndpointEvent::PollFailed, Vec::new()));
    }

    pub fn ready(&mut self, readable: bool, scratch: &mut [u8], now: Tick) {
        self.readable |= readable;
        self.flush();
        while self.readable {
            let Some(socket) = &mut self.socket else { return };
            match wire::read(socket, scratch) {
                ReadOutcome::WouldBlock => self.readable = false,
                ReadOutcome::Read(n) => {
                    let mut heard = Vec::new();
                    let received = self.register.receive(&scratch[..n], |h| heard.push(h));
                    heard.into_iter().for_each(|h| self.heard(h, now));
                    if let Err(wrong) = received {
                        return self.fail(&wrong.to_string());
                    }
                }
                ReadOutcome::Closed(why) => return self.fail(&why.to_string()),
            }
        }
    }

    fn flush(&mut self) {
        let Some(socket) = &mut self.socket else { return };
        if let Err(why) = wire::write_buffer(socket, &mut self.asked) {
            self.fail(&why.to_string());
        }
    }

    fn heard(&mut self, heard: WatchEvent, now: Tick) {
        match heard {
            WatchEvent::SnapshotRequired => {
                self.request.sent(ticks_to_millis(now));
                self.asked.extend_from_slice(format!("all {}\n", self.host).as_bytes());
                self.flush();
            }
            WatchEvent::Update(update) => {
                self.request.finished();
                let form = match update.kind {
                    UpdateKind::FullSnapshot => EndpointEvent::FullSnapshot,
                    UpdateKind::Incremental => EndpointEvent::Incremental,
                };
                self.tell(form, update, now);
                self.keep();
            }
        }
    }

    fn tell(&mut self, form: EndpointEvent, update: EndpointUpdate, now: Tick) {
        let mut listed = Vec::new();
        for entry in &update.endpoints {
            match self.listed(entry, now) {
                Some(l) => {
                    tracing::info!(
                        node = entry.name,
                        state = entry.state.as_str(),
                        age = entry.uptime_ms,
                        "listed"
                    );
                    listed.push(l);
                }
                None => {
                    tracing::warn!(node = entry.name, "the list names a node that the configuration lacks")
                }
            }
        }
        self.news.push_back((form, listed));
    }

    fn listed(&mut self, entry: &Endpoint, now: Tick) -> Option<NodeEndpoint> {
        let i = self.known.iter().position(|k| k.name == entry.name)?;
        let known = &mut self.known[i];
        // News take a while: of one run, the earliest start that was told is the truest. It never moves up,
        // which would look like another start.
        let began = (now - entry.uptime_ms as Tick * TICKS).max(1);
        if entry.incarnation == 0 {
            (known.born, known.came_up) = (0, 0);
        } else if entry.incarnation != known.born {
            (known.born, known.came_up) = (entry.incarnation, began);
        } else {
            known.came_up = known.came_up.min(began);
        }
        Some(NodeEndpoint {
            node: NodeId(i as u32),
            zone: known.zone,
            shard: known.shard,
            state: match entry.state {
                EndpointState::Active => NodeState::Active,
                EndpointState::Draining => NodeState::Draining,
                EndpointState::Removed => NodeState::Removed,
            },
            started_at: known.came_up,
        })
    }

    fn keep(&self) {
        let Some(path) = &self.kept else { return };
        if let Err(e) = replace(path, self.register.write_cache().as_bytes()) {
            tracing::warn!(path = %path.display(), error = %e, "node list not kept");
        }
    }

    /// A call that the service does not answer has failed.
    pub fn care(&mut self, now: Tick) {
        if self.request.has_timed_out(ticks_to_millis(now)) {
            self.fail("no answer in time");
        }
    }
}

/// Puts a file in place whole, or leaves the old one.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let fresh = path.with_extension("new");
    std::fs::write(&fresh, bytes)?;
    std::fs::rename(&fresh, path)
}
