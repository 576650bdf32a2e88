//! The retry budget: how many retries this host may send, by the block I/Os that arrived.
use crate::interface::{SchedulerConfig, Tick};
use crate::sliding_sum::SlidingSum;

/// The retry budget of this host. Without one, retries are not limited and nothing is counted.
pub(super) struct RetryBudget(Option<CountedBudget>);

struct CountedBudget {
    /// Retries allowed in a window, whatever the number of arrivals.
    min: f64,
    /// Retries allowed in a window for each block I/O that arrived in it, besides the minimum.
    ratio: f64,
    window: Tick,
    arrivals: SlidingSum,
    retries: SlidingSum,
}

impl RetryBudget {
    /// The budget of a configuration.
    pub(super) fn new(config: &SchedulerConfig) -> Self {
        let budget = CountedBudget {
            min: config.retry_budget_min,
            ratio: config.retry_budget_ratio,
            window: config.retry_budget_window,
            arrivals: SlidingSum::default(),
            retries: SlidingSum::default(),
        };
        RetryBudget((budget.window != 0).then_some(budget))
    }

    /// Counts a block I/O that arrived.
    pub(super) fn record_arrival(&mut self, now: Tick) {
        if let Some(budget) = &mut self.0 {
            budget.arrivals.add(now, 1.0);
        }
    }

    /// Counts a retry that was sent.
    pub(super) fn record_retry(&mut self, now: Tick) {
        if let Some(budget) = &mut self.0 {
            budget.retries.add(now, 1.0);
        }
    }

    /// Whether another retry may be sent now.
    pub(super) fn allows_retry(&mut self, now: Tick) -> bool {
        self.0
            .as_mut()
            .is_none_or(|budget| budget.allows_retry(now))
    }
}

impl CountedBudget {
    /// Retries are counted for a tick longer than the window and arrivals for a tick less, the stricter reading of
    /// both bounds. Why is not on record.
    fn allows_retry(&mut self, now: Tick) -> bool {
        let retries = self.retries.after(now - self.window - 1);
        let arrivals = self.arrivals.after(now - self.window + 1);
        retries + 1.0 <= self.min + self.ratio * arrivals
    }
}
