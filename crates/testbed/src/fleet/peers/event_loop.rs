//! Event loop: handles sockets first, then timers, then due events of the models of services, nodes and clients.
use super::connections::ConnectionId;
use super::{SimulatedPeers, membership};
use mallowseam_audit::trace::Micros;
use mallowseam_models::discovery_queue::DiscoveryQueue;
use mallowseam_stand_ins::simulated_node::SimulatedNode;
use mio::{Events, Token};
use std::cmp::Reverse;
use std::io;
use std::time::Duration;

/// Maximum number of socket events handled in one iteration.
const EVENT_CAPACITY: usize = 1_024;
/// Maximum number of operations that clients send in one iteration, so that a delayed loop handles its sockets between
/// them.
const MAX_REQUESTS_PER_ITERATION: usize = 64;

/// Action that is due at a certain time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Delivers the bytes that are due on a connection.
    Pump(ConnectionId),
    /// Ends a connection by its timeout: index of the connection, and identifier of the timeout.
    Timeout(u32, u64),
    /// Sends a retry of a client: index of the operation.
    Retry(u32),
    /// Checks a host's readiness.
    CheckReadiness(u32),
    /// Sends a keep-alive line on watches.
    WatchKeepAlive,
    /// Applies due updates to the endpoint list and sends them on watches.
    PublishUpdates,
    /// Delivers a datagram: index of the datagram.
    DeliverDatagram(u32),
}

impl SimulatedPeers {
    fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let discovery = self.discovery.iter().filter_map(DiscoveryQueue::next_due);
        let nodes = self.nodes.iter().filter_map(SimulatedNode::next_due);
        let clients = self.clients_active.then(|| self.client_load.next_due());
        timer
            .into_iter()
            .chain(discovery)
            .chain(nodes)
            .chain(clients)
            .min()
    }

    /// Runs one iteration: waits until something is due, but at most `max_wait`, and handles it.
    ///
    /// # Panics
    /// If the event poll of the operating system fails.
    pub(crate) fn run_once(&mut self, max_wait: Duration) {
        let until_due = |due: Micros| Duration::from_micros(due.saturating_sub(self.now()));
        let wait = self
            .next_due()
            .map_or(max_wait, |due| until_due(due).min(max_wait));
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        if let Err(e) = self.poll.poll(&mut events, Some(wait)) {
            assert!(
                e.kind() == io::ErrorKind::Interrupted,
                "event poll failed: {e}"
            );
        }
        for event in &events {
            let Token(token) = event.token();
            // Below the tokens of datagram sockets, even tokens are listeners and odd ones connections.
            if token >= membership::FIRST_DATAGRAM_TOKEN {
                self.on_datagrams(token - membership::FIRST_DATAGRAM_TOKEN);
            } else if token % 2 == 0 {
                self.accept(token / 2);
            } else {
                self.read_socket((token / 2) as u32);
            }
        }
        self.run_due();
    }

    fn run_due(&mut self) {
        let now = self.now();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.on_timer(now, timer);
        }
        self.complete_polls(now);
        self.complete_node_requests(now);
        self.send_due_requests(now);
    }

    fn on_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Pump(id) => {
                if self.connection(id).is_some() {
                    self.pump(id.index);
                }
            }
            Timer::Timeout(index, timeout_id) => self.on_timeout(index, timeout_id),
            Timer::Retry(index) => {
                if let Some(operation) = self
                    .pending_retries
                    .remove(index)
                    .filter(|_| self.clients_active)
                {
                    self.send_request(operation);
                }
            }
            Timer::CheckReadiness(host) => self.check_readiness(host),
            Timer::WatchKeepAlive => self.send_watch_keep_alive(now),
            Timer::DeliverDatagram(index) => self.deliver_datagram(index),
            Timer::PublishUpdates => {
                self.update_listeners();
                self.publish_updates();
            }
        }
    }

    fn complete_polls(&mut self, now: Micros) {
        for list in 0..self.discovery.len() {
            while let Some((id, outcome)) = self.discovery[list].complete_next(now) {
                self.finish_poll(id, outcome);
            }
        }
    }

    fn complete_node_requests(&mut self, now: Micros) {
        for node in 0..self.nodes.len() {
            while let Some(request) = self.nodes[node].complete_next(now) {
                if self.connection(request.connection).is_some() {
                    self.respond(
                        request.connection.index,
                        node as u32,
                        request.operation,
                        true,
                    );
                }
            }
        }
    }

    fn send_due_requests(&mut self, now: Micros) {
        for _ in 0..MAX_REQUESTS_PER_ITERATION {
            if !self.clients_active {
                break;
            }
            let Some(operation) = self.client_load.next_operation(now, &mut self.rng) else {
                break;
            };
            self.send_request(operation);
        }
    }
}
