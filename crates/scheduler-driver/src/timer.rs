//! The scheduler's timer.
use mallowseam_scheduler::interface::Tick;

/// The single timer of a scheduler. If it is set again before it has fired, the earlier time applies.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerTimer {
    due: Option<Tick>,
}

impl SchedulerTimer {
    /// Sets the timer, unless it is already due earlier.
    pub fn set(&mut self, at: Tick) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Returns the time at which the timer is due.
    pub fn due(&self) -> Option<Tick> {
        self.due
    }

    /// Returns whether the timer is due, and clears it if so.
    pub fn take_due(&mut self, now: Tick) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
        }
        is_due
    }
}
