//! Slow start: how much this host may send to a node whose process has just started.
use super::warm_demand::WarmDemand;
use crate::interface::{SchedulerConfig, Tick};
use crate::pcg::Pcg;
use crate::sliding_sum::SlidingSum;

/// Fraction of the load at which a warming node fails that is used; the rest is for surges.
const SAFE_LOAD: f64 = 0.8;
/// The least and the most that the configured initial rate may be, as a fraction of the full rate.
const INITIAL_RATE_BOUNDS: std::ops::RangeInclusive<f64> = 0.01..=1.0;

/// The limits of slow start, and what they depend on besides the node.
pub(super) struct SlowStart {
    /// Ticks until a node reaches its full rate.
    duration: Tick,
    /// Units in an overload window that are this host's even share of what a node bears just after its start.
    even_share: f64,
    /// Units of the largest block I/O.
    max_io_units: f64,
    /// The bound on the load of a warming node; none if it bears any load.
    overload: Option<OverloadBound>,
    warm_demand: WarmDemand,
}

/// The bound on the load of a warming node.
struct OverloadBound {
    /// Span over which load is counted.
    window: Tick,
    /// Units in a window for a usual rate of one unit a tick, just after the start.
    per_usual_rate: f64,
    /// Fraction of its full rate at which a node starts.
    initial_rate: f64,
}

/// The zero of the host's clock, for which an unknown start stands where starts are compared.
const CLOCK_ZERO: Tick = 0;

/// What this host knows of the slow start of one node.
#[derive(Default)]
pub(super) struct SlowStartState {
    /// Start of the node's process, which may lie before the zero of the host's clock; none: long ago, so that no slow
    /// start applies.
    started_at: Option<Tick>,
    /// Units sent since then; they are counted only for a process that started after the zero of the host's clock.
    sent_units: SlidingSum,
    draw: Option<ShareDraw>,
}

/// The random number by which a share below the largest block I/O is rounded.
#[derive(Clone, Copy)]
struct ShareDraw {
    /// Above 0, and up to 1.
    value: f64,
    valid_until: Tick,
}

/// Units that this host may send to a node in its slow start.
pub(super) struct SlowStartCapacity {
    /// Still to be sent in the present overload window.
    remaining: f64,
    /// Its whole share of that window.
    share: f64,
}

impl SlowStartCapacity {
    /// Whether what is left is enough for a block I/O.
    pub(super) fn fits(&self, units: f64) -> bool {
        self.remaining >= units
    }

    /// Whether a block I/O may be sent whose priority is below the typical one by this fraction. The last part of the
    /// share is kept for the highest priority.
    pub(super) fn admits(&self, units: f64, priority_deficit: f64) -> bool {
        units + self.share * priority_deficit <= self.remaining
    }
}

impl SlowStartState {
    /// Whether a process that started at this time is a later one; none: long ago.
    pub(super) fn is_before(&self, started_at: Option<Tick>) -> bool {
        self.started_at.unwrap_or(CLOCK_ZERO) < started_at.unwrap_or(CLOCK_ZERO)
    }

    /// When the node's process started, if that was after the zero of the host's clock.
    fn start_after_clock_zero(&self) -> Option<Tick> {
        self.started_at.filter(|time| *time > CLOCK_ZERO)
    }

    /// The node's process was started at this time; none: long ago.
    pub(super) fn restart(&mut self, started_at: Option<Tick>) {
        self.started_at = started_at;
    }

    /// Counts units that were sent.
    pub(super) fn record_sent(&mut self, now: Tick, units: f64) {
        if self.start_after_clock_zero().is_some() {
            self.sent_units.add(now, units);
        }
    }

    /// The number drawn for the present overload window.
    fn share_draw(&mut self, now: Tick, window: Tick, rng: &Pcg) -> f64 {
        if let Some(draw) = self.draw.filter(|draw| now < draw.valid_until) {
            return draw.value;
        }
        let draw = ShareDraw {
            value: rng.fraction(),
            valid_until: now + window,
        };
        self.draw = Some(draw);
        draw.value
    }
}

impl SlowStart {
    /// The limits of a configuration, for one of so many hosts.
    pub(super) fn new(config: &SchedulerConfig, hosts: f64, max_io_units: f64) -> Self {
        let safe_multiple = SAFE_LOAD * config.overload_multiple * config.slow_start_initial_rate;
        let overload = OverloadBound {
            window: config.overload_window,
            per_usual_rate: safe_multiple * config.overload_window as f64,
            initial_rate: config
                .slow_start_initial_rate
                .clamp(*INITIAL_RATE_BOUNDS.start(), *INITIAL_RATE_BOUNDS.end()),
        };
        SlowStart {
            duration: config.slow_start_duration,
            even_share: config.slow_start_capacity / hosts,
            max_io_units,
            overload: (overload.window != 0).then_some(overload),
            warm_demand: WarmDemand::default(),
        }
    }

    /// The demand for warm nodes, which tells how much of this host's share of a warming node is used.
    pub(super) fn warm_demand_mut(&mut self) -> &mut WarmDemand {
        &mut self.warm_demand
    }

    /// Whether a node has long been up, or started so long ago that it has reached its full rate.
    pub(super) fn is_warm(&self, now: Tick, state: &SlowStartState) -> bool {
        state
            .started_at
            .is_none_or(|started_at| now > started_at + self.duration)
    }

    /// Whether a node is still in its slow start, as shown to operators.
    pub(super) fn is_warming_up(&self, now: Tick, state: &SlowStartState) -> bool {
        state
            .start_after_clock_zero()
            .is_some_and(|started_at| now < started_at + self.duration)
    }

    /// Counts this host's even share of a node as spent. A host that has itself just started may have spent it before
    /// it was stopped.
    pub(super) fn count_share_as_spent(&self, now: Tick, state: &mut SlowStartState) {
        state.record_sent(now, self.even_share);
    }

    /// Units that this host may still send to a node; none if there is no bound. Its share is even, or goes by what it
    /// sent to the node while the node was well, since all hosts together sent no more than the node could do.
    pub(super) fn capacity(
        &self,
        now: Tick,
        state: &mut SlowStartState,
        usual_rate: f64,
        rng: &Pcg,
    ) -> Option<SlowStartCapacity> {
        let overload = self.overload.as_ref()?;
        let age = now - state.started_at?;
        if age >= self.duration + overload.window / 2 {
            return None;
        }
        let growth = overload.growth(age, self.duration);
        let share = self.even_share.max(usual_rate * overload.per_usual_rate) * growth;
        let sent = state.sent_units.after(now - overload.window - 1);
        let share = if share < self.max_io_units {
            let draw = state.share_draw(now, overload.window, rng);
            let safe_rate = overload.safe_rate(growth) * self.used_fraction(usual_rate);
            self.rounded_share(share, sent, draw, safe_rate)
        } else {
            share
        };
        Some(SlowStartCapacity {
            remaining: share - sent,
            share,
        })
    }

    /// The fraction of its shares that this host is expected to use: all if it usually sends to the node, else what
    /// warm nodes accept, as even shares also go to hosts that have nothing to send.
    fn used_fraction(&self, usual_rate: f64) -> f64 {
        if usual_rate > 0.0 {
            1.0
        } else {
            self.warm_demand.accepted_fraction()
        }
    }

    /// Rounds a share below the largest block I/O up to a whole one, at random, so that the mean stays. Drawback:
    /// costly where all hosts surge at a node's return.
    fn rounded_share(&self, share: f64, sent: f64, draw: f64, safe_rate: f64) -> f64 {
        if draw + f64::from(sent > 0.0) < safe_rate {
            self.max_io_units
        } else if sent == 0.0 {
            (share / draw).min(self.max_io_units)
        } else {
            share
        }
    }
}

impl OverloadBound {
    /// The node's rate as a multiple of its first one, by the slowest growth allowed, half a window late.
    fn growth(&self, age: Tick, duration: Tick) -> f64 {
        let elapsed_fraction = (age - self.window / 2).max(0) as f64 / duration.max(1) as f64;
        (self.initial_rate + (1.0 - self.initial_rate) * elapsed_fraction.min(1.0))
            / self.initial_rate
    }

    /// The safe rate of a node of this growth, as a multiple of its usual rate.
    fn safe_rate(&self, growth: f64) -> f64 {
        self.per_usual_rate * growth / self.window as f64
    }
}
