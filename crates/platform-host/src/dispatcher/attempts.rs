//! Attempts at nodes, from the scheduler's decision to the report of their completion.
use super::block_io::waiting_client;
use super::scheduler_host::SchedulerHost;
use crate::nodes::{Completion, ForwardedRequest, NodeEvent};
use mallowseam_connection_policy::executed_requests::ClientKnowledge;
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mallowseam_scheduler::may_have_run;
use mallowseam_scheduler_driver::FinishedAttempt;
use mallowseam_sockets::clock::ticks_from_millis;

impl SchedulerHost {
    /// Starts an attempt of a block I/O at a node, or returns the result of an attempt that was not sent.
    pub(super) fn start_attempt(
        &mut self,
        io: BioId,
        node: NodeId,
        timeout: Tick,
    ) -> Result<(), AttemptResult> {
        let now = self.times.now();
        let timeout = self.limit_timeout(timeout);
        self.respond_if_disconnected(io);
        let max_attempts = self.settings.scheduler.max_attempts;
        let Some(entry) = self.driver.in_flight_mut().get_mut(io) else {
            return Ok(());
        };
        let attempts = entry.count_attempt();
        let is_expired = entry.data.deadline <= now || timeout <= 0;
        let exceeds_max_attempts = max_attempts > 0 && attempts > max_attempts;
        let client = waiting_client(entry).filter(|_| !is_expired && !exceeds_max_attempts);
        let (head, body) = client
            .and_then(|slot| self.clients.request(slot))
            .ok_or(AttemptResult::NotSent)?;
        let request = ForwardedRequest { head, body };
        let started = self.nodes.start_attempt(io, node, now, timeout, &request)?;
        entry.set_attempt(started.slot);
        if let Some(completion) = started.completion {
            self.queue_completion(&completion);
        }
        Ok(())
    }

    /// Returns the timeout of an attempt, limited during a shutdown: all responses are due before the host is killed,
    /// so attempts expire by then.
    fn limit_timeout(&self, timeout: Tick) -> Tick {
        let shutdown = self.clients.shutdown();
        match shutdown.and_then(|shutdown| shutdown.answer_deadline()) {
            Some(due) => timeout.min(ticks_from_millis(due) - self.times.now()),
            None => timeout,
        }
    }

    /// Checks the client's socket if the last poll is too old to rely on, and sends the final response if the client
    /// has disconnected.
    fn respond_if_disconnected(&mut self, io: BioId) {
        if !self.times.is_poll_stale() {
            return;
        }
        let client = self.driver.in_flight().get(io).and_then(waiting_client);
        let disconnected = client.filter(|slot| self.clients.is_disconnected(*slot, true));
        if disconnected.is_some()
            && let Some(slot) = self.take_client(io)
        {
            self.respond_disconnected(slot);
        }
    }

    /// Withdraws the attempt of a block I/O if its request is not completely written. This is allowed even if the
    /// settings forbid cancelling attempts, because the node cannot have executed it.
    pub(super) fn withdraw_unsent(&mut self, io: BioId) {
        let entry = self.driver.in_flight().get(io);
        let attempt = entry.and_then(|entry| entry.attempt().copied());
        let unsent = attempt.filter(|slot| self.nodes.is_unsent(*slot, io));
        if let Some(completion) = unsent.and_then(|slot| self.nodes.cancel(slot, io)) {
            self.queue_completion(&completion);
        }
    }

    /// Handles an event on a connection to a node. Returns `None` while its attempt is not completed.
    pub(super) fn on_node_event(
        &mut self,
        slot: u32,
        is_closed: bool,
        scratch: &mut [u8],
    ) -> Option<NodeEvent> {
        let now = self.times.now();
        let arrived_at = self.times.events_arrived_at();
        self.nodes
            .on_event(slot, is_closed, scratch, now, arrived_at)
    }

    /// Queues a completed attempt to be reported to the scheduler.
    pub(super) fn queue_completion(&mut self, completion: &Completion) {
        let received_at = completion.received_at.unwrap_or(self.times.now());
        let mut finished = FinishedAttempt::new(
            completion.io,
            completion.node,
            completion.result,
            received_at - completion.started_at,
        );
        if let Some(response) = completion.response {
            finished.units_by_other_hosts = response.units_by_other_hosts;
            finished.volume_usage = response.volume_usage;
            finished.load_report = response.load_report;
        }
        if may_have_run(completion.result)
            && let Some(entry) = self.driver.in_flight_mut().get_mut(completion.io)
        {
            entry
                .data
                .may_have_run
                .get_or_insert(ClientKnowledge::InDoubt);
        }
        self.driver.queue_finished(finished);
    }
}
