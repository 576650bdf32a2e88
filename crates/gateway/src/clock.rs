//! The host's clock: ticks of a tenth of a millisecond from its start.
use mallowseam_scheduler::host::Tick;
use std::time::{Duration, Instant};

const MICROS: u64 = 100; // microseconds in a tick

pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Tick {
        (self.0.elapsed().as_micros() as u64 / MICROS) as Tick
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
