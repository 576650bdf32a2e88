//! Slow start: how much this host may send to a node whose process has just started.
use super::warm_demand::WarmDemand;
use crate::interface::{SchedulerConfig, Tick};
use crate::pcg::Pcg;
use crate::sliding_sum::SlidingSum;

/// Fraction used of the load at which a node in slow start fails; the rest is headroom for surges.
const SAFE_LOAD: f64 = 0.8;
/// Bounds of the configured initial rate, as a fraction of the full rate.
const INITIAL_RATE_BOUNDS: std::ops::RangeInclusive<f64> = 0.01..=1.0;

/// Slow start limits that are the same for all nodes.
pub(super) struct SlowStart {
    /// Ticks from a node's start until it reaches its full rate.
    duration: Tick,
    /// This host's even share, in units per overload window, of the load that a node sustains just after its start.
    even_share: f64,
    /// Size of the largest block I/O, in units.
    max_io_units: f64,
    /// Limit on the load of a node in slow start; `None` if it sustains any load.
    overload: Option<OverloadLimit>,
    warm_demand: WarmDemand,
}

/// Limit on the load of a node in slow start.
struct OverloadLimit {
    /// Time window over which the load is counted.
    window: Tick,
    /// Units per window just after the start, per unit per tick of usual rate.
    units_per_usual_rate: f64,
    /// Fraction of its full rate at which a node starts.
    initial_rate: f64,
}

/// Zero of the host's clock. An unknown start counts as this time when starts are compared.
const CLOCK_ZERO: Tick = 0;

/// Slow start state of one node, as known to this host.
#[derive(Default)]
pub(super) struct SlowStartState {
    /// Start of the node's process, which may precede the zero of the host's clock. `None` means long ago, so that slow
    /// start does not apply.
    started_at: Option<Tick>,
    /// Units sent since the start. They are counted only if the process started after the zero of the host's clock.
    sent_units: SlidingSum,
    draw: Option<ShareDraw>,
}

/// The random number that rounds a share smaller than the largest block I/O.
#[derive(Clone, Copy)]
struct ShareDraw {
    /// Random number greater than 0 and at most 1.
    value: f64,
    valid_until: Tick,
}

/// Units that this host may send to a node in slow start.
pub(super) struct SlowStartCapacity {
    /// Units that may still be sent in the current overload window.
    remaining: f64,
    /// This host's whole share of the overload window, in units.
    share: f64,
}

impl SlowStartCapacity {
    /// Returns whether the remaining units are enough for a block I/O.
    pub(super) fn fits(&self, units: f64) -> bool {
        self.remaining >= units
    }

    /// Returns whether a block I/O may be sent whose priority is below the typical one by this fraction. The last part
    /// of the share is kept for the highest priority.
    pub(super) fn admits(&self, units: f64, priority_deficit: f64) -> bool {
        units + self.share * priority_deficit <= self.remaining
    }
}

impl SlowStartState {
    /// Returns whether a process that started at `started_at` is a later one than the recorded process. `None` means
    /// long ago.
    pub(super) fn is_before(&self, started_at: Option<Tick>) -> bool {
        self.started_at.unwrap_or(CLOCK_ZERO) < started_at.unwrap_or(CLOCK_ZERO)
    }

    /// Returns the start of the node's process, if it is after the zero of the host's clock.
    fn start_after_clock_zero(&self) -> Option<Tick> {
        self.started_at.filter(|time| *time > CLOCK_ZERO)
    }

    /// Records the start of a new process of the node. `None` means long ago.
    pub(super) fn restart(&mut self, started_at: Option<Tick>) {
        self.started_at = started_at;
    }

    /// Counts units that were sent.
    pub(super) fn record_sent(&mut self, now: Tick, units: f64) {
        if self.start_after_clock_zero().is_some() {
            self.sent_units.add(now, units);
        }
    }

    /// Returns the random number for the current overload window.
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
    /// Creates the configured limits for one of `hosts` hosts.
    pub(super) fn new(config: &SchedulerConfig, hosts: f64, max_io_units: f64) -> Self {
        let safe_multiple = SAFE_LOAD * config.overload_multiple * config.slow_start_initial_rate;
        let overload = OverloadLimit {
            window: config.overload_window,
            units_per_usual_rate: safe_multiple * config.overload_window as f64,
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

    /// Returns the demand for warm nodes, from which the used fraction of this host's slow start shares is estimated.
    pub(super) fn warm_demand_mut(&mut self) -> &mut WarmDemand {
        &mut self.warm_demand
    }

    /// Returns whether a node has been up for a long time or has reached its full rate.
    pub(super) fn is_warm(&self, now: Tick, state: &SlowStartState) -> bool {
        state
            .started_at
            .is_none_or(|started_at| now > started_at + self.duration)
    }

    /// Returns whether a node is still in slow start, for the status shown to operators.
    pub(super) fn is_warming_up(&self, now: Tick, state: &SlowStartState) -> bool {
        state
            .start_after_clock_zero()
            .is_some_and(|started_at| now < started_at + self.duration)
    }

    /// Counts this host's even share of a node's slow start as used, because a host that has just started may have used
    /// it before it was stopped.
    pub(super) fn count_share_as_spent(&self, now: Tick, state: &mut SlowStartState) {
        state.record_sent(now, self.even_share);
    }

    /// Returns the units that this host may still send to a node, or `None` if there is no limit. The share is the even
    /// share, or if larger, a share derived from the rate at which this host sent to the healthy node: all hosts
    /// together sent no more than the node could serve.
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
        let share = self
            .even_share
            .max(usual_rate * overload.units_per_usual_rate)
            * growth;
        let sent = state.sent_units.after(now - overload.window - 1);
        let share = if share < self.max_io_units {
            let draw = state.share_draw(now, overload.window, rng);
            let safe_rate_ratio = overload.safe_rate_ratio(growth) * self.used_fraction(usual_rate);
            self.rounded_share(share, sent, draw, safe_rate_ratio)
        } else {
            share
        };
        Some(SlowStartCapacity {
            remaining: share - sent,
            share,
        })
    }

    /// Returns the fraction of its shares that this host is expected to use. It is 1 if the host usually sends to the
    /// node; otherwise it is the fraction of demand that warm nodes accept, because hosts that have nothing to send
    /// also get even shares.
    fn used_fraction(&self, usual_rate: f64) -> f64 {
        if usual_rate > 0.0 {
            1.0
        } else {
            self.warm_demand.accepted_fraction()
        }
    }

    /// Rounds a share smaller than the largest block I/O up to that size at random, so that the mean is kept. Drawback:
    /// costly if all hosts surge when a node returns.
    fn rounded_share(&self, share: f64, sent: f64, draw: f64, safe_rate_ratio: f64) -> f64 {
        if draw + f64::from(sent > 0.0) < safe_rate_ratio {
            self.max_io_units
        } else if sent == 0.0 {
            (share / draw).min(self.max_io_units)
        } else {
            share
        }
    }
}

impl OverloadLimit {
    /// Returns the node's rate as a multiple of its initial rate, assuming the slowest growth allowed, delayed by half
    /// a window.
    fn growth(&self, age: Tick, duration: Tick) -> f64 {
        let elapsed_fraction = (age - self.window / 2).max(0) as f64 / duration.max(1) as f64;
        (self.initial_rate + (1.0 - self.initial_rate) * elapsed_fraction.min(1.0))
            / self.initial_rate
    }

    /// Returns the safe rate of a node with this growth, as a multiple of its usual rate.
    fn safe_rate_ratio(&self, growth: f64) -> f64 {
        self.units_per_usual_rate * growth / self.window as f64
    }
}
