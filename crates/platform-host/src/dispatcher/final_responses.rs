//! Sends the one final response of each block I/O.
use super::block_io::ClientSlot;
use super::scheduler_host::SchedulerHost;
use crate::clients::{OK, Response};
use crate::nodes::Success;
use mallowseam_connection_policy::executed_requests::ClientKnowledge;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::{BioId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;

impl SchedulerHost {
    /// Returns the client of a block I/O if it waits for the final response, and marks the block I/O as answered. The
    /// caller has to send the response.
    pub(super) fn take_client(&mut self, io: BioId) -> Option<ClientSlot> {
        let entry = self.driver.in_flight_mut().get_mut(io)?;
        entry.mark_answered().then_some(entry.data.client)
    }

    /// Sends the final response of a block I/O if its client still waits for it, and returns whether it did.
    fn respond_final(&mut self, io: BioId, response: Response) -> bool {
        let client = self.take_client(io);
        if let Some(slot) = client {
            self.clients.respond(slot, response, self.times.now_ms());
        }
        client.is_some()
    }

    /// Sheds a block I/O: it was not executed, and the client may retry it. `retry_after`: ticks after which the client
    /// may retry; the response states it, if there is one.
    pub(super) fn respond_shed(&mut self, io: BioId, retry_after: Option<Tick>) {
        let response = Response::shed(retry_after.map(ticks_to_millis));
        self.counters.shed += u64::from(self.respond_final(io, response));
    }

    /// Fails a block I/O: it may have been executed.
    pub(super) fn respond_failed(&mut self, io: BioId) {
        let response = Response::empty(response::FAILED_STATUS);
        self.counters.failed += u64::from(self.respond_final(io, response));
    }

    /// Responds to a client that has disconnected, since it may have closed only its sending side.
    pub(super) fn respond_disconnected(&mut self, slot: ClientSlot) {
        self.counters.disconnected += 1;
        let response = Response::empty(response::FAILED_STATUS);
        self.clients.respond(slot, response, self.times.now_ms());
    }

    /// Sends the final response of a block I/O before its outcome is known, if its client still waits for it. Returns
    /// whether it did.
    pub(super) fn respond_early(&mut self, io: BioId) -> bool {
        let entry = self.driver.in_flight().get(io);
        let Some(entry) = entry.filter(|entry| !entry.is_answered()) else {
            return false;
        };
        let may_be_retried = GracefulShutdown::is_safe_to_retry(entry.attempts());
        self.withdraw_unsent(io);
        if may_be_retried {
            self.respond_shed(io, None);
        } else {
            self.respond_failed(io);
        }
        true
    }

    /// Forwards a node's successful response to the client, and completes its attempt.
    pub(super) fn forward_response(&mut self, success: &Success) {
        if let Some(slot) = self.take_client(success.completion.io) {
            self.forward_to(slot, success);
            if let Some(entry) = self.driver.in_flight_mut().get_mut(success.completion.io) {
                entry.data.may_have_run = Some(ClientKnowledge::Answered);
            }
        }
        self.nodes.finish(success, self.times.now());
        self.queue_completion(&success.completion);
    }

    fn forward_to(&mut self, slot: ClientSlot, success: &Success) {
        let now = self.times.now_ms();
        // Clients that do not read their responses may have exhausted the memory limit.
        if !self.clients.has_capacity(self.nodes.body(success).len()) {
            self.counters.failed += 1;
            let response = Response::empty(response::FAILED_STATUS);
            return self.clients.respond(slot, response, now);
        }
        self.counters.completed += 1;
        if let Some((buffer, body)) = self.nodes.take_long_body(success) {
            let response = Response::from_buffer(buffer, body);
            return self.clients.respond(slot, response, now);
        }
        let response = Response::new(OK, self.nodes.body(success));
        self.clients.respond(slot, response, now);
    }
}
