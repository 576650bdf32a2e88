//! A sum over a sliding span of time.
use crate::interface::Tick;
use std::collections::VecDeque;

#[derive(Default)]
pub(crate) struct Ledger {
    entries: VecDeque<(Tick, f64)>,
    sum: f64,
}

impl Ledger {
    pub(crate) fn add(&mut self, at: Tick, amount: f64) {
        self.entries.push_back((at, amount));
        self.sum += amount;
    }

    /// What was entered after `since`; older entries are dropped.
    pub(crate) fn since(&mut self, since: Tick) -> f64 {
        while let Some(&(at, amount)) = self.entries.front() {
            if at > since {
                break;
            }
            self.entries.pop_front();
            self.sum -= amount;
        }
        if self.entries.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }
}
