//! What the scheduler is to be told once its present call has returned, and what it has requested of the
//! host's event loop.
use super::block_io::BlockIoIndex;
use mallowseam_scheduler::interface::{AttemptOutcome, BioId, Tick};
use std::collections::VecDeque;

/// What the scheduler is told.
pub(super) enum SchedulerEvent {
    /// Nobody waits for a block I/O any more, or its location is looked up again.
    Withdrawn(BioId),
    AttemptFinished(BioId, AttemptOutcome),
    /// A step of a copy has arrived.
    Arrived(BlockIoIndex),
}

/// What passes between scheduler and event loop.
#[derive(Default)]
pub(super) struct SchedulerQueue {
    withdrawn: VecDeque<BioId>,
    outcomes: VecDeque<(BioId, AttemptOutcome)>,
    arrivals: VecDeque<BlockIoIndex>,
    /// When the timer that the scheduler has set is due.
    timer_due: Option<Tick>,
    endpoint_list_requested: bool,
}

impl SchedulerQueue {
    pub(super) fn withdraw(&mut self, index: BlockIoIndex) {
        self.withdrawn.push_back(BioId(index));
    }

    pub(super) fn attempt_finished(&mut self, index: BlockIoIndex, outcome: AttemptOutcome) {
        self.outcomes.push_back((BioId(index), outcome));
    }

    pub(super) fn arrive(&mut self, index: BlockIoIndex) {
        self.arrivals.push_back(index);
    }

    /// Whether a step of a copy has not been passed to the scheduler yet.
    pub(super) fn has_arrivals(&self) -> bool {
        !self.arrivals.is_empty()
    }

    /// The next event. Withdrawals go first: what is withdrawn behind a write that was rejected must not be
    /// sent when that one frees its place in the window.
    pub(super) fn next(&mut self) -> Option<SchedulerEvent> {
        if let Some(id) = self.withdrawn.pop_front() {
            return Some(SchedulerEvent::Withdrawn(id));
        }
        if let Some((id, outcome)) = self.outcomes.pop_front() {
            return Some(SchedulerEvent::AttemptFinished(id, outcome));
        }
        self.arrivals.pop_front().map(SchedulerEvent::Arrived)
    }

    /// The scheduler's timer is due at this time, unless it is due earlier.
    pub(super) fn set_timer(&mut self, at: Tick) {
        self.timer_due = Some(self.timer_due.map_or(at, |due| due.min(at)));
    }

    /// When the timer is due.
    pub(super) fn timer_due(&self) -> Option<Tick> {
        self.timer_due
    }

    /// Takes the timer if it is due.
    pub(super) fn take_due_timer(&mut self, now: Tick) -> bool {
        self.timer_due.take_if(|due| *due <= now).is_some()
    }

    pub(super) fn request_endpoint_list(&mut self) {
        self.endpoint_list_requested = true;
    }

    /// Whether the scheduler has requested the endpoint list since the last call.
    pub(super) fn take_endpoint_list_request(&mut self) -> bool {
        std::mem::take(&mut self.endpoint_list_requested)
    }
}
