//! Simulated nodes: their starts and stops, hosts' requests to them, and their responses.
use super::{ConnectionRole, Event, HTTP_LIMITS, ListedNode, NodeStatus, SimulatedPeers, Timer};
use crate::fleet::error::TestbedError;
use mallowseam_audit::trace::Micros;
use mallowseam_http1::RequestHead;
use mallowseam_stand_ins::links::Peer;
use mallowseam_stand_ins::simulated_node::{Arrival, NodeRequest, SimulatedNode};
use std::cmp::Reverse;

/// Time after the start of a run within which added nodes are in the endpoint list at once, in microseconds.
const INITIAL_NODES_WITHIN: Micros = 100_000;

impl SimulatedPeers {
    /// Adds a node of a shard and returns its index. With `cold`, the node starts now; otherwise it has
    /// been running for a long time.
    ///
    /// # Errors
    /// A listener cannot be opened.
    pub(crate) fn add_node(&mut self, shard: u32, cold: bool) -> Result<u32, TestbedError> {
        let node = self.nodes.len() as u32;
        let now = self.now();
        let mut simulated =
            SimulatedNode::new(self.scenario.node_model.clone(), self.scenario.node_limits);
        let started_at = if cold { now.max(1) } else { 0 };
        if cold {
            simulated.start(now);
            self.record(Event::NodeStarted { node });
        }
        self.nodes.push(simulated);
        for host in 0..self.scenario.hosts {
            self.add_listener(host, Peer::Node(node), self.addresses.node(host, node))?;
        }
        let entry = ListedNode {
            shard,
            status: NodeStatus::Ready,
            started_at,
        };
        let is_initial =
            now < INITIAL_NODES_WITHIN || self.nodes.len() <= self.scenario.nodes as usize;
        if is_initial {
            self.endpoints.add(entry);
        } else {
            self.endpoints.add(ListedNode {
                status: NodeStatus::Removed,
                ..entry
            });
            self.schedule_update(node, entry);
        }
        Ok(node)
    }

    /// Returns a node's entry in the endpoint list of the discovery service.
    pub(crate) fn listed_node(&self, node: u32) -> ListedNode {
        self.endpoints.node(node)
    }

    /// Schedules an update of a node's entry in the endpoint list, after the lag of the discovery service.
    pub(crate) fn schedule_update(&mut self, node: u32, entry: ListedNode) {
        self.schedule_update_from(self.now(), node, entry);
    }

    fn schedule_update_from(&mut self, time: Micros, node: u32, entry: ListedNode) {
        let at = time + self.scenario.discovery_lag;
        self.endpoints.schedule(at, node, entry);
        self.timers.push(Reverse((at, Timer::PublishUpdates)));
    }

    /// Stops a node and removes it from the endpoint list.
    pub fn stop_node(&mut self, node: u32) {
        self.nodes[node as usize].stop();
        self.reset_node_connections(node);
        self.record(Event::NodeStopped { node });
        let entry = self.listed_node(node);
        self.schedule_update(
            node,
            ListedNode {
                status: NodeStatus::Removed,
                ..entry
            },
        );
        self.update_listeners();
    }

    /// Starts a node, which is then cold, and adds it to the endpoint list.
    pub fn start_node(&mut self, node: u32) {
        let now = self.now();
        self.nodes[node as usize].start(now);
        self.record(Event::NodeStarted { node });
        let entry = self.listed_node(node);
        self.schedule_update(
            node,
            ListedNode {
                status: NodeStatus::Ready,
                started_at: now,
                ..entry
            },
        );
        self.update_listeners();
    }

    fn reset_node_connections(&mut self, node: u32) {
        self.reset_connections(
            |role| matches!(role, ConnectionRole::Node { node: n, .. } if *n == node),
        );
        self.nodes[node as usize].connections = 0;
    }

    /// Handles a complete request of a host to a node.
    pub(super) fn on_node_request(&mut self, index: u32, request: &[u8]) {
        let Some(Attempt { op, units, write }) = Attempt::parse(request) else {
            return self.close(index, true);
        };
        let now = self.now();
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let id = connection.id(index);
        let host = connection.host;
        let sent_at = connection.request_began.take().unwrap_or(now);
        let ConnectionRole::Node {
            node,
            pending,
            is_new,
            over_limit,
            ..
        } = &mut connection.role
        else {
            return;
        };
        *pending = Some(op);
        let node = *node;
        let request = NodeRequest {
            connection: id,
            operation: op,
            units: f64::from(units),
            first_on_connection: std::mem::take(is_new),
            over_limit: *over_limit,
        };
        self.record(Event::NodeReceived {
            node,
            host,
            op,
            units,
            write,
            sent_at,
        });
        match self.nodes[node as usize].receive(now, request) {
            Arrival::Queued => {}
            Arrival::Rejected => self.respond(index, node, op, false),
            Arrival::Collapsed => self.on_collapse(node, now),
        }
    }

    fn on_collapse(&mut self, node: u32, now: Micros) {
        self.record(Event::NodeCollapsed { node });
        self.reset_node_connections(node);
        self.update_listeners();
        let restarts_at = now + self.scenario.node_limits.restart_after;
        let entry = self.listed_node(node);
        let entry = ListedNode {
            started_at: restarts_at,
            status: NodeStatus::Ready,
            ..entry
        };
        self.schedule_update_from(restarts_at, node, entry);
    }

    /// Sends a node's response to a request.
    pub(super) fn respond(&mut self, index: u32, node: u32, op: u64, executed: bool) {
        if let Some(connection) = self.connections.get_mut(index)
            && let ConnectionRole::Node { pending, .. } = &mut connection.role
        {
            *pending = None;
        }
        self.record(Event::NodeResponded { node, op, executed });
        let text = if executed {
            format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{op:016x}")
        } else {
            "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        };
        self.send(index, text.as_bytes());
    }
}

/// Attempt of a host at a block I/O on a node.
struct Attempt {
    op: u64,
    units: u32,
    write: bool,
}

impl Attempt {
    /// Parses a request. Returns `None` if it is malformed.
    fn parse(request: &[u8]) -> Option<Attempt> {
        let head = RequestHead::parse(request, HTTP_LIMITS).ok().flatten()?;
        let header = |name| head.headers.single(name).ok().flatten().unwrap_or_default();
        Some(Attempt {
            op: u64::from_str_radix(header("X-Request-ID"), 16).unwrap_or(0),
            units: placement_units(header("X-Placement")).unwrap_or(1),
            write: head.method == "PUT",
        })
    }
}

/// Returns the units in the value of an `X-Placement` header.
fn placement_units(placement: &str) -> Option<u32> {
    placement
        .strip_prefix("units=")?
        .split(',')
        .next()?
        .parse()
        .ok()
}
