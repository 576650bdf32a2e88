//! Faults of a stand-in node, and its crash and restart.
use super::server::Server;
use super::{Lifecycle, NodeFault, listen};
use crate::trace::{Micros, TraceEvent};
use std::time::Duration;

/// Tries to bind the address again after a restart, and the pause between them.
const BIND_ATTEMPTS: u32 = 100;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// The faults that are on.
pub(super) struct ActiveFaults {
    pub(super) silent: bool,
    pub(super) frozen_since: Option<Micros>,
    pub(super) not_accepting: bool,
    pub(super) full: bool,
    pub(super) slowdown: f64,
    pub(super) error_rate: f64,
    pub(super) loss_rate: f64,
}

impl Default for ActiveFaults {
    fn default() -> Self {
        ActiveFaults {
            silent: false,
            frozen_since: None,
            not_accepting: false,
            full: false,
            slowdown: 1.0,
            error_rate: 0.0,
            loss_rate: 0.0,
        }
    }
}

impl Server {
    pub(super) fn apply(&mut self, fault: NodeFault) {
        match fault {
            NodeFault::Silent(on) => {
                self.faults.silent = on;
                if !on {
                    self.process_deferred();
                }
            }
            NodeFault::Frozen(true) => {
                self.faults.frozen_since = self.faults.frozen_since.or(Some(self.trace.now()));
            }
            NodeFault::Frozen(false) => self.thaw(),
            NodeFault::Slow(times) => self.faults.slowdown = times,
            NodeFault::Errors(part) => self.faults.error_rate = part,
            NodeFault::LoseAnswers(part) => self.faults.loss_rate = part,
            NodeFault::NotAccepting(on) => self.faults.not_accepting = on,
            NodeFault::Full(on) => self.faults.full = on,
            NodeFault::Reset => self.close_connections(),
            NodeFault::Crash => self.crash(),
            NodeFault::Start => self.restart(),
            NodeFault::Stop => {}
        }
    }

    /// What was running goes on where it stood.
    fn thaw(&mut self) {
        if let Some(since) = self.faults.frozen_since.take() {
            let pause = self.trace.now() - since;
            self.running.iter_mut().for_each(|r| r.due += pause);
        }
    }

    pub(super) fn crash(&mut self) {
        if self.listener.take().is_none() {
            return;
        }
        self.close_connections();
        self.waiting.clear();
        self.running.clear();
        self.discard_deferred();
        self.pending_protects.clear();
        self.lifecycle().up = false;
        self.trace.record(TraceEvent::NodeDown { node: self.index });
    }

    fn restart(&mut self) {
        if self.listener.is_some() || self.overloaded {
            return;
        }
        // The address may still be held for a moment by the process before.
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(listener) = listen(self.address, &self.poll) {
                self.listener = Some(listener);
                break;
            }
            std::thread::sleep(BIND_PAUSE);
        }
        self.faults.silent = false;
        self.faults.frozen_since = None;
        self.faults.slowdown = 1.0;
        self.faults.not_accepting = false;
        self.received.clear();
        let started_at = self.trace.now();
        let incarnation = self.lifecycle().incarnation + 1;
        *self.lifecycle() = Lifecycle {
            up: true,
            incarnation,
            started_at,
        };
        self.trace.record(TraceEvent::NodeUp { node: self.index });
    }
}
