//! Injection of a script's faults.
use super::Rehearsal;
use super::snapshots::CatalogChange;
use crate::error::RunError;
use crate::process::kill_now;
use mallowseam_audit::trace::Micros;
use mallowseam_endpoint_list::EndpointState;
use mallowseam_load::initiators::Behaviour;
use mallowseam_scenarios::rehearsal::{Fault, Selector};
use mallowseam_stand_ins::endpoint_list_service::{Message, NodeState};
use mallowseam_stand_ins::node::NodeFault;
use nix::sys::signal::Signal;
use std::time::Duration;

/// Interval at which a starting node is polled.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of polls before a starting node is given up: one second in total.
const MAX_START_POLLS: u32 = 200;

impl Rehearsal<'_> {
    pub(super) fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::NodeSilent(n, on) => self.inject_node_fault(*n, NodeFault::Silent(*on)),
            Fault::NodeStill(n, on) => self.inject_node_fault(*n, NodeFault::Frozen(*on)),
            Fault::NodeDeaf(n, on) => self.inject_node_fault(*n, NodeFault::NotAccepting(*on)),
            Fault::NodeSlow(n, times) => self.inject_node_fault(*n, NodeFault::Slow(*times)),
            Fault::NodeErrors(n, part) => self.inject_node_fault(*n, NodeFault::Errors(*part)),
            Fault::NodeLoses(n, part) => self.inject_node_fault(*n, NodeFault::LoseAnswers(*part)),
            Fault::NodeReset(n) => self.inject_node_fault(*n, NodeFault::Reset),
            Fault::NodeCrash(n) => {
                self.inject_node_fault(*n, NodeFault::Crash);
                self.list_node(self.order.node(*n), EndpointState::Removed);
            }
            Fault::NodeStart(n) => self.restart_node(self.order.node(*n)),
            Fault::NodeDrain(n) => self.list_node(self.order.node(*n), EndpointState::Draining),
            Fault::NodeUndrain(n) => self.list_node(self.order.node(*n), EndpointState::Active),
            Fault::HostKill(n) => self.kill_host(self.order.host(*n)),
            Fault::HostTerm(n) => self.signal_host(self.order.host(*n), Signal::SIGTERM),
            Fault::HostStart(n) => {
                let host = self.order.host(*n);
                self.await_host_exit(host);
                let started = self.start_host(host);
                self.record_failure(started);
            }
            Fault::HostStall(n, on) => {
                let signal = if *on {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGCONT
                };
                self.signal_host(self.order.host(*n), signal);
            }
            Fault::HostDrain(n) => self.drain_host(self.order.host(*n)),
            Fault::ListLag(Micros::MAX) => self.list.send(Message::Lag(self.scenario.list_lag)),
            Fault::ListLag(lag) => self.list.send(Message::Lag(*lag)),
            Fault::ListAway(on) => self.list.send(Message::Unavailable(*on)),
            Fault::ListBackwards => self.list.send(Message::SendStaleList),
            Fault::Snapshot(volume, name) => self.request_from_catalog(CatalogChange::Snapshot {
                volume: volume.clone(),
                name: name.clone(),
            }),
            Fault::Clone(snapshot, name) => self.request_from_catalog(CatalogChange::Clone {
                snapshot: snapshot.clone(),
                name: name.clone(),
            }),
            Fault::CatalogKill => drop(kill_now(&mut self.catalog)),
            Fault::CatalogStart => {
                let started = self.start_catalog();
                self.record_failure(started);
            }
            Fault::ControlKill => drop(kill_now(&mut self.plan_service)),
            Fault::ControlStart => {
                let started = self.start_plan_service();
                self.record_failure(started);
            }
            Fault::PlanChange(plan, times) => self.change_plan(*plan, *times),
            client_fault => self.inject_client_fault(client_fault),
        }
    }

    /// Injects a fault of the clients, which the load simulates.
    fn inject_client_fault(&self, fault: &Fault) {
        let client = |n: &Selector| self.order.client(*n);
        let behaviour = match fault {
            Fault::ClientDrop(n) => Behaviour::Disconnect(client(n)),
            Fault::ClientStall(n, on) => Behaviour::Stall(client(n), *on),
            Fault::ClientDeaf(n, on) => Behaviour::StopReading(client(n), *on),
            Fault::ClientAgain(n) => Behaviour::LoginAgain(client(n)),
            Fault::HalfLogins(n) => Behaviour::HalfLogins(*n),
            Fault::Garbage(n) => Behaviour::Garbage(*n),
            Fault::Surge(plan, times) => Behaviour::Surge(plan.clone(), *times),
            Fault::Load(times) => Behaviour::Scale(*times),
            _ => return,
        };
        self.load.send(behaviour);
    }

    fn inject_node_fault(&self, node: Selector, fault: NodeFault) {
        self.nodes[self.order.node(node) as usize].inject(fault);
    }

    /// Starts a node's process, and adds the node to the endpoint list once it is up.
    fn restart_node(&self, n: u32) {
        let node = &self.nodes[n as usize];
        let previous_incarnation = node.lifecycle().incarnation;
        node.inject(NodeFault::Start);
        for _ in 0..MAX_START_POLLS {
            let lifecycle = node.lifecycle();
            if lifecycle.up && lifecycle.incarnation > previous_incarnation {
                return self.list_node(n, EndpointState::Active);
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
    }

    fn list_node(&self, n: u32, state: EndpointState) {
        let lifecycle = self.nodes[n as usize].lifecycle();
        self.list.send(Message::Node(NodeState {
            node: n,
            state,
            incarnation: lifecycle.incarnation,
            started_at: lifecycle.started_at,
        }));
    }

    fn drain_host(&mut self, n: u32) {
        let control = &self.hosts[n as usize].control_socket;
        if let Err(e) = mallowseam_control_protocol::send_request(control, "drain") {
            self.failures
                .push(format!("drain request to a host failed: {e}"));
        }
    }

    fn record_failure(&mut self, result: Result<(), RunError>) {
        if let Err(e) = result {
            self.failures.push(e.to_string());
        }
    }
}
