//! Measures the rate of units that clients request from each volume.
#[cfg(test)]
mod tests;

use crate::metrics::VolumeMetrics;
use mallowseam_plans::MilliUnits;
use mallowseam_scheduler::interface::Tick;

/// Minimum interval between measurements, in ticks.
const PERIOD: Tick = 2_500;
const TICKS_PER_SECOND: f64 = 10_000.0;
/// Milli-units in a unit.
const MILLI_UNITS_PER_UNIT: f64 = 1000.0;

/// Requested rate of each volume over the last measurement period.
pub(super) struct DemandMeter {
    /// Requested rate of each volume in the last period, in milli-units a second.
    rates: Vec<MilliUnits>,
    /// Start of the current period.
    period_start: Tick,
    /// Units requested from each volume before the current period.
    requested_before: Vec<f64>,
}

impl DemandMeter {
    /// Creates a meter for `volumes` volumes, whose first period starts at tick 0, when the host starts.
    pub(super) fn new(volumes: usize) -> Self {
        DemandMeter {
            rates: vec![0; volumes],
            period_start: 0,
            requested_before: vec![0.0; volumes],
        }
    }

    /// Returns the requested rate of each volume in the last period, in milli-units a second.
    pub(super) fn rates(&self) -> &[MilliUnits] {
        &self.rates
    }

    /// Ends the current period if it is over. Returns whether the rates were updated.
    pub(super) fn measure(&mut self, now: Tick, volumes: &[VolumeMetrics]) -> bool {
        if now < self.period_start + PERIOD {
            return false;
        }
        let seconds = (now - self.period_start) as f64 / TICKS_PER_SECOND;
        let before = self.requested_before.iter_mut();
        for ((rate, before), volume) in self.rates.iter_mut().zip(before).zip(volumes) {
            *rate = ((volume.requested - *before) / seconds * MILLI_UNITS_PER_UNIT) as MilliUnits;
            *before = volume.requested;
        }
        self.period_start = now;
        true
    }
}
