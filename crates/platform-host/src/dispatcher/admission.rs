//! Admission of block I/Os: parses complete requests of clients and registers their block I/Os.
use super::block_io::{BlockIo, ClientSlot};
use super::scheduler_host::SchedulerHost;
use crate::clients::{CONFLICT, OK, Response};
use mallowseam_platform::interner::InternError;
use mallowseam_platform::request::{self, BlockRequest, ClientRequest};
use mallowseam_platform::response;
use mallowseam_scheduler::interface::{Bio, Idempotency, Tick};
use mallowseam_sockets::clock::ticks_to_millis;

impl SchedulerHost {
    /// Returns the block I/O of a complete request, for the scheduler, or `None` if the request was already answered.
    /// `is_ready`: an endpoint is known. `retry_after`: ticks after which the client may retry if its request is shed.
    pub(super) fn admit_request(
        &mut self,
        slot: ClientSlot,
        is_ready: bool,
        retry_after: Option<Tick>,
    ) -> Option<Bio> {
        let now = self.times.now_ms();
        let (head, body) = self.clients.request(slot)?;
        let block = match request::parse(&head, body.len(), &self.settings) {
            Ok(ClientRequest::BlockIo(block)) => block,
            Ok(ClientRequest::Readiness) => {
                self.respond_readiness(slot, is_ready);
                return None;
            }
            Err(rejection) => {
                let (status, message) = (rejection.status(), rejection.message());
                self.clients.reject_request(slot, status, message, now);
                return None;
            }
        };
        // No block I/O is started for a client that has disconnected.
        let is_poll_stale = self.times.is_poll_stale();
        if self.clients.is_disconnected(slot, is_poll_stale) {
            self.clients.respond(slot, Response::shed(None), now);
            return None;
        }
        let is_side_effecting = self.is_side_effecting(&block);
        if is_side_effecting && self.executed.contains(block.id.bytes()) {
            self.clients
                .reject_request(slot, CONFLICT, "this id may have run", now);
            return None;
        }
        let in_flight = self.driver.in_flight().len();
        let can_remember = !is_side_effecting || self.executed.may_admit(in_flight);
        if !can_remember || !self.clients.may_admit() {
            self.shed_request(slot, retry_after);
            return None;
        }
        self.admit(slot, &block, is_side_effecting)
    }

    /// Returns whether a request must not be run again when its id comes a second time.
    fn is_side_effecting(&self, block: &BlockRequest) -> bool {
        let class = self
            .settings
            .scheduler
            .classes
            .get(usize::from(block.io_class));
        class.is_none_or(|class| class.idempotency != Idempotency::Idempotent)
    }

    /// Sheds a request that is not admitted.
    fn shed_request(&mut self, slot: ClientSlot, retry_after: Option<Tick>) {
        self.counters.shed += 1;
        let response = Response::shed(retry_after.map(ticks_to_millis));
        self.clients.respond(slot, response, self.times.now_ms());
    }

    /// Responds to a readiness check, and closes its connection, since such connections carry no block I/Os.
    fn respond_readiness(&mut self, slot: ClientSlot, is_ready: bool) {
        self.counters.readiness_checks += 1;
        let response = if is_ready {
            Response::new(OK, b"ready")
        } else {
            Response::new(response::SHED_STATUS, b"no list yet")
        };
        let now = self.times.now_ms();
        self.clients.respond_and_close(slot, response, now);
    }

    /// Registers the block I/O of a valid request and returns it, or rejects the request if its names cannot be
    /// interned.
    fn admit(
        &mut self,
        slot: ClientSlot,
        block: &BlockRequest,
        is_side_effecting: bool,
    ) -> Option<Bio> {
        let now = self.times.now_ms();
        let id = self.driver.in_flight().next_id();
        let io = match self
            .names
            .intern_request(id, block, self.times.now(), &self.settings)
        {
            Ok(io) => io,
            Err(error) => {
                let (status, message) = intern_rejection(error);
                self.clients.reject_request(slot, status, message, now);
                return None;
            }
        };
        self.driver.in_flight_mut().insert(BlockIo {
            id: block.id,
            client: slot,
            deadline: io.deadline,
            is_side_effecting,
            may_have_run: None,
        });
        self.counters.admitted += 1;
        self.clients.on_admitted(slot, io.id, now);
        Some(io)
    }
}

/// Returns the HTTP status and body for a request whose names cannot be interned.
fn intern_rejection(error: InternError) -> (u16, &'static str) {
    match error {
        InternError::DuplicateRequestId => (CONFLICT, "this id is in hand"),
        InternError::TooManyVolumes => (response::SHED_STATUS, "no room"),
    }
}
