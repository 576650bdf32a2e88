//! The host's clock: ticks of a tenth of a millisecond, and their conversion.
use mallowseam_scheduler::interface::Tick;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a tick.
const MICROS_PER_TICK: u64 = 100;

/// A monotonic clock.
pub struct Clock {
    started: Instant,
    first_tick: Tick,
}

impl Clock {
    /// A clock that counts from 0.
    #[must_use]
    pub fn from_zero() -> Self {
        Clock {
            started: Instant::now(),
            first_tick: 0,
        }
    }

    /// A clock that counts from the Unix epoch, by the system's clock now and steadily from there: for a host
    /// that receives times of day, also ones before its own start.
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

    /// The present tick.
    #[must_use]
    pub fn now(&self) -> Tick {
        self.first_tick + whole_ticks(self.started.elapsed())
    }
}

fn whole_ticks(span: Duration) -> Tick {
    (span.as_micros() as u64 / MICROS_PER_TICK) as Tick
}

/// Microseconds as ticks, rounded down: for deadlines.
#[must_use]
pub fn ticks_from_micros_floor(micros: u64) -> Tick {
    (micros / MICROS_PER_TICK) as Tick
}

/// Microseconds as ticks, rounded up: for waits.
#[must_use]
pub fn ticks_from_micros_ceil(micros: u64) -> Tick {
    micros.div_ceil(MICROS_PER_TICK) as Tick
}

/// Milliseconds as ticks.
#[must_use]
pub fn ticks_from_millis(millis: u64) -> Tick {
    (millis * 1000 / MICROS_PER_TICK) as Tick
}

/// Ticks as milliseconds, rounded down; negative ticks as 0.
#[must_use]
pub fn ticks_to_millis(ticks: Tick) -> u64 {
    (ticks.max(0) as u64) * MICROS_PER_TICK / 1000
}

/// Ticks as a duration; negative ticks as 0.
#[must_use]
pub fn ticks_to_duration(ticks: Tick) -> Duration {
    Duration::from_micros(ticks.max(0) as u64 * MICROS_PER_TICK)
}
