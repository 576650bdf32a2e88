//! The retry budget: how many retries this host may send, relative to the block I/Os that arrived.
use crate::interface::{SchedulerConfig, Tick};
use crate::sliding_sum::SlidingSum;

/// The retry budget of this host. `None` means that retries are neither limited nor counted.
pub(super) struct RetryBudget(Option<CountedBudget>);

struct CountedBudget {
    /// Number of retries allowed in a window, regardless of arrivals.
    min: f64,
    /// Number of retries allowed in a window per block I/O that arrived in it, in addition to the minimum.
    ratio: f64,
    window: Tick,
    arrivals: SlidingSum,
    retries: SlidingSum,
}

impl RetryBudget {
    /// Creates the configured budget.
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

    /// Records the arrival of a block I/O.
    pub(super) fn record_arrival(&mut self, now: Tick) {
        if let Some(budget) = &mut self.0 {
            budget.arrivals.add(now, 1.0);
        }
    }

    /// Records a retry that was sent.
    pub(super) fn record_retry(&mut self, now: Tick) {
        if let Some(budget) = &mut self.0 {
            budget.retries.add(now, 1.0);
        }
    }

    /// Returns whether another retry may be sent now.
    pub(super) fn allows_retry(&mut self, now: Tick) -> bool {
        self.0
            .as_mut()
            .is_none_or(|budget| budget.allows_retry(now))
    }
}

impl CountedBudget {
    /// Returns whether another retry may be sent now. Retries are counted over one tick more than the window and
    /// arrivals over one tick less, which is the stricter reading of both bounds; the reason for it is not known.
    fn allows_retry(&mut self, now: Tick) -> bool {
        let retries = self.retries.after(now - self.window - 1);
        let arrivals = self.arrivals.after(now - self.window + 1);
        retries + 1.0 <= self.min + self.ratio * arrivals
    }
}
