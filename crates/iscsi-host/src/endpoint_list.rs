//! Client of the endpoint list service, and the cached copy of the list for the next start.
//! `known_nodes` maps entries of the list to configured nodes.
mod known_nodes;

use crate::socket_io::{self, ReadOutcome};
use known_nodes::KnownNodes;
use mallowseam_connection_policy::endpoint_list_request::EndpointListRequest;
use mallowseam_endpoint_list::{
    EndpointUpdate, EndpointWatcher, ListVersion, UpdateKind, WatchEvent,
};
use mallowseam_files::atomic_file;
use mallowseam_scheduler::interface::{EndpointEvent, NodeEndpoint, Tick};
use mallowseam_settings::config;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A full or incremental update of the endpoint list, in the form that the scheduler takes.
pub(crate) struct ListUpdate {
    pub(crate) event: EndpointEvent,
    pub(crate) nodes: Vec<NodeEndpoint>,
}

/// Connection to the endpoint list service, and the list as last received.
pub(crate) struct EndpointList {
    host: String,
    /// Address of the service; `None` if the endpoint list is that of the configuration.
    address: Option<SocketAddr>,
    cache_file: Option<PathBuf>,
    nodes: KnownNodes,
    registry: Registry,
    token: Token,
    socket: Option<TcpStream>,
    readable: bool,
    unsent: Vec<u8>,
    watcher: EndpointWatcher,
    request: EndpointListRequest,
    updates: VecDeque<ListUpdate>,
}

impl EndpointList {
    /// Creates the client of a host. The client does not connect yet.
    pub(crate) fn new(
        host: &config::Host,
        nodes: &[config::Node],
        registry: Registry,
        token: Token,
    ) -> Self {
        EndpointList {
            host: host.name.clone(),
            address: host.endpoint_service,
            cache_file: host.endpoint_cache_path.clone(),
            nodes: KnownNodes::new(nodes),
            registry,
            token,
            socket: None,
            readable: false,
            unsent: Vec::new(),
            watcher: EndpointWatcher::default(),
            request: EndpointListRequest::default(),
            updates: VecDeque::new(),
        }
    }

    /// Queues the update that is known before the service answers: the cached list, or all configured nodes if
    /// there is no service.
    pub(crate) fn start(&mut self, now: Tick) {
        if self.address.is_none() {
            let nodes = self.nodes.all_active();
            self.updates.push_back(ListUpdate {
                event: EndpointEvent::FullSnapshot,
                nodes,
            });
            return;
        }
        self.restore_cache(now);
    }

    fn restore_cache(&mut self, now: Tick) {
        let Some(path) = &self.cache_file else { return };
        match std::fs::read_to_string(path) {
            Ok(text) => match self.watcher.restore_cache(&text) {
                Ok(update) => {
                    tracing::info!(
                        nodes = update.endpoints.len(),
                        "cached endpoint list loaded"
                    );
                    self.queue(EndpointEvent::Cached, &update, now);
                }
                Err(e) => tracing::warn!(error = %e, "cached endpoint list not used"),
            },
            Err(e) => tracing::info!(error = %e, "no cached endpoint list"),
        }
    }

    /// Takes the next queued update for the scheduler.
    pub(crate) fn next_update(&mut self) -> Option<ListUpdate> {
        self.updates.pop_front()
    }

    /// Returns the version of the list as last received.
    pub(crate) fn version(&self) -> ListVersion {
        self.watcher.version()
    }

    /// Requests the list and its later changes. Connects if there is no connection.
    pub(crate) fn watch(&mut self, now: Tick) {
        let Some(address) = self.address else { return };
        self.request.sent(ticks_to_millis(now));
        if self.socket.is_none()
            && let Err(e) = self.connect(address)
        {
            return self.fail(&e.to_string());
        }
        self.unsent
            .extend_from_slice(format!("watch {}\n", self.host).as_bytes());
        self.flush();
    }

    fn connect(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let mut socket = TcpStream::connect(address)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry.register(&mut socket, self.token, interest)?;
        self.watcher.on_reconnect();
        self.socket = Some(socket);
        self.readable = false;
        self.unsent.clear();
        Ok(())
    }

    /// Closes the connection and queues a failed poll for the scheduler.
    fn fail(&mut self, reason: &str) {
        tracing::warn!(reason, "endpoint list request failed");
        if let Some(mut socket) = self.socket.take() {
            let _ = self.registry.deregister(&mut socket);
        }
        self.request.finished();
        self.updates.push_back(ListUpdate {
            event: EndpointEvent::PollFailed,
            nodes: Vec::new(),
        });
    }

    /// Writes and, if `readable` or earlier data is unread, reads until the socket would block.
    pub(crate) fn on_ready(&mut self, readable: bool, buffer: &mut [u8], now: Tick) {
        self.readable |= readable;
        self.flush();
        while self.readable {
            let Some(socket) = &mut self.socket else {
                return;
            };
            match socket_io::read(socket, buffer) {
                ReadOutcome::WouldBlock => self.readable = false,
                ReadOutcome::Read(len) => {
                    let mut events = Vec::new();
                    let received = self
                        .watcher
                        .receive(&buffer[..len], |event| events.push(event));
                    for event in events {
                        self.on_watch_event(event, now);
                    }
                    if let Err(error) = received {
                        return self.fail(&error.to_string());
                    }
                }
                ReadOutcome::Closed(reason) => return self.fail(&reason.to_string()),
            }
        }
    }

    fn flush(&mut self) {
        let Some(socket) = &mut self.socket else {
            return;
        };
        if let Err(reason) = socket_io::write_buffer(socket, &mut self.unsent) {
            self.fail(&reason.to_string());
        }
    }

    fn on_watch_event(&mut self, event: WatchEvent, now: Tick) {
        match event {
            WatchEvent::SnapshotRequired => {
                self.request.sent(ticks_to_millis(now));
                self.unsent
                    .extend_from_slice(format!("all {}\n", self.host).as_bytes());
                self.flush();
            }
            WatchEvent::Update(update) => {
                self.request.finished();
                let event = match update.kind {
                    UpdateKind::FullSnapshot => EndpointEvent::FullSnapshot,
                    UpdateKind::Incremental => EndpointEvent::Incremental,
                };
                self.queue(event, &update, now);
                self.write_cache();
            }
        }
    }

    fn queue(&mut self, event: EndpointEvent, update: &EndpointUpdate, now: Tick) {
        let mut nodes = Vec::new();
        for entry in &update.endpoints {
            let node = &entry.name;
            let state = entry.state.as_str();
            if let Some(listed) = self.nodes.update(entry, now) {
                tracing::info!(node, state, age = entry.uptime_ms, "endpoint updated");
                nodes.push(listed);
            } else {
                tracing::warn!(
                    node,
                    "endpoint list names a node that the configuration lacks"
                );
            }
        }
        self.updates.push_back(ListUpdate { event, nodes });
    }

    fn write_cache(&self) {
        let Some(path) = &self.cache_file else { return };
        if let Err(e) = atomic_file::replace(path, self.watcher.write_cache().as_bytes()) {
            tracing::warn!(path = %path.display(), error = %e, "endpoint list not cached");
        }
    }

    /// Closes the connection if a request has timed out.
    pub(crate) fn on_timer(&mut self, now: Tick) {
        if self.request.has_timed_out(ticks_to_millis(now)) {
            self.fail("no answer from the endpoint list service in time");
        }
    }
}
