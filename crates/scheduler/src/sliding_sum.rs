//! A sum over a sliding span of time.
use crate::interface::Tick;
use std::collections::VecDeque;

/// Amounts with their times, oldest first, and the sum of those that are kept.
#[derive(Default)]
pub(crate) struct SlidingSum {
    entries: VecDeque<(Tick, f64)>,
    sum: f64,
}

impl SlidingSum {
    /// Adds an amount; times never go back.
    pub(crate) fn add(&mut self, time: Tick, amount: f64) {
        self.entries.push_back((time, amount));
        self.sum += amount;
    }

    /// The sum of what was added after `start`; older entries are dropped.
    pub(crate) fn after(&mut self, start: Tick) -> f64 {
        while let Some(&(time, amount)) = self.entries.front() {
            if time > start {
                break;
            }
            self.entries.pop_front();
            self.sum -= amount;
        }
        if self.entries.is_empty() {
            // Rounding errors do not outlive the entries.
            self.sum = 0.0;
        }
        self.sum
    }
}
