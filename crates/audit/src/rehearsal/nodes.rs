//! Rules 3 and 4: no new commands for draining nodes, and no overload of nodes in slow start.
use super::verdict::Rule;
use super::{Audit, DRAIN_GRACE};
use crate::evidence::SLACK;
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use std::collections::HashMap;

impl Audit<'_> {
    /// Checks rule 3: no host sends commands to a node that it was notified is draining, past the grace time.
    pub(super) fn check_drains(&mut self, trace: &[TraceEntry]) {
        // Time at which the host was notified that the node drains, by host and node.
        let mut notified_at: HashMap<(u32, u32), Micros> = HashMap::new();
        for entry in trace {
            match entry.event {
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: true,
                } => drop(notified_at.remove(&(host, node))),
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: false,
                } => {
                    notified_at.entry((host, node)).or_insert(entry.at);
                }
                // A restarted host has only its cached list, and is notified again.
                TraceEvent::HostUp { host } => notified_at.retain(|(h, _), _| *h != host),
                TraceEvent::NodeReceived { host, node, .. } => {
                    let Some(since) = notified_at.get(&(host, node)) else {
                        continue;
                    };
                    if entry.at > since + DRAIN_GRACE + SLACK {
                        let at = seconds(entry.at);
                        let after = (entry.at - since) / 1000;
                        let line = format!(
                            "node{node} received a command from gw{host} at {at}, \
                             {after} ms after the notification of its drain"
                        );
                        self.verdict.violation(Rule::Drains, line);
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks rule 4: no node in slow start crashes from overload, or receives more than it tolerates.
    pub(super) fn check_slow_start(&mut self, trace: &[TraceEntry]) {
        let mut up: HashMap<u32, Micros> = HashMap::new();
        let mut received: HashMap<u32, Vec<(Micros, f64)>> = HashMap::new();
        for entry in trace {
            match entry.event {
                TraceEvent::NodeUp { node } => {
                    up.insert(node, entry.at);
                    received.remove(&node);
                }
                TraceEvent::NodeDown { node } => drop(up.remove(&node)),
                TraceEvent::NodeOverloaded { node } => {
                    let line = format!("node{node} crashed from overload at {}", seconds(entry.at));
                    self.verdict.violation(Rule::SlowStart, line);
                }
                TraceEvent::NodeReceived { node, blocks, .. } => {
                    let Some(since) = up.get(&node) else { continue };
                    let age = entry.at - since;
                    if age > self.model.warm_up {
                        continue;
                    }
                    let window = received.entry(node).or_default();
                    window.push((entry.at, self.units(blocks)));
                    window.retain(|(at, _)| at + self.model.overload_window >= entry.at);
                    let sum: f64 = window.iter().map(|(_, units)| units).sum();
                    let tolerated = self.model.overload_units(age);
                    if sum > tolerated {
                        let by = seconds(entry.at);
                        let line = format!(
                            "node{node} received {sum} units within the overload window by {by}, \
                             and tolerates {tolerated:.1}"
                        );
                        self.verdict.violation(Rule::SlowStart, line);
                    }
                }
                _ => {}
            }
        }
    }
}
