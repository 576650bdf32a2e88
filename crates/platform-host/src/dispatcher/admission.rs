//! From a client's complete request to the scheduler; disconnects; final responses at the end of a shutdown.
use super::Dispatcher;
use super::block_io::BlockIo;
use crate::clients::{CONFLICT, OK, Response};
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_platform::interner::InternError;
use mallowseam_platform::request::{self, BlockRequest, ClientRequest};
use mallowseam_platform::response;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{BioId, Host};
use mallowseam_scheduler_driver::DrivenHost;

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
        let id = self.driver.in_flight().next_id();
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
        self.driver.in_flight_mut().insert(BlockIo {
            id: block.id,
            client: slot,
            deadline: io.deadline,
        });
        self.counters.admitted += 1;
        self.clients.on_admitted(slot, io.id, now_ms);
        let now = self.now;
        scheduler.on_arrival(self, now, io);
        self.report_all(scheduler);
    }

    /// The client of a block I/O in flight has disconnected.
    pub fn on_disconnected(&mut self, scheduler: &mut Scheduler, io: BioId) {
        let Some(slot) = self.take_client(io) else {
            return;
        };
        self.withdraw_unsent(io);
        self.driver.queue_withdrawal(io);
        self.report_next(scheduler);
        self.respond_disconnected(slot);
        self.report_all(scheduler);
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
        for io in self.driver.in_flight().ids() {
            let entry = self.driver.in_flight().get(io);
            let Some(entry) = entry.filter(|entry| !entry.is_answered()) else {
                continue;
            };
            let is_harmless = GracefulShutdown::is_safe_to_retry(entry.attempts());
            self.withdraw_unsent(io);
            if is_harmless {
                self.shed(io, 0);
            } else {
                self.fail(io);
            }
            self.driver.queue_withdrawal(io);
            self.report_all(scheduler);
        }
    }
}
