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

/// When a loop looked at its sockets.
pub struct Looks(Tick);

/// A poll that took longer than this slept until something came.
const SLEPT: Tick = 1;

impl Looks {
    pub fn new(now: Tick) -> Self {
        Looks(now)
    }

    /// When what a poll found was there, the poll having lasted from one time to another: on waking where it slept;
    /// else it had come since the last look, and half way to that is the best guess. A loop that is kept from
    /// running would otherwise take its own lateness for that of others.
    pub fn heard(&mut self, from: Tick, to: Tick) -> Tick {
        let last = std::mem::replace(&mut self.0, to);
        if to - from > SLEPT { to } else { last + (to - last) / 2 }
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

/// A time in milliseconds as ticks.
pub fn ticks(millis: u64) -> Tick {
    (millis * 1000 / MICROS) as Tick
}

pub fn span(ticks: Tick) -> Duration {
    Duration::from_micros(ticks.max(0) as u64 * MICROS)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_wakes_a_loop_came_then_and_what_waited_for_it_came_before() {
        let mut looks = Looks::new(1_000);
        assert_eq!(looks.heard(1_010, 1_500), 1_500, "it slept");
        assert_eq!(looks.heard(2_500, 2_500), 2_000, "it was busy, or kept from running, for a hundred ms");
        assert_eq!(looks.heard(2_502, 2_502), 2_501);
    }
}
