//! A host's side of its scheduler, and the calls of the scheduler that it decides on.
use crate::in_flight::{InFlight, InFlightTable};
use crate::reports::{FinishedAttempt, PendingReports, Report};
use crate::timer::SchedulerTimer;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptOutcome, BioId, Host, Tick};

/// What a host keeps for its scheduler. `T`: what the host knows of a block I/O. `A`: what it knows of an attempt in
/// flight.
pub struct SchedulerDriver<T, A> {
    in_flight: InFlightTable<T, A>,
    reports: PendingReports,
    timer: SchedulerTimer,
    endpoints_requested: bool,
}

impl<T, A> Default for SchedulerDriver<T, A> {
    fn default() -> Self {
        SchedulerDriver {
            in_flight: InFlightTable::default(),
            reports: PendingReports::default(),
            timer: SchedulerTimer::default(),
            endpoints_requested: false,
        }
    }
}

impl<T, A> SchedulerDriver<T, A> {
    /// The block I/Os in flight.
    pub fn in_flight(&self) -> &InFlightTable<T, A> {
        &self.in_flight
    }

    /// The block I/Os in flight.
    pub fn in_flight_mut(&mut self) -> &mut InFlightTable<T, A> {
        &mut self.in_flight
    }

    /// Queues the withdrawal of a block I/O: its client has disconnected, or the host has answered it or takes it back.
    pub fn queue_withdrawal(&mut self, io: BioId) {
        self.reports.push_withdrawn(io);
    }

    /// Queues an attempt that is over; its block I/O has none in flight any more.
    pub fn queue_finished(&mut self, attempt: FinishedAttempt) {
        if let Some(io) = self.in_flight.get_mut(attempt.io) {
            io.take_attempt();
        }
        self.reports.push_finished(attempt);
    }

    /// The scheduler asks for its timer after a span.
    pub fn set_timer(&mut self, now: Tick, after: Tick) {
        self.timer.set(now + after);
    }

    /// When the scheduler's timer is due.
    pub fn timer_due(&self) -> Option<Tick> {
        self.timer.due()
    }

    /// The scheduler asks for the endpoint list.
    pub fn request_endpoints(&mut self) {
        self.endpoints_requested = true;
    }

    /// Whether the scheduler has asked for the endpoint list since the last call.
    pub fn take_endpoints_request(&mut self) -> bool {
        std::mem::take(&mut self.endpoints_requested)
    }

    /// The outcome of a finished attempt; none if its block I/O is gone.
    fn outcome(&self, attempt: &FinishedAttempt) -> Option<AttemptOutcome> {
        let io: &InFlight<T, A> = self.in_flight.get(attempt.io)?;
        Some(AttemptOutcome {
            result: attempt.result,
            node: attempt.node,
            client_answered: io.is_answered() || io.is_withdrawn(),
            latency: attempt.latency,
            units_by_other_hosts: attempt.units_by_other_hosts,
            volume_usage: attempt.volume_usage,
            load_report: attempt.load_report,
        })
    }
}

/// A host that keeps a [`SchedulerDriver`].
pub trait DrivenHost: Host + Sized {
    /// What the host knows of a block I/O.
    type BlockIo;
    /// What the host knows of an attempt in flight.
    type Attempt;

    /// The time of the current event.
    fn now(&self) -> Tick;

    /// The host's driver.
    fn driver_mut(&mut self) -> &mut SchedulerDriver<Self::BlockIo, Self::Attempt>;

    /// Fires the scheduler's timer if it is due; returns whether it was. Nothing else may call `on_timer`: the
    /// scheduler sets each time once, would mistake an earlier call for the one that it has set, and would wait in
    /// vain for the next.
    fn fire_timer(&mut self, scheduler: &mut Scheduler) -> bool {
        let now = self.now();
        let is_due = self.driver_mut().timer.take_due(now);
        if is_due {
            scheduler.on_timer(self, now);
        }
        is_due
    }

    /// Makes the next report to the scheduler, whose reaction may add others; false: none is left.
    fn report_next(&mut self, scheduler: &mut Scheduler) -> bool {
        let now = self.now();
        let driver = self.driver_mut();
        let Some(report) = driver.reports.pop() else {
            return false;
        };
        match report {
            Report::Withdrawn(io) => {
                if driver.in_flight.get(io).is_some() {
                    scheduler.on_disconnect(self, now, io);
                }
            }
            Report::Finished(attempt) => {
                if let Some(outcome) = driver.outcome(&attempt) {
                    scheduler.on_attempt_finished(self, now, attempt.io, &outcome);
                }
            }
        }
        true
    }

    /// Makes reports to the scheduler until none is left.
    fn report_all(&mut self, scheduler: &mut Scheduler) {
        while self.report_next(scheduler) {}
    }
}
