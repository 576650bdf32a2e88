//! When the connections are checked for timeouts.
use mallowseam_scheduler::interface::Tick;

/// Ticks between two checks: fine enough for times of seconds.
const PERIOD: Tick = 1_000;

/// The timer of the periodic check.
pub(super) struct PeriodicCheck {
    due: Tick,
}

impl Default for PeriodicCheck {
    /// The first check is one period after the host's start.
    fn default() -> Self {
        PeriodicCheck { due: PERIOD }
    }
}

impl PeriodicCheck {
    /// When the next check is due.
    pub(super) fn due(&self) -> Tick {
        self.due
    }

    /// Whether a check is due; if so, the next one is a period from now.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let is_due = now >= self.due;
        if is_due {
            self.due = now + PERIOD;
        }
        is_due
    }
}
