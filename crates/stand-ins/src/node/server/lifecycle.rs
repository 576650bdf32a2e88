//! Begin and end of the faults of a stand-in node, and crash and restart of its process.
use super::Server;
use crate::node::connections::FIRST_CONNECTION;
use crate::node::faults::NodeFault;
use crate::node::{Lifecycle, listen};
use mallowseam_audit::trace::TraceEvent;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of attempts to bind the address again after a restart.
const BIND_ATTEMPTS: u32 = 100;
/// Pause between two attempts to bind the address.
const BIND_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    pub(super) fn apply(&mut self, fault: NodeFault) {
        match fault {
            NodeFault::Silent(on) => {
                self.faults.set_silent(on);
                if !on {
                    self.process_deferred();
                }
            }
            NodeFault::Frozen(true) => self.faults.freeze(self.trace.now()),
            NodeFault::Frozen(false) => self.unfreeze(),
            NodeFault::Slow(factor) => self.faults.set_slowdown(factor),
            NodeFault::Errors(fraction) => self.faults.set_error_rate(fraction),
            NodeFault::LoseAnswers(fraction) => self.faults.set_loss_rate(fraction),
            NodeFault::NotAccepting(on) => self.faults.set_not_accepting(on),
            NodeFault::Full(on) => self.faults.set_full(on),
            NodeFault::Reset => self.close_connections(),
            NodeFault::Crash => self.crash(),
            NodeFault::Start => self.restart(),
            NodeFault::Stop => {}
        }
    }

    pub(super) fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        self.lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Resumes execution. Running commands are due later by the duration of the pause.
    fn unfreeze(&mut self) {
        if let Some(pause) = self.faults.unfreeze(self.trace.now()) {
            self.queue.postpone(pause);
        }
    }

    fn close_connections(&mut self) {
        self.connections.close_all();
        self.record_closed();
        self.ready.retain(|token| *token < FIRST_CONNECTION);
    }

    pub(super) fn crash(&mut self) {
        if self.listener.take().is_none() {
            return;
        }
        self.close_connections();
        self.queue.clear();
        self.deferred.clear();
        self.protection.discard_pending();
        self.lifecycle().up = false;
        self.trace.record(TraceEvent::NodeDown { node: self.index });
    }

    fn restart(&mut self) {
        if self.listener.is_some() || self.slow_start.is_overloaded() {
            return;
        }
        self.bind_again();
        self.faults.on_restart();
        self.slow_start.on_restart();
        let started_at = self.trace.now();
        self.lifecycle().start_next_process(started_at);
        self.trace.record(TraceEvent::NodeUp { node: self.index });
    }

    /// Binds the address again, with retries: the previous process may still hold it for a short time.
    fn bind_again(&mut self) {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(listener) = listen(self.address, &self.poll) {
                self.listener = Some(listener);
                return;
            }
            std::thread::sleep(BIND_PAUSE);
        }
    }
}
