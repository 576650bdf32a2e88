//! Completed attempts: good responses are forwarded to clients, and every result is reported to the scheduler.
use super::Dispatcher;
use crate::clients::{OK, Response};
use crate::nodes::{NodeEvent, Success};
use mallowseam_platform::response;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptOutcome, LoadReport};

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
            Some(NodeEvent::Completed(completion)) => self.completions.push_back(completion),
            Some(NodeEvent::Success(success)) => self.forward(&success),
        }
        self.report_completions(scheduler);
    }

    /// Forwards a good response to its client.
    fn forward(&mut self, success: &Success) {
        let io = success.completion.io;
        if let Some(slot) = self
            .in_flight
            .get_mut(io.0)
            .and_then(|entry| entry.client.take())
        {
            self.forward_to(slot, success);
        }
        self.nodes.finish(success, self.now);
        self.completions.push_back(success.completion);
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
            self.completions.push_back(completion);
            self.report_completions(scheduler);
        }
    }

    /// Reports completed attempts to the scheduler, whose reactions may complete more, until there are none.
    pub fn report_completions(&mut self, scheduler: &mut Scheduler) {
        while let Some(completion) = self.completions.pop_front() {
            let Some(entry) = self.in_flight.get_mut(completion.io.0) else {
                continue;
            };
            entry.node_connection = None;
            let response = completion.response;
            let outcome = AttemptOutcome {
                result: completion.result,
                node: completion.node,
                client_answered: entry.client.is_none(),
                latency: completion.received_at.unwrap_or(self.now) - completion.started_at,
                units_by_other_hosts: response.map_or(0.0, |r| r.units_by_other_hosts),
                volume_usage: response.map_or(0.0, |r| r.volume_usage),
                load_report: response.map_or(LoadReport::default(), |r| r.load_report),
            };
            let now = self.now;
            scheduler.on_attempt_finished(self, now, completion.io, &outcome);
        }
    }
}
