//! Timer that is due once per period.
use std::ops::Add;

/// Timer that is due once its period has passed since `take_due` last returned true. `T`: type of times, in ticks or
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PeriodicTimer<T> {
    period: T,
    last: T,
}

impl<T: Copy + PartialOrd + Add<Output = T>> PeriodicTimer<T> {
    /// Creates a timer that is first due one period after `now`.
    pub fn new(period: T, now: T) -> Self {
        PeriodicTimer { period, last: now }
    }

    /// Returns the time at which the timer is next due.
    pub fn next_due(&self) -> T {
        self.last + self.period
    }

    /// Returns whether the timer is due now. If it is, the next period begins.
    pub fn take_due(&mut self, now: T) -> bool {
        let is_due = now >= self.next_due();
        if is_due {
            self.last = now;
        }
        is_due
    }
}
