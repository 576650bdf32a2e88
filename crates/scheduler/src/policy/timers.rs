//! The timers for which the scheduler asks its host to call it.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{Host, Tick};

/// The host's timer.
#[derive(Default)]
pub(super) struct HostTimer {
    /// Earliest time for which the timer is set.
    armed_for: Option<Tick>,
}

impl HostTimer {
    /// Records that the timer has fired.
    pub(super) fn on_fired(&mut self, now: Tick) {
        if self.armed_for.is_some_and(|time| now >= time) {
            self.armed_for = None;
        }
    }

    /// Sets the timer for `due`, but no earlier than the next tick, unless it is already set for an earlier time.
    pub(super) fn arm(&mut self, host: &mut dyn Host, now: Tick, due: Tick) {
        let due = due.max(now + 1);
        if self.armed_for.is_none_or(|time| due < time) {
            self.armed_for = Some(due);
            host.set_timer(due - now);
        }
    }
}

/// The schedule of allocation intervals.
pub(super) struct AllocationTimer {
    next: Tick,
}

impl AllocationTimer {
    /// Creates a schedule whose first interval starts one interval after `now`.
    pub(super) fn new(now: Tick) -> Self {
        AllocationTimer {
            next: now + ALLOCATION_INTERVAL,
        }
    }

    /// Returns the start of the next interval.
    pub(super) fn next(&self) -> Tick {
        self.next
    }

    /// Returns whether an interval is due. If so, the next one starts one interval after `now`.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + ALLOCATION_INTERVAL;
        }
        due
    }
}
