//! Anti-entropy: when this host compares its membership table with another member's, and how many comparisons it
//! answers.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::rng::SeededRng;

/// Protocol periods between two comparisons that a joined host starts.
const INTERVAL_PERIODS: u64 = 10;
/// Comparisons that a joining host starts in one protocol period.
const JOINING_COMPARISONS_PER_PERIOD: u64 = 5;
/// Maximum number of comparisons that are answered in one protocol period.
const MAX_REPLIES_PER_PERIOD: u32 = 16;

/// Limit of the number of comparisons that are answered in a protocol period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReplyBudget {
    period_start: Millis,
    replies: u32,
}

impl ReplyBudget {
    fn new(now: Millis) -> Self {
        ReplyBudget {
            period_start: now,
            replies: 0,
        }
    }

    /// Renews the budget if its protocol period is over.
    fn renew(&mut self, now: Millis, period: Millis) {
        if now >= self.period_start + period {
            *self = ReplyBudget::new(now);
        }
    }

    /// Spends one reply. Returns whether the budget allowed it.
    fn spend(&mut self) -> bool {
        let is_within_budget = self.replies < MAX_REPLIES_PER_PERIOD;
        self.replies += u32::from(is_within_budget);
        is_within_budget
    }
}

/// Schedule of the comparisons that this host starts, and budget of those that it answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AntiEntropy {
    protocol_period: Millis,
    next_comparison: Millis,
    reply_budget: ReplyBudget,
}

impl AntiEntropy {
    pub fn new(protocol_period: Millis, now: Millis) -> Self {
        AntiEntropy {
            protocol_period,
            next_comparison: now,
            reply_budget: ReplyBudget::new(now),
        }
    }

    /// Makes the next comparison due at once.
    pub fn start_now(&mut self, now: Millis) {
        self.next_comparison = now;
    }

    /// Returns whether a comparison is due. If so, schedules the next one after an interval with random jitter.
    pub fn take_due(&mut self, is_joining: bool, rng: &mut SeededRng, now: Millis) -> bool {
        if now < self.next_comparison {
            return false;
        }
        let interval = if is_joining {
            self.protocol_period / JOINING_COMPARISONS_PER_PERIOD
        } else {
            self.protocol_period * INTERVAL_PERIODS
        };
        self.next_comparison = now + interval + rng.below(interval / 4);
        true
    }

    /// Returns whether a comparison is answered. Those of unknown senders are not; such a sender is known by its next
    /// comparison, since its record was merged.
    pub fn admit_reply(&mut self, is_known_sender: bool, now: Millis) -> bool {
        self.reply_budget.renew(now, self.protocol_period);
        is_known_sender && self.reply_budget.spend()
    }
}
