//! The host's clock: ticks of a tenth of a millisecond, from its start or from the Unix epoch.
use mallowseam_scheduler::host::Tick;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MICROS: u64 = 100; // microseconds in a tick

/// When it was started, and the tick of that moment.
pub struct Clock(Instant, Tick);

impl Clock {
    pub fn start() -> Self {
        Clock(Instant::now(), 0)
    }

    /// Ticks since the epoch by the system's clock at the start, steady from there: for a host that is told
    /// times of day, also ones before its own start.
    pub fn of_day() -> Self {
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Instant::now(), (day.as_micros() as u64 / MICROS) as Tick)
    }

    pub fn now(&self) -> Tick {
        self.1 + (self.0.elapsed().as_micros() as u64 / MICROS) as Tick
    }
}

/// A deadline in microseconds as ticks, rounded down.
pub fn down(micros: u64) -> Tick {
    (micros / MICROS) as Tick
}

/// A wait in microseconds as ticks, rounded up.
pub fn up(micros: u64) -> Tick {
    micros.div_ceil(MICROS) as Tick
}

pub fn millis(ticks: Tick) -> u64 {
    (ticks.max(0) as u64) * MICROS / 1000
}

pub fn span(ticks: Tick) -> Duration {
    Duration::from_micros(ticks.max(0) as u64 * MICROS)
}
