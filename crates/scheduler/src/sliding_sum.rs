//! A sum over a sliding time window.
use crate::interface::Tick;
use std::collections::VecDeque;

/// Timestamped amounts, oldest first, and their sum.
#[derive(Default)]
pub(crate) struct SlidingSum {
    entries: VecDeque<(Tick, f64)>,
    sum: f64,
}

impl SlidingSum {
    /// Adds an amount. `time` must not be earlier than that of the previous call.
    pub(crate) fn add(&mut self, time: Tick, amount: f64) {
        self.entries.push_back((time, amount));
        self.sum += amount;
    }

    /// Returns the sum of the amounts added after `start`, and drops older entries.
    pub(crate) fn after(&mut self, start: Tick) -> f64 {
        while let Some(&(time, amount)) = self.entries.front() {
            if time > start {
                break;
            }
            self.entries.pop_front();
            self.sum -= amount;
        }
        if self.entries.is_empty() {
            // Discards the rounding error that the subtractions have accumulated.
            self.sum = 0.0;
        }
        self.sum
    }
}
