//! Whom a host asks for a sign of life: each member once a round, in an order drawn anew for each. What it makes of
//! no answer goes by its own health: one that was stopped or is short of time doubts itself first.
use crate::Millis;
use crate::luck::Luck;
use crate::settings::Settings;

/// Periods are stretched by up to so much for a host that doubts itself (Lifeguard).
const HEALTH_MOST: u32 = 8;
/// Of a period: how long the first answer may take before others are asked to ask.
const DIRECT: f64 = 0.4;

/// A question that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Out {
    pub id: u64,
    pub nr: u32,
    pub ask_others_at: Millis,
    /// How many others were asked to ask, and how many of them said anything.
    pub helpers: u32,
    pub answers: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Probe {
    order: Vec<u64>,
    pub out: Option<Out>,
    pub next: Millis,
    /// 0: well; each step stretches periods by one.
    health: u32,
}

impl Probe {
    pub fn new(next: Millis) -> Self {
        Probe { next, ..Probe::default() }
    }

    pub fn stretch(&self) -> u64 {
        u64::from(self.health) + 1
    }

    pub fn better(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub fn worse(&mut self, settings: &Settings) {
        if settings.health {
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
    }

    /// The next member of the round; `all`: those there are, for the next one.
    pub fn turn(
        &mut self,
        luck: &mut Luck,
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
            self.order.swap(at, luck.below(at as u64 + 1) as usize);
        }
        self.order.pop()
    }

    pub fn begin(&mut self, id: u64, nr: u32, now: Millis, settings: &Settings) {
        let wait = (settings.period as f64 * DIRECT) as Millis * self.stretch();
        self.out = Some(Out { id, nr, ask_others_at: now + wait, helpers: 0, answers: 0 });
    }
}
