//! Watches the discovery service: opens watches, applies their updates, and detects failed watches.
use super::fleet::Fleet;
use super::list_version::{ListVersion, UpdateVersion};
use crate::discovery::{WatchConnection, WatchError, WatchMessage};
use crate::dispatcher::Dispatcher;
use crate::tokens;
use mallowseam_connection_policy::watch_slots::WatchSlots;
use mallowseam_platform::endpoints::{Endpoint, WatchEvent};
use mallowseam_scheduler::interface::EndpointEvent;
use mio::Registry;
use std::net::SocketAddr;
use std::rc::Rc;

/// Watches on the discovery service, and the version of the endpoint list.
pub(super) struct EndpointWatch {
    registry: Rc<Registry>,
    /// Address of the discovery service in the current configuration.
    service: SocketAddr,
    /// Connections of the latest watch and of its predecessor, which is read until the latest one has sent a line.
    connections: [Option<WatchConnection>; 2],
    slots: WatchSlots,
    version: ListVersion,
    has_endpoints: bool,
}

impl EndpointWatch {
    /// Creates the state of a host without a watch and without an endpoint list.
    pub(super) fn new(registry: Rc<Registry>, service: SocketAddr) -> Self {
        EndpointWatch {
            registry,
            service,
            connections: [None, None],
            slots: WatchSlots::default(),
            version: ListVersion::new(service),
            has_endpoints: false,
        }
    }

    /// Returns whether an endpoint is known, which makes the host ready for clients.
    pub(super) fn has_endpoints(&self) -> bool {
        self.has_endpoints
    }

    /// Starts from the cached endpoint list of the configuration.
    pub(super) fn use_cached(&mut self, cached: &WatchEvent) {
        self.has_endpoints = !cached.endpoints.is_empty();
        self.version.use_cached(cached.version);
    }

    /// Sets the service of a reloaded configuration, and returns whether it has changed. The watch on the previous
    /// service stays open until the scheduler has requested a watch on the new service.
    pub(super) fn set_service(&mut self, service: SocketAddr) -> bool {
        std::mem::replace(&mut self.service, service) != service
    }

    /// Opens a watch. The previous watch, if it is still open, is read until the new one has sent a line.
    pub(super) fn open(&mut self, dispatcher: &mut Dispatcher) {
        let slot = self.slots.next_slot(self.has_latest());
        self.close(slot);
        let since = self.version.since(self.service);
        let now = dispatcher.now_ms();
        let token = tokens::DISCOVERY[slot];
        match WatchConnection::open(&self.registry, token, self.service, since, now) {
            Ok(connection) => self.connections[slot] = Some(connection),
            Err(error) => self.on_failed(slot, &error, dispatcher),
        }
    }

    /// Returns whether the latest watch is open.
    fn has_latest(&self) -> bool {
        let mut indexed = self.connections.iter().enumerate();
        indexed.any(|(slot, connection)| connection.is_some() && self.slots.is_latest(slot))
    }

    fn close(&mut self, slot: usize) {
        if let Some(connection) = self.connections[slot].take() {
            connection.close(&self.registry);
        }
    }

    /// Closes a watch that has failed or that the service has ended, and reports its loss to the scheduler.
    fn on_failed(&mut self, slot: usize, error: &WatchError, dispatcher: &mut Dispatcher) {
        tracing::warn!(%error, address = %self.service, "discovery watch failed");
        self.close(slot);
        // A predecessor was already reported to the scheduler as silent when its successor was opened.
        if self.slots.is_latest(slot) {
            dispatcher.on_watch_lost(EndpointEvent::PollFailed);
        }
    }

    /// Reads a watch, and handles the messages that it has sent.
    pub(super) fn read(
        &mut self,
        slot: usize,
        dispatcher: &mut Dispatcher,
        fleet: &mut Fleet,
        scratch: &mut [u8],
    ) {
        let Some(connection) = &mut self.connections[slot] else {
            return;
        };
        for message in connection.on_event(scratch) {
            // Applying a long endpoint list takes time, so each message gets a fresh event time.
            dispatcher.update_now();
            // Handling the previous message may have closed the watch.
            if self.connections[slot].is_none() {
                return;
            }
            self.on_message(slot, message, dispatcher, fleet);
        }
    }

    fn on_message(
        &mut self,
        slot: usize,
        message: WatchMessage,
        dispatcher: &mut Dispatcher,
        fleet: &mut Fleet,
    ) {
        match message {
            WatchMessage::Update(update) => self.on_update(slot, &update, dispatcher, fleet),
            WatchMessage::Heartbeat => self.on_alive(slot, dispatcher),
            WatchMessage::ClosingEndpoints(endpoints) => {
                dispatcher.on_endpoints(EndpointEvent::Incremental, &incremental_update(endpoints));
            }
            WatchMessage::Failed(error) => self.on_failed(slot, &error, dispatcher),
        }
    }

    /// Records that a watch has sent a complete line. It supersedes its predecessor, which is closed.
    fn on_alive(&mut self, slot: usize, dispatcher: &mut Dispatcher) {
        let now = dispatcher.now_ms();
        let connection = self.connections[slot].as_mut();
        let is_first = connection.is_some_and(|connection| connection.on_line_received(now));
        if let Some(superseded) = self.slots.superseded_by(slot) {
            self.close(superseded);
        }
        if is_first {
            // The scheduler has to know that the list is current even if nothing has changed: it relies on that when
            // the watch is lost.
            dispatcher.on_endpoints(EndpointEvent::Incremental, &incremental_update(Vec::new()));
        }
    }

    fn on_update(
        &mut self,
        slot: usize,
        update: &WatchEvent,
        dispatcher: &mut Dispatcher,
        fleet: &mut Fleet,
    ) {
        self.on_alive(slot, dispatcher);
        let Some(connection) = &self.connections[slot] else {
            return;
        };
        let service = connection.address();
        let since = connection.since();
        match self.version.on_update(update, service, since) {
            UpdateVersion::Outdated => {}
            UpdateVersion::PreviousService => {
                dispatcher.on_endpoints(EndpointEvent::Incremental, update);
            }
            UpdateVersion::Restarted => {
                self.on_failed(slot, &WatchError::VersionsRestarted, dispatcher);
            }
            UpdateVersion::Newer => {
                self.has_endpoints |= !update.endpoints.is_empty();
                fleet.publish_list_version(update.version);
                dispatcher.on_endpoints(endpoint_event(update), update);
            }
        }
    }

    /// Closes or reports the watches that have reached a timeout.
    pub(super) fn check_timeouts(&mut self, dispatcher: &mut Dispatcher) {
        let now = dispatcher.now_ms();
        for slot in 0..self.connections.len() {
            let Some(connection) = &mut self.connections[slot] else {
                continue;
            };
            if !connection.check_failure(now) {
                continue;
            }
            if connection.is_up() {
                self.on_silent(slot, dispatcher);
            } else {
                self.on_failed(slot, &WatchError::ConnectTimeout, dispatcher);
            }
        }
    }

    /// Handles a watch that has sent nothing for too long.
    fn on_silent(&mut self, slot: usize, dispatcher: &mut Dispatcher) {
        let Some(connection) = &self.connections[slot] else {
            return;
        };
        tracing::warn!(address = %connection.address(), "discovery watch is silent");
        // A watch that has sent nothing yet occupies a place in the service's queue, so it is closed. One that has sent
        // a line does not, and stays open until its successor is alive.
        if !connection.is_established() {
            self.close(slot);
        }
        if self.slots.is_latest(slot) {
            dispatcher.on_watch_lost(EndpointEvent::WatchSilent);
        }
    }
}

fn endpoint_event(update: &WatchEvent) -> EndpointEvent {
    if update.full_snapshot {
        EndpointEvent::FullSnapshot
    } else {
        EndpointEvent::Incremental
    }
}

/// Creates an incremental update from endpoints that came without a version; its version is not read.
fn incremental_update(endpoints: Vec<Endpoint>) -> WatchEvent {
    WatchEvent {
        version: 0,
        full_snapshot: false,
        endpoints,
    }
}
