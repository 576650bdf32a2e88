//! A timer of the event loop that is due again and again.
#[cfg(test)]
mod tests;

use std::ops::Add;

/// A timer that is due once a period has passed since it was last due. `T`: the unit of time, ticks or
/// milliseconds.
pub struct PeriodicTimer<T> {
    period: T,
    last: T,
}

impl<T: Copy + PartialOrd + Add<Output = T>> PeriodicTimer<T> {
    /// A timer that is first due a period from now.
    pub fn new(period: T, now: T) -> Self {
        PeriodicTimer { period, last: now }
    }

    /// When it is due next.
    pub fn next_due(&self) -> T {
        self.last + self.period
    }

    /// Whether it is due now. If so, the next period begins.
    pub fn take_due(&mut self, now: T) -> bool {
        let is_due = now >= self.next_due();
        if is_due {
            self.last = now;
        }
        is_due
    }
}
