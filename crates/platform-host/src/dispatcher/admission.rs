//! From a client's complete request to the scheduler; disconnects; final responses at the end of a shutdown.
use super::{Dispatcher, InFlight};
use crate::clients::{CONFLICT, OK, Response};
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_platform::interner::InternError;
use mallowseam_platform::request::{self, BlockRequest, ClientRequest};
use mallowseam_platform::response;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{BioId, Host};

impl Dispatcher {
    /// Handles a complete request. `is_ready`: an endpoint list is known.
    pub fn on_request(&mut self, scheduler: &mut Scheduler, slot: u32, is_ready: bool) {
        let now = self.now_ms();
        let Some((head, body)) = self.clients.request(slot) else {
            return;
        };
        match request::parse(&head, body.len(), &self.settings) {
            Err(rejection) => {
                self.clients
                    .reject_request(slot, rejection.status(), rejection.message(), now);
            }
            Ok(ClientRequest::Readiness) => self.respond_readiness(slot, is_ready),
            // Nothing is started for a client that has disconnected.
            Ok(ClientRequest::BlockIo(_))
                if self.clients.is_disconnected(slot, self.is_poll_stale()) =>
            {
                self.clients
                    .respond(slot, Response::empty(response::SHED_STATUS), now);
            }
            Ok(ClientRequest::BlockIo(block)) => self.admit(scheduler, slot, &block),
        }
    }

    /// Responds to a readiness check, and closes its connection: it carries no block I/Os.
    fn respond_readiness(&mut self, slot: u32, is_ready: bool) {
        self.counters.readiness_checks += 1;
        let (status, text) = if is_ready {
            (OK, "ready")
        } else {
            (response::SHED_STATUS, "no list yet")
        };
        self.clients
            .respond_and_close(slot, Response::new(status, text.as_bytes()), self.now_ms());
    }

    /// Hands a request to the scheduler as a block I/O.
    fn admit(&mut self, scheduler: &mut Scheduler, slot: u32, block: &BlockRequest) {
        let now_ms = self.now_ms();
        let id = BioId(self.in_flight.next_index());
        let io = match self
            .names
            .intern_request(id, block, self.now, &self.settings)
        {
            Ok(io) => io,
            Err(InternError::DuplicateRequestId) => {
                return self
                    .clients
                    .reject_request(slot, CONFLICT, "this id is in hand", now_ms);
            }
            Err(InternError::TooManyVolumes) => {
                return self
                    .clients
                    .reject_request(slot, response::SHED_STATUS, "no room", now_ms);
            }
        };
        self.in_flight.insert(InFlight {
            id: block.id,
            client: Some(slot),
            attempts: 0,
            node_connection: None,
            deadline: io.deadline,
        });
        self.counters.admitted += 1;
        self.clients.on_admitted(slot, io.id, now_ms);
        let now = self.now;
        scheduler.on_arrival(self, now, io);
        self.report_completions(scheduler);
    }

    /// The client of a block I/O in flight has disconnected.
    pub fn on_disconnected(&mut self, scheduler: &mut Scheduler, io: BioId) {
        if let Some(slot) = self
            .in_flight
            .get_mut(io.0)
            .and_then(|entry| entry.client.take())
        {
            let now = self.now;
            self.withdraw_unsent(io);
            scheduler.on_disconnect(self, now, io);
            self.respond_disconnected(slot);
            self.report_completions(scheduler);
        }
    }

    /// Responds to a client that may have closed only its sending side.
    pub(super) fn respond_disconnected(&mut self, slot: u32) {
        self.counters.disconnected += 1;
        self.clients.respond(
            slot,
            Response::empty(response::FAILED_STATUS),
            self.now_ms(),
        );
    }

    /// Sends the final responses of all block I/Os in flight: the host is about to be killed.
    pub fn respond_to_all(&mut self, scheduler: &mut Scheduler) {
        for slot in self.in_flight.indices() {
            let Some(entry) = self
                .in_flight
                .get(slot)
                .filter(|entry| entry.client.is_some())
            else {
                continue;
            };
            let io = BioId(slot);
            let is_harmless = GracefulShutdown::is_safe_to_retry(entry.attempts);
            self.withdraw_unsent(io);
            if is_harmless {
                self.shed(io, 0);
            } else {
                self.fail(io);
            }
            let now = self.now;
            scheduler.on_disconnect(self, now, io);
            self.report_completions(scheduler);
        }
    }
}
