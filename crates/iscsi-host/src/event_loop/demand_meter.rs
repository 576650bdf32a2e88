//! What clients request of each volume, measured period by period.
use crate::metrics::VolumeMetrics;
use mallowseam_plans::MilliUnits;
use mallowseam_scheduler::interface::Tick;

/// Ticks between two measurements.
const PERIOD: Tick = 2_500;
const TICKS_PER_SECOND: f64 = 10_000.0;
/// `MilliUnits` in a unit.
const THOUSANDTHS: f64 = 1000.0;

/// What clients request of each volume.
pub(super) struct DemandMeter {
    /// Thousandths of units a second in the last period.
    rates: Vec<MilliUnits>,
    /// When the present period began.
    began: Tick,
    /// Units that were requested of each volume before it.
    requested_before: Vec<f64>,
}

impl DemandMeter {
    /// The first period begins with the host.
    pub(super) fn new(volumes: usize) -> Self {
        DemandMeter {
            rates: vec![0; volumes],
            began: 0,
            requested_before: vec![0.0; volumes],
        }
    }

    /// Thousandths of units a second in the last period, by volume.
    pub(super) fn rates(&self) -> &[MilliUnits] {
        &self.rates
    }

    /// Ends a period that is over. True: the rates are new.
    pub(super) fn measure(&mut self, now: Tick, volumes: &[VolumeMetrics]) -> bool {
        if now < self.began + PERIOD {
            return false;
        }
        let seconds = (now - self.began) as f64 / TICKS_PER_SECOND;
        let before = self.requested_before.iter_mut();
        for ((rate, before), volume) in self.rates.iter_mut().zip(before).zip(volumes) {
            *rate = ((volume.requested - *before) / seconds * THOUSANDTHS) as MilliUnits;
            *before = volume.requested;
        }
        self.began = now;
        true
    }
}
