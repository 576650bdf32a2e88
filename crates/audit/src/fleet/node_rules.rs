//! Rules on the load that hosts send to nodes: none to draining nodes, and no more than cold nodes sustain.
use super::{Audit, MICROS_PER_MS};
use crate::evidence::seconds;
use crate::fleet::record::{Event, Observation};
use crate::fleet::terms::{DRAIN_GRACE_MS, POLL_DEADLINE_MS};
use crate::trace::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Fraction of a cold node's load that must come from hosts that knew of its start for a collapse to be a violation.
const INFORMED_LOAD_FRACTION: f64 = 2.0 / 3.0;

/// Notification of a host about a node.
#[derive(Clone, Copy)]
struct Notification {
    at: Micros,
    accepting: bool,
}

/// Message of the discovery service to a host, with the version of the list.
#[derive(Clone, Copy)]
struct SentVersion {
    at: Micros,
    version: u64,
}

/// Subject of a message: one node, or all changes that the host lacked.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    AllNodes,
    Node(u32),
}

/// Load that a node received from a host, in units.
struct NodeLoad {
    at: Micros,
    node: u32,
    host: u32,
    units: f64,
}

/// Notifications by host and node, in order of time.
type Notifications = BTreeMap<(u32, u32), Vec<Notification>>;

impl Audit<'_> {
    /// Checks rule 3: no attempt goes to a node that the host was notified is draining, past the grace time. An attempt
    /// counts from its first byte, as in the users' protocol; a link that is cut may deliver it much later.
    pub(super) fn check_drains(&self) -> Vec<String> {
        let notifications = self.notifications();
        let grace = DRAIN_GRACE_MS * MICROS_PER_MS + self.slack;
        let mut violations = Vec::new();
        for operation in self.trace.operations.values() {
            for attempt in &operation.attempts {
                let of_node = notifications
                    .get(&(attempt.host, attempt.node))
                    .map_or(&[][..], Vec::as_slice);
                // The last notification before the grace time, unless a later one opened the node again.
                let last = of_node
                    .iter()
                    .rev()
                    .find(|n| n.at + grace < attempt.sent_at);
                let reopened = of_node.iter().any(|n| {
                    n.accepting && n.at + grace >= attempt.sent_at && n.at <= attempt.sent_at
                });
                if let Some(last) = last.filter(|n| !n.accepting && !reopened) {
                    let after_ms = (attempt.sent_at - last.at) / MICROS_PER_MS;
                    violations.push(format!(
                        "{} was sent to node{} {after_ms} ms after host {} was notified of its drain",
                        operation.id, attempt.node, attempt.host
                    ));
                }
            }
        }
        violations
    }

    fn notifications(&self) -> Notifications {
        let mut notifications = Notifications::new();
        let mut sent: BTreeMap<(u32, Subject), Vec<SentVersion>> = BTreeMap::new();
        for Observation { at, event } in self.observations {
            match *event {
                Event::EndpointSent {
                    host,
                    node,
                    accepting,
                    version,
                    ..
                } => {
                    let notification = Notification { at: *at, accepting };
                    notifications
                        .entry((host, node))
                        .or_default()
                        .push(notification);
                    let message = SentVersion { at: *at, version };
                    sent.entry((host, Subject::Node(node)))
                        .or_default()
                        .push(message);
                }
                Event::PollServed { host, version } => {
                    let message = SentVersion { at: *at, version };
                    sent.entry((host, Subject::AllNodes))
                        .or_default()
                        .push(message);
                }
                Event::HostStarted { host } => notifications.retain(|key, _| key.0 != host),
                _ => {}
            }
        }
        self.add_undeliverable(&sent, &mut notifications);
        for of_node in notifications.values_mut() {
            of_node.sort_by_key(|n| n.at);
        }
        notifications
    }

    /// Adds the entries that could not be sent, where the host counts as notified of them.
    fn add_undeliverable(
        &self,
        sent: &BTreeMap<(u32, Subject), Vec<SentVersion>>,
        notifications: &mut Notifications,
    ) {
        for Observation { at, event } in self.observations {
            let Event::EndpointUndeliverable {
                host,
                node,
                accepting,
                version,
                effective_at,
            } = *event
            else {
                continue;
            };
            let mut messages = [Subject::Node(node), Subject::AllNodes]
                .into_iter()
                .filter_map(|subject| sent.get(&(host, subject)))
                .flatten();
            let received = messages.any(|m| m.version >= version && m.at <= effective_at);
            if self.ran(host, *at, effective_at) && !received {
                let notification = Notification {
                    at: effective_at,
                    accepting,
                };
                notifications
                    .entry((host, node))
                    .or_default()
                    .push(notification);
            }
        }
    }

    /// Returns whether one process of a host ran for a whole interval. A process that was started in the interval has
    /// the entry from its configuration.
    fn ran(&self, host: u32, from: Micros, to: Micros) -> bool {
        self.trace.host_runs.iter().any(|run| {
            run.host == host
                && run.started_at <= from
                && run.ended.is_none_or(|(ended_at, _)| ended_at > to)
        })
    }

    /// Checks rule 4: no cold node collapses under the load of hosts that knew of its start, or count as notified.
    pub(super) fn check_cold_nodes(&self) -> Vec<String> {
        let mut recent: VecDeque<NodeLoad> = VecDeque::new();
        let mut started: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut notified: BTreeMap<(u32, u32), Micros> = BTreeMap::new();
        let mut violations = Vec::new();
        for Observation { at, event } in self.observations {
            match *event {
                Event::NodeStarted { node } => drop(started.insert(node, *at)),
                Event::EndpointSent {
                    host,
                    node,
                    started_at,
                    ..
                } if started_at > 0 => {
                    notified.insert((host, node), *at);
                }
                Event::HostStarted { host } => notified.retain(|key, _| key.0 != host),
                Event::NodeReceived {
                    node, host, units, ..
                } => {
                    let load = NodeLoad {
                        at: *at,
                        node,
                        host,
                        units: f64::from(units),
                    };
                    add_load(&mut recent, load, self.run.overload_window);
                }
                Event::NodeCollapsed { node } => {
                    let started_at = started.get(&node).copied().unwrap_or(0);
                    let loads = recent
                        .iter()
                        .filter(|load| load.node == node && load.at >= started_at);
                    violations.extend(check_collapse(*at, node, started_at, loads, &notified));
                }
                _ => {}
            }
        }
        violations
    }
}

/// Adds a load, and removes those that have left the window by then.
fn add_load(recent: &mut VecDeque<NodeLoad>, load: NodeLoad, window: Micros) {
    while recent.front().is_some_and(|l| l.at + window < load.at) {
        recent.pop_front();
    }
    recent.push_back(load);
}

fn check_collapse<'a>(
    at: Micros,
    node: u32,
    started_at: Micros,
    loads: impl Iterator<Item = &'a NodeLoad> + Clone,
    notified: &BTreeMap<(u32, u32), Micros>,
) -> Option<String> {
    let all_informed_at = started_at + POLL_DEADLINE_MS * MICROS_PER_MS;
    let was_informed = |load: &&NodeLoad| {
        let notified_at = notified.get(&(load.host, node));
        load.at >= all_informed_at || notified_at.is_some_and(|t| *t >= started_at && *t <= load.at)
    };
    let total: f64 = loads.clone().map(|load| load.units).sum();
    let informed: f64 = loads.filter(was_informed).map(|load| load.units).sum();
    (informed >= total * INFORMED_LOAD_FRACTION).then(|| {
        format!(
            "node{node} collapsed at {} under {total} units, {informed} of them from hosts that knew of its start",
            seconds(at)
        )
    })
}
