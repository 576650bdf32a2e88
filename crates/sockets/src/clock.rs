//! A host's clock in ticks of a tenth of a millisecond, and conversions of ticks.
use mallowseam_scheduler::interface::Tick;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of microseconds in a tick.
const MICROS_PER_TICK: u64 = 100;

/// Monotonic clock in ticks.
pub struct Clock {
    started: Instant,
    first_tick: Tick,
}

impl Clock {
    /// Creates a clock that counts from 0.
    #[must_use]
    pub fn from_zero() -> Self {
        Clock {
            started: Instant::now(),
            first_tick: 0,
        }
    }

    /// Creates a clock that counts from the Unix epoch. It starts at the system's present time and is monotonic from
    /// there. For hosts that receive absolute times, including times before their own start.
    #[must_use]
    pub fn from_unix_epoch() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            first_tick: whole_ticks(since_epoch),
        }
    }

    /// Returns the current tick.
    #[must_use]
    pub fn now(&self) -> Tick {
        self.first_tick + whole_ticks(self.started.elapsed())
    }
}

fn whole_ticks(duration: Duration) -> Tick {
    (duration.as_micros() as u64 / MICROS_PER_TICK) as Tick
}

/// Converts microseconds to ticks, rounded down, for deadlines.
#[must_use]
pub fn ticks_from_micros_floor(micros: u64) -> Tick {
    (micros / MICROS_PER_TICK) as Tick
}

/// Converts microseconds to ticks, rounded up, for delays.
#[must_use]
pub fn ticks_from_micros_ceil(micros: u64) -> Tick {
    micros.div_ceil(MICROS_PER_TICK) as Tick
}

/// Converts milliseconds to ticks.
#[must_use]
pub fn ticks_from_millis(millis: u64) -> Tick {
    (millis * 1000 / MICROS_PER_TICK) as Tick
}

/// Converts ticks to milliseconds, rounded down. Negative ticks become 0.
#[must_use]
pub fn ticks_to_millis(ticks: Tick) -> u64 {
    (ticks.max(0) as u64) * MICROS_PER_TICK / 1000
}

/// Converts ticks to a duration. Negative ticks become 0.
#[must_use]
pub fn ticks_to_duration(ticks: Tick) -> Duration {
    Duration::from_micros(ticks.max(0) as u64 * MICROS_PER_TICK)
}
