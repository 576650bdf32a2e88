//! Simulated discovery services: the queue of polls, watches, and the record of updates that count as received.
use super::connections::{Connection, ConnectionId};
use super::{ConnectionRole, Event, HTTP_LIMITS, ListedNode, SimulatedPeers, Timer};
use mallowseam_audit::fleet::record::Observation;
use mallowseam_audit::trace::Micros;
use mallowseam_http1::RequestHead;
use mallowseam_models::discovery_queue::{PollOutcome, ServiceBehavior};
use mallowseam_stand_ins::links::Peer;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Interval at which an empty line is sent on every watch, in microseconds.
const WATCH_KEEP_ALIVE: Micros = 2_000_000;
/// Time after which an update that was not sent to a host counts as received, in microseconds. It starts when the
/// host's watch stalled or, without a watch, when the service had the update and could be reached.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;

/// Update that the service had while a host could not reach the service.
pub(super) struct Undelivered {
    pub host: u32,
    node: u32,
    entry: ListedNode,
    version: u64,
}

impl SimulatedPeers {
    pub(super) fn start_watch_keep_alive(&mut self) {
        self.timers
            .push(Reverse((WATCH_KEEP_ALIVE, Timer::WatchKeepAlive)));
    }

    pub(super) fn send_watch_keep_alive(&mut self, now: Micros) {
        for index in self.active_watches() {
            self.send(index, http_chunk("\n").as_bytes());
        }
        self.timers
            .push(Reverse((now + WATCH_KEEP_ALIVE, Timer::WatchKeepAlive)));
    }

    /// Handles a complete poll request of a host.
    pub(super) fn on_poll(&mut self, index: u32, request: &[u8]) {
        let Ok(Some(head)) = RequestHead::parse(request, HTTP_LIMITS) else {
            return self.close(index, true);
        };
        let now = self.now();
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let id = connection.id(index);
        let host = connection.host;
        let ConnectionRole::Poll { list, is_watch, .. } = &mut connection.role else {
            return;
        };
        *is_watch = head.target.contains("follow=1");
        // Keeps the request target until the poll is served.
        connection.received = head.target.as_bytes().to_vec();
        let queue = &mut self.discovery[*list as usize];
        let outcome = queue.enqueue(now, id, &mut self.rng);
        let queued = queue.queued() as u32;
        self.record(Event::PollReceived { host, queued });
        if let Some(outcome) = outcome {
            self.finish_poll(id, outcome);
        }
    }

    /// Responds to a poll that the service has processed.
    pub(super) fn finish_poll(&mut self, id: ConnectionId, outcome: PollOutcome) {
        let Some(connection) = self.connection(id) else {
            return;
        };
        let host = connection.host;
        let target =
            String::from_utf8_lossy(&std::mem::take(&mut connection.received)).into_owned();
        let ConnectionRole::Poll { is_watch, .. } = connection.role else {
            return;
        };
        if outcome == PollOutcome::Rejected {
            self.record(Event::PollRejected { host });
            let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            return self.send(id.index, head.as_bytes());
        }
        let since = target
            .split("since=")
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok());
        let changed = since
            .filter(|_| is_watch)
            .and_then(|since| self.endpoints.changed_since(since));
        let line = match changed {
            Some(nodes) => self.list_line(host, false, &nodes),
            None => self.list_line(host, true, &self.endpoints.current_nodes()),
        };
        self.record(Event::PollServed {
            host,
            version: self.endpoints.version,
        });
        self.send_list(id.index, is_watch, &line);
    }

    /// Sends a line of the endpoint list as a complete response, or as the first chunk of a watch.
    fn send_list(&mut self, index: u32, is_watch: bool, line: &str) {
        if is_watch {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            self.send(index, head);
            self.send(index, http_chunk(line).as_bytes());
        } else {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                line.len()
            );
            self.send(index, (head + line).as_bytes());
        }
    }

    /// Returns a line of the endpoint list for one host, and records its nodes as sent.
    fn list_line(&mut self, host: u32, full: bool, nodes: &[u32]) -> String {
        let version = self.endpoints.version;
        for node in nodes {
            let entry = self.endpoints.node(*node);
            self.record_endpoint_sent(host, *node, entry, version);
        }
        self.list_text(host, full, version, nodes)
    }

    fn record_endpoint_sent(&mut self, host: u32, node: u32, entry: ListedNode, version: u64) {
        let accepting = entry.is_accepting();
        let started_at = entry.started_at;
        self.record(Event::EndpointSent {
            host,
            node,
            accepting,
            version,
            started_at,
        });
    }

    /// Applies the updates that are due, and sends them on all active watches.
    pub(super) fn publish_updates(&mut self) {
        let now = self.now();
        while let Some((node, entry)) = self.endpoints.apply_next(now) {
            let mut notified = Vec::new();
            for index in self.active_watches() {
                let host = self.connections.get(index).map_or(0, |c| c.host);
                // Bytes that a blackholed link holds back do not count as sent.
                let line = if self
                    .links
                    .fault_between(Peer::List(0), Peer::Host(host))
                    .blackholed
                {
                    self.list_text(host, false, self.endpoints.version, &[node])
                } else {
                    notified.push(index);
                    self.list_line(host, false, &[node])
                };
                self.send(index, http_chunk(&line).as_bytes());
            }
            self.record_undelivered(&notified, node, entry);
        }
    }

    /// Records an update for each host that it was not sent to: as received [`NOTIFICATION_DEADLINE`] after a stalled
    /// watch's stall, else as undelivered. `notified` has the connections of the watches that it was sent on.
    fn record_undelivered(&mut self, notified: &[u32], node: u32, entry: ListedNode) {
        let now = self.now();
        let version = self.endpoints.version;
        for host in 0..self.scenario.hosts {
            if notified
                .iter()
                .any(|i| self.connections.get(*i).is_some_and(|c| c.host == host))
            {
                continue;
            }
            let stall_of = |c: &Connection| match c.role {
                ConnectionRole::Poll { stalled_since, .. } if c.host == host => stalled_since,
                _ => None,
            };
            // A host with a stalled watch assumes that it receives all updates. A host without a watch must have the
            // service's updates some time after the service can be reached, whichever polls failed before.
            let stalled_since = self.connections.iter().find_map(|(_, c)| stall_of(c));
            match stalled_since {
                Some(since) => {
                    let effective_at = now.max(since + NOTIFICATION_DEADLINE);
                    let accepting = entry.is_accepting();
                    self.record(Event::EndpointUndeliverable {
                        host,
                        node,
                        accepting,
                        version,
                        effective_at,
                    });
                }
                None => self.undelivered.push(Undelivered {
                    host,
                    node,
                    entry,
                    version,
                }),
            }
        }
        self.settle_undelivered();
    }

    /// Returns whether a host's poll would reach the first discovery service and receive a response.
    fn can_reach_discovery(&self, host: u32) -> bool {
        let host = Peer::Host(host);
        let list = Peer::List(0);
        let is_intact = |from, to| {
            let fault = self.links.fault_between(from, to);
            !fault.blocks() && fault.reset_after_bytes.is_none()
        };
        self.discovery[0].behavior() == ServiceBehavior::Normal
            && is_intact(host, list)
            && is_intact(list, host)
    }

    /// Records the undelivered updates of hosts that can reach the service again: as sent to hosts with an active
    /// watch, else as received [`NOTIFICATION_DEADLINE`] from now.
    pub(super) fn settle_undelivered(&mut self) {
        let effective_at = self.now() + NOTIFICATION_DEADLINE;
        let host_of = |index: u32| self.connections.get(index).map(|c| c.host);
        let watching: Vec<u32> = self
            .active_watches()
            .into_iter()
            .filter_map(host_of)
            .collect();
        for update in std::mem::take(&mut self.undelivered) {
            let Undelivered {
                host,
                node,
                entry,
                version,
            } = update;
            if !self.can_reach_discovery(host) {
                self.undelivered.push(update);
            } else if watching.contains(&host) {
                self.record_endpoint_sent(host, node, entry, version);
            } else {
                let accepting = entry.is_accepting();
                self.record(Event::EndpointUndeliverable {
                    host,
                    node,
                    accepting,
                    version,
                    effective_at,
                });
            }
        }
    }

    /// Stalls the open watches of hosts: they stay open but send nothing more. New watches work.
    pub(crate) fn stall_watches(&mut self, hosts: std::ops::Range<u32>) {
        let now = self.now();
        for index in self.active_watches() {
            if let Some(connection) = self
                .connections
                .get_mut(index)
                .filter(|c| hosts.contains(&c.host))
                && let ConnectionRole::Poll { stalled_since, .. } = &mut connection.role
            {
                *stalled_since = Some(now);
            }
        }
    }

    /// Returns the connections of watches that send updates. A watch whose poll is still queued is not among them: it
    /// gets all updates when it is served.
    fn active_watches(&self) -> Vec<u32> {
        let is_active = |c: &Connection| {
            matches!(
                c.role,
                ConnectionRole::Poll {
                    is_watch: true,
                    stalled_since: None,
                    ..
                }
            ) && c.received.is_empty()
        };
        self.connections
            .iter()
            .filter(|(_, c)| is_active(c))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the number of watches that send updates.
    pub fn watch_count(&self) -> usize {
        self.active_watches().len()
    }

    /// Returns the last version that was sent to a host, or 0 if none was sent.
    pub fn last_version_sent(&self, host: u32) -> u64 {
        let sent = |o: &Observation| match o.event {
            Event::EndpointSent {
                host: h, version, ..
            } if h == host => Some(version),
            _ => None,
        };
        self.observations.iter().rev().find_map(sent).unwrap_or(0)
    }

    /// Returns the node and host of each attempt that was received and executed after the first `mark` observations.
    pub fn executed_since(&self, mark: usize) -> impl Iterator<Item = (u32, u32)> {
        let observations = &self.observations[mark.min(self.observations.len())..];
        let mut hosts: BTreeMap<(u32, u64), u32> = BTreeMap::new();
        observations.iter().filter_map(move |o| match o.event {
            Event::NodeReceived { node, host, op, .. } => {
                hosts.insert((node, op), host);
                None
            }
            Event::NodeResponded {
                node,
                op,
                executed: true,
            } => Some((node, *hosts.get(&(node, op))?)),
            _ => None,
        })
    }

    /// Returns whether bytes from a discovery service to a host are in flight.
    pub fn has_discovery_bytes_in_flight(&self, host: u32) -> bool {
        let is_poll =
            |c: &Connection| c.host == host && matches!(c.role, ConnectionRole::Poll { .. });
        self.connections
            .iter()
            .any(|(_, c)| is_poll(c) && c.to_host.next_due().is_some())
    }

    /// Returns the current version of the endpoint list.
    pub fn version(&self) -> u64 {
        self.endpoints.version
    }
}

/// Returns a text as one chunk of an HTTP/1.1 chunked body.
fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
