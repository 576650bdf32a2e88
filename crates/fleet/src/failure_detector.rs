//! Whom a host asks for a sign of life: each member once a round, in an order drawn anew for each. What it makes of
//! no answer goes by its own health: one that was stopped or is short of time doubts itself first.
use crate::Millis;
use crate::config::MembershipConfig;
use crate::rng::SeededRng;

/// Periods are stretched by up to so much for a host that doubts itself (Lifeguard).
const MAX_LOCAL_HEALTH: u32 = 8;
/// Of a period: how long the first answer may take before others are asked to ask.
const DIRECT_PING_TIMEOUT: f64 = 0.4;

/// A question that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingPing {
    pub id: u64,
    pub nr: u32,
    pub ask_others_at: Millis,
    /// How many others were asked to ask, and how many of them said anything.
    pub helpers: u32,
    pub answers: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    order: Vec<u64>,
    pub pending: Option<PendingPing>,
    pub next: Millis,
    /// 0: well; each step stretches periods by one.
    health: u32,
}

impl FailureDetector {
    pub fn new(next: Millis) -> Self {
        FailureDetector { next, ..FailureDetector::default() }
    }

    pub fn stretch(&self) -> u64 {
        u64::from(self.health) + 1
    }

    pub fn better(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub fn worse(&mut self, config: &MembershipConfig) {
        if config.local_health {
            self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
        }
    }

    /// The next member of the round; `all`: those there are, for the next one.
    pub fn turn(
        &mut self,
        rng: &mut SeededRng,
        fits: impl Fn(u64) -> bool,
        all: impl Iterator<Item = u64>,
    ) -> Option<u64> {
        while let Some(id) = self.order.pop() {
            if fits(id) {
                return Some(id);
            }
        }
        self.order.extend(all.filter(|id| fits(*id)));
        for at in (1..self.order.len()).rev() {
            self.order.swap(at, rng.below(at as u64 + 1) as usize);
        }
        self.order.pop()
    }

    pub fn begin(&mut self, id: u64, nr: u32, now: Millis, config: &MembershipConfig) {
        let wait = (config.protocol_period as f64 * DIRECT_PING_TIMEOUT) as Millis * self.stretch();
        self.pending = Some(PendingPing { id, nr, ask_others_at: now + wait, helpers: 0, answers: 0 });
    }
}
