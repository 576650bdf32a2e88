//! The scheduler-related state of a host, and the scheduler calls that depend on it.
use crate::in_flight::{InFlight, InFlightTable};
use crate::reports::{FinishedAttempt, PendingReports, Report};
use crate::timer::SchedulerTimer;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{AttemptOutcome, BioId, Host, Tick};

/// The state that a host keeps for its scheduler. `T` is the host's data about a block I/O, and `A` its data about an
/// attempt in flight.
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
    /// Returns the block I/Os in flight.
    pub fn in_flight(&self) -> &InFlightTable<T, A> {
        &self.in_flight
    }

    /// Returns the block I/Os in flight, for modification.
    pub fn in_flight_mut(&mut self) -> &mut InFlightTable<T, A> {
        &mut self.in_flight
    }

    /// Queues the withdrawal of a block I/O, because its client has disconnected, or because the host has answered it
    /// or takes it back.
    pub fn queue_withdrawal(&mut self, io: BioId) {
        self.reports.push_withdrawn(io);
    }

    /// Queues the report of a finished attempt. Its block I/O then has no attempt in flight.
    pub fn queue_finished(&mut self, attempt: FinishedAttempt) {
        if let Some(io) = self.in_flight.get_mut(attempt.io) {
            io.take_attempt();
        }
        self.reports.push_finished(attempt);
    }

    /// Sets the scheduler's timer to fire after this duration.
    pub fn set_timer(&mut self, now: Tick, after: Tick) {
        self.timer.set(now + after);
    }

    /// Returns the time at which the scheduler's timer is due.
    pub fn timer_due(&self) -> Option<Tick> {
        self.timer.due()
    }

    /// Records that the scheduler has requested the endpoint list.
    pub fn request_endpoints(&mut self) {
        self.endpoints_requested = true;
    }

    /// Returns whether the scheduler has requested the endpoint list since the last call.
    pub fn take_endpoints_request(&mut self) -> bool {
        std::mem::take(&mut self.endpoints_requested)
    }

    /// Returns the outcome of a finished attempt, or `None` if its block I/O is no longer in flight.
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

/// A host that has a [`SchedulerDriver`].
pub trait DrivenHost: Host + Sized {
    /// The host's data about a block I/O.
    type BlockIo;
    /// The host's data about an attempt in flight.
    type Attempt;

    /// Returns the time of the current event.
    fn now(&self) -> Tick;

    /// Returns the host's driver.
    fn driver_mut(&mut self) -> &mut SchedulerDriver<Self::BlockIo, Self::Attempt>;

    /// Fires the scheduler's timer if it is due, and returns whether it was. Nothing else may call `on_timer`. The
    /// scheduler sets each time only once; it would take an earlier call for the expiry of that time and wait forever
    /// for the next one.
    fn fire_timer(&mut self, scheduler: &mut Scheduler) -> bool {
        let now = self.now();
        let is_due = self.driver_mut().timer.take_due(now);
        if is_due {
            scheduler.on_timer(self, now);
        }
        is_due
    }

    /// Makes the next report to the scheduler, which may queue further reports in response. Returns false if there was
    /// none.
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
