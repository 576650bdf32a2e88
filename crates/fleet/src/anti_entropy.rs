//! Anti-entropy: when this host compares its table with another member's, and how many comparisons it answers.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::rng::SeededRng;

/// Periods between two comparisons that a host starts.
const INTERVAL_PERIODS: u64 = 10;
/// Comparisons that a joining host starts in one period.
const JOINING_COMPARISONS_PER_PERIOD: u64 = 5;
/// Comparisons answered in one period at most.
const MAX_REPLIES_PER_PERIOD: u32 = 16;

/// Limits the comparisons that are answered in a period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReplyBudget {
    since: Millis,
    replies: u32,
}

impl ReplyBudget {
    fn new(now: Millis) -> Self {
        ReplyBudget {
            since: now,
            replies: 0,
        }
    }

    /// Begins a new period once the last one is over.
    fn renew(&mut self, now: Millis, period: Millis) {
        if now >= self.since + period {
            *self = ReplyBudget::new(now);
        }
    }

    /// Takes one reply out of the budget. Returns whether there was one left.
    fn spend(&mut self) -> bool {
        let is_left = self.replies < MAX_REPLIES_PER_PERIOD;
        self.replies += u32::from(is_left);
        is_left
    }
}

/// Schedule of the comparisons that a host starts, and budget of those that it answers.
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

    /// The next comparison is due at once.
    pub fn start_now(&mut self, now: Millis) {
        self.next_comparison = now;
    }

    /// Whether a comparison is due. If so, the next one is due after an interval that is partly random.
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

    /// Whether a comparison is answered. An unknown sender is known by its next comparison, since its record was merged.
    pub fn admit_reply(&mut self, is_known_sender: bool, now: Millis) -> bool {
        self.reply_budget.renew(now, self.protocol_period);
        is_known_sender && self.reply_budget.spend()
    }
}
