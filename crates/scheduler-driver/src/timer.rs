//! The scheduler's timer.
use mallowseam_scheduler::interface::Tick;

/// The one timer of a scheduler. The scheduler may set it again before it has fired: the earlier time counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerTimer {
    due: Option<Tick>,
}

impl SchedulerTimer {
    /// Sets the timer, unless it is due earlier already.
    pub fn set(&mut self, at: Tick) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// When the timer is due.
    pub fn due(&self) -> Option<Tick> {
        self.due
    }

    /// Whether the timer is due; if so, it is no longer set.
    pub fn take_due(&mut self, now: Tick) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
        }
        is_due
    }
}
