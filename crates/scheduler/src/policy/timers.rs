//! What the scheduler asks its host to be called for.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{Host, Tick};

/// The host's timer.
#[derive(Default)]
pub(super) struct HostTimer {
    /// The earliest time for which it is set.
    armed_for: Option<Tick>,
}

impl HostTimer {
    /// The timer has fired.
    pub(super) fn on_fired(&mut self, now: Tick) {
        if self.armed_for.is_some_and(|time| now >= time) {
            self.armed_for = None;
        }
    }

    /// Sets the timer for a time, at the earliest for the next tick, unless it is set for an earlier one.
    pub(super) fn arm(&mut self, host: &mut dyn Host, now: Tick, due: Tick) {
        let due = due.max(now + 1);
        if self.armed_for.is_none_or(|time| due < time) {
            self.armed_for = Some(due);
            host.set_timer(due - now);
        }
    }
}

/// When allocation intervals start.
pub(super) struct AllocationTimer {
    next: Tick,
}

impl AllocationTimer {
    /// The first interval starts one interval from now.
    pub(super) fn new(now: Tick) -> Self {
        AllocationTimer {
            next: now + ALLOCATION_INTERVAL,
        }
    }

    /// When the next interval starts.
    pub(super) fn next(&self) -> Tick {
        self.next
    }

    /// Whether an interval starts now; the next one then starts an interval later.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + ALLOCATION_INTERVAL;
        }
        due
    }
}
