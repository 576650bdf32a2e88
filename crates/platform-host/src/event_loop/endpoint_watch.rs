//! Watches the discovery service: opens watches, applies their updates, detects failed ones.
use super::{EventLoop, MAX_EVENTS};
use crate::discovery::{WatchConnection, WatchError, WatchMessage};
use crate::tokens;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::watch_slots::WatchSlots;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_platform::endpoints::WatchEvent;
use mallowseam_scheduler::interface::EndpointEvent;
use mio::Events;
use std::net::SocketAddr;

/// The watches, and the version of the endpoint list that was received.
pub(super) struct EndpointWatch {
    /// The latest watch, and its predecessor, which is read until the latest one is alive.
    connections: [Option<WatchConnection>; 2],
    slots: WatchSlots,
    /// The last version received, and the service that it belongs to: versions of two services do not compare.
    version: Option<u64>,
    version_source: SocketAddr,
    has_endpoints: bool,
}

impl EndpointWatch {
    /// No watch and no list yet.
    pub(super) fn new(service: SocketAddr) -> Self {
        EndpointWatch {
            connections: [None, None],
            slots: WatchSlots::default(),
            version: None,
            version_source: service,
            has_endpoints: false,
        }
    }

    /// Whether an endpoint is known: the host is ready for clients.
    pub(super) fn has_endpoints(&self) -> bool {
        self.has_endpoints
    }

    /// Starts from the list that the configuration has cached.
    pub(super) fn use_cached(&mut self, cached: &WatchEvent) {
        self.has_endpoints = !cached.endpoints.is_empty();
        self.version = Some(cached.version);
    }

    /// Whether the latest watch is open.
    fn has_latest(&self) -> bool {
        let mut indexed = self.connections.iter().enumerate();
        indexed.any(|(index, connection)| connection.is_some() && self.slots.is_latest(index))
    }
}

impl EventLoop {
    /// Opens a watch. The previous one, if it is still open, is read until the new one is alive.
    pub(super) fn open_watch(&mut self) {
        let has_latest = self.watch.has_latest();
        let index = self.watch.slots.next_slot(has_latest);
        self.close_watch(index);
        let (address, now) = (self.config.discovery, self.dispatcher.now_ms());
        // Versions of another service do not compare with the one that was received.
        if address != self.watch.version_source {
            self.watch.version = None;
            self.watch.version_source = address;
        }
        let since = self.watch.version;
        match WatchConnection::open(
            &self.registry,
            tokens::DISCOVERY[index],
            address,
            since,
            now,
        ) {
            Ok(connection) => self.watch.connections[index] = Some(connection),
            Err(error) => self.on_watch_failed(index, &error),
        }
    }

    fn close_watch(&mut self, index: usize) {
        if let Some(connection) = self.watch.connections[index].take() {
            connection.close(&self.registry);
        }
    }

    /// Closes a watch that has failed or was ended by the service.
    fn on_watch_failed(&mut self, index: usize, error: &WatchError) {
        tracing::warn!(%error, address = %self.config.discovery, "discovery watch failed");
        self.close_watch(index);
        // A predecessor was reported as silent when its successor was opened.
        if self.watch.slots.is_latest(index) {
            self.dispatcher
                .on_watch_lost(&mut self.scheduler, EndpointEvent::PollFailed);
        }
    }

    /// Reads the watches that have events.
    pub(super) fn read_watches(&mut self, events: &Events) {
        // A poll that returns the most events it may could have omitted that of a watch.
        let may_be_truncated = events.iter().count() >= MAX_EVENTS;
        for (index, token) in tokens::DISCOVERY.into_iter().enumerate() {
            if may_be_truncated || events.iter().any(|event| event.token() == token) {
                self.read_watch(index);
            }
        }
    }

    fn read_watch(&mut self, index: usize) {
        let Some(connection) = &mut self.watch.connections[index] else {
            return;
        };
        let mut received = Vec::new();
        connection.on_event(&mut self.scratch, &mut |message| received.push(message));
        for message in received {
            // Applying a long list takes time.
            self.update_now();
            // The previous message may have closed the watch.
            if self.watch.connections[index].is_none() {
                return;
            }
            self.on_watch_message(index, message);
        }
    }

    fn on_watch_message(&mut self, index: usize, message: WatchMessage) {
        match message {
            WatchMessage::Update(update) => self.on_update(index, &update),
            WatchMessage::Heartbeat => self.on_watch_alive(index),
            WatchMessage::Closings(endpoints) => {
                let update = WatchEvent {
                    version: 0,
                    full_snapshot: false,
                    endpoints,
                };
                self.dispatcher.on_endpoints(
                    &mut self.scheduler,
                    EndpointEvent::Incremental,
                    &update,
                );
            }
            WatchMessage::Failed(error) => self.on_watch_failed(index, &error),
        }
    }

    /// A watch has sent a complete line: it supersedes the one before it.
    fn on_watch_alive(&mut self, index: usize) {
        let now = self.dispatcher.now_ms();
        let is_first = self.watch.connections[index]
            .as_mut()
            .is_some_and(|c| c.watch.event_received(now));
        if let Some(superseded) = self.watch.slots.superseded_by(index) {
            self.close_watch(superseded);
        }
        if is_first {
            // Even without changes the scheduler has to know that the list is current: it matters when the watch is
            // lost.
            let no_changes = WatchEvent {
                version: 0,
                full_snapshot: false,
                endpoints: Vec::new(),
            };
            self.dispatcher.on_endpoints(
                &mut self.scheduler,
                EndpointEvent::Incremental,
                &no_changes,
            );
        }
    }

    fn on_update(&mut self, index: usize, update: &WatchEvent) {
        self.on_watch_alive(index);
        let Some(connection) = &self.watch.connections[index] else {
            return;
        };
        let (service, since) = (connection.address(), connection.since());
        if service != self.watch.version_source {
            // Updates of the previous service are applied as changes, without their version.
            return self.dispatcher.on_endpoints(
                &mut self.scheduler,
                EndpointEvent::Incremental,
                update,
            );
        }
        if !update.full_snapshot && since.is_some_and(|since| update.version < since) {
            // The service has restarted with lower versions: the next watch requests a full snapshot.
            self.watch.version = None;
            return self.on_watch_failed(index, &WatchError::VersionsRestarted);
        }
        // Changes older than the list are ignored. A full snapshot is applied whatever its version: it was requested
        // after everything that was received before.
        if !update.full_snapshot
            && self
                .watch
                .version
                .is_some_and(|version| update.version <= version)
        {
            return;
        }
        self.watch.version = Some(update.version);
        self.watch.has_endpoints |= !update.endpoints.is_empty();
        if let Some(fleet) = &mut self.fleet {
            fleet.set_active_versions(ActiveVersions {
                endpoint_list: update.version,
                plans: 0,
            });
        }
        let event = if update.full_snapshot {
            EndpointEvent::FullSnapshot
        } else {
            EndpointEvent::Incremental
        };
        self.dispatcher
            .on_endpoints(&mut self.scheduler, event, update);
    }

    /// Applies the timeouts of the watches.
    pub(super) fn check_watches(&mut self, now: Millis) {
        for index in 0..self.watch.connections.len() {
            let Some(connection) = &mut self.watch.connections[index] else {
                continue;
            };
            if !connection.watch.check_failure(now) {
                continue;
            }
            if !connection.is_up() {
                self.on_watch_failed(index, &WatchError::ConnectTimeout);
                continue;
            }
            tracing::warn!(address = %connection.address(), "discovery watch is silent");
            // A watch that has sent nothing yet occupies a place in the service's queue; one that has does not.
            if !connection.watch.is_established() {
                self.close_watch(index);
            }
            if self.watch.slots.is_latest(index) {
                self.dispatcher
                    .on_watch_lost(&mut self.scheduler, EndpointEvent::WatchSilent);
            }
        }
    }
}
