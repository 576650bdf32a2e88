//! Rules 3 and 4: nothing new for draining nodes, and no warming node overloaded.
use super::verdict::Rule;
use super::{Audit, DRAIN_GRACE};
use crate::evidence::SLACK;
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use std::collections::HashMap;

impl Audit<'_> {
    /// Rule 3: nothing new goes to a node that the host knows to take no new work.
    pub(super) fn check_drains(&mut self, trace: &[TraceEntry]) {
        // Host and node to the time at which the host was notified.
        let mut closed: HashMap<(u32, u32), Micros> = HashMap::new();
        for entry in trace {
            match entry.event {
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: true,
                } => drop(closed.remove(&(host, node))),
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: false,
                } => {
                    closed.entry((host, node)).or_insert(entry.at);
                }
                // A host that starts again knows its cached list, and is notified anew.
                TraceEvent::HostUp { host } => closed.retain(|(h, _), _| *h != host),
                TraceEvent::NodeReceived { host, node, .. } => {
                    let Some(since) = closed.get(&(host, node)) else {
                        continue;
                    };
                    if entry.at > since + DRAIN_GRACE + SLACK {
                        let at = seconds(entry.at);
                        let after = (entry.at - since) / 1000;
                        let line = format!(
                            "node{node} got work from gw{host} at {at}, {after} ms after that host was told"
                        );
                        self.verdict.violation(Rule::Drains, line);
                    }
                }
                _ => {}
            }
        }
    }

    /// Rule 4: no warming node is overloaded, and none receives what would overload it.
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
                    let line = format!("node{node} fell over at {}", seconds(entry.at));
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
                    let bears = self.model.overload_units(age);
                    if sum > bears {
                        let by = seconds(entry.at);
                        let line =
                            format!("node{node} was sent {sum} units by {by}, bears {bears:.1}");
                        self.verdict.violation(Rule::SlowStart, line);
                    }
                }
                _ => {}
            }
        }
    }
}
