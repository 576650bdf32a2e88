//! The calls that the scheduler makes on its host.
use super::Dispatcher;
use super::block_io::waiting_client;
use crate::clients::Response;
use crate::nodes::Completion;
use mallowseam_platform::request;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::{AttemptResult, BioId, Host, KeyId, NodeId, Tick, VolumeId};
use mallowseam_sockets::clock::{ticks_from_millis, ticks_to_millis};

impl Dispatcher {
    /// Sends a block I/O to a node, or returns the reason why nothing was sent.
    fn start_attempt(
        &mut self,
        io: BioId,
        node: NodeId,
        timeout: Tick,
    ) -> Result<(), AttemptResult> {
        let now = self.now;
        // During a shutdown all responses are due before the host is killed, so attempts expire by then.
        let responses_by = self
            .clients
            .shutdown()
            .and_then(|shutdown| shutdown.answer_deadline());
        let timeout = responses_by.map_or(timeout, |by| timeout.min(ticks_from_millis(by) - now));
        self.check_client(io);
        let max_attempts = self.settings.scheduler.max_attempts;
        let Some(entry) = self.driver.in_flight_mut().get_mut(io) else {
            return Ok(());
        };
        let attempts = entry.count_attempt();
        let is_over = entry.data.deadline <= now || timeout <= 0;
        let is_one_too_many = max_attempts > 0 && attempts > max_attempts;
        let client = waiting_client(entry).filter(|_| !is_over && !is_one_too_many);
        let (head, body) = client
            .and_then(|slot| self.clients.request(slot))
            .ok_or(AttemptResult::NotSent)?;
        let wait_ms = ticks_to_millis(timeout).max(1);
        let write = |out: &mut Vec<u8>| request::write_forwarded(out, &head, body, wait_ms);
        let started = self.nodes.start_attempt(io, node, now, timeout, write)?;
        entry.set_attempt(started.slot);
        if let Some(completion) = started.completion {
            self.queue_completion(&completion);
        }
        Ok(())
    }

    /// Checks whether the client has disconnected, if the last poll is too old to rely on.
    fn check_client(&mut self, io: BioId) {
        let is_poll_stale = self.is_poll_stale();
        let client = self.driver.in_flight().get(io).and_then(waiting_client);
        let is_disconnected =
            client.is_some_and(|slot| is_poll_stale && self.clients.is_disconnected(slot, true));
        if is_disconnected && let Some(slot) = self.take_client(io) {
            self.respond_disconnected(slot);
        }
    }
}

impl Host for Dispatcher {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        if let Err(result) = self.start_attempt(bio, node, timeout) {
            self.counters.unsent_attempts += 1;
            self.queue_completion(&Completion::unsent(bio, node, result, self.now));
        }
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        // An attempt that is not in flight has completed, and its completion is queued.
        let entry = self.driver.in_flight().get(bio);
        let slot = entry.and_then(|entry| entry.attempt_numbered(attempt).copied());
        if let Some(completion) = slot.and_then(|slot| self.nodes.cancel(slot, bio)) {
            self.queue_completion(&completion);
        }
    }

    fn shed(&mut self, bio: BioId, retry_after: Tick) {
        let response =
            Response::empty(response::SHED_STATUS).with_retry_after(ticks_to_millis(retry_after));
        self.counters.shed += u64::from(self.respond_final(bio, response));
    }

    fn fail(&mut self, bio: BioId) {
        self.counters.failed +=
            u64::from(self.respond_final(bio, Response::empty(response::FAILED_STATUS)));
    }

    fn set_timer(&mut self, after: Tick) {
        self.driver.set_timer(self.now, after);
    }

    /// A new watch begins with the list, in full where that is needed.
    fn poll_endpoints(&mut self) {
        self.driver.request_endpoints();
    }

    fn release_bio(&mut self, bio: BioId) {
        if let Some(released) = self.driver.in_flight_mut().release(bio) {
            self.names.release_request(&released.data.id);
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.names.release_key(key);
    }

    fn release_volume(&mut self, volume: VolumeId) {
        self.names.release_volume(volume);
    }

    fn release_node(&mut self, node: NodeId) {
        self.names.release_node(node);
        self.nodes.release(node);
    }
}
