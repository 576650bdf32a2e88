//! Completed attempts: good responses are forwarded to clients, and every result is reported to the scheduler.
use super::Dispatcher;
use crate::clients::{OK, Response};
use crate::nodes::{Completion, NodeEvent, Success};
use mallowseam_platform::response;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler_driver::{DrivenHost, FinishedAttempt};

impl Dispatcher {
    /// Handles an event on a connection to a node.
    pub fn on_node_event(
        &mut self,
        scheduler: &mut Scheduler,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
    ) {
        match self
            .nodes
            .on_event(slot, is_closed, scratch, self.now, self.events_arrived_at)
        {
            None => {}
            Some(NodeEvent::Completed(completion)) => self.queue_completion(&completion),
            Some(NodeEvent::Success(success)) => self.forward(&success),
        }
        self.report_all(scheduler);
    }

    /// Forwards a good response to its client.
    fn forward(&mut self, success: &Success) {
        if let Some(slot) = self.take_client(success.completion.io) {
            self.forward_to(slot, success);
        }
        self.nodes.finish(success, self.now);
        self.queue_completion(&success.completion);
    }

    fn forward_to(&mut self, slot: u32, success: &Success) {
        let now = self.now_ms();
        // Clients that do not read their responses may have used up the memory limit.
        if !self.clients.has_capacity(self.nodes.body(success).len()) {
            self.counters.failed += 1;
            return self
                .clients
                .respond(slot, Response::empty(response::FAILED_STATUS), now);
        }
        self.counters.completed += 1;
        match self.nodes.take_long_body(success) {
            Some((buffer, body)) => {
                self.clients
                    .respond(slot, Response::from_buffer(buffer, body), now);
            }
            None => self
                .clients
                .respond(slot, Response::new(OK, self.nodes.body(success)), now),
        }
    }

    /// Completes the attempts that have expired.
    pub fn expire_attempts(&mut self, scheduler: &mut Scheduler) {
        while let Some(completion) = self.nodes.expire_attempt(self.now) {
            self.queue_completion(&completion);
            self.report_all(scheduler);
        }
    }

    /// Queues a completed attempt for the scheduler.
    pub(super) fn queue_completion(&mut self, completion: &Completion) {
        let latency = completion.received_at.unwrap_or(self.now) - completion.started_at;
        let (io, node) = (completion.io, completion.node);
        let finished = FinishedAttempt::new(io, node, completion.result, latency);
        self.driver.queue_finished(match completion.response {
            None => finished,
            Some(response) => FinishedAttempt {
                units_by_other_hosts: response.units_by_other_hosts,
                volume_usage: response.volume_usage,
                load_report: response.load_report,
                ..finished
            },
        });
    }
}
