//! Tests of the rates that a demand meter reports for a period.
use super::{DemandMeter, PERIOD};
use crate::metrics::VolumeMetrics;

fn requested(units: f64) -> [VolumeMetrics; 1] {
    [VolumeMetrics {
        requested: units,
        ..VolumeMetrics::default()
    }]
}

#[test]
fn a_rate_counts_the_units_requested_within_its_period_only() {
    let mut meter = DemandMeter::new(1);
    assert!(!meter.measure(PERIOD - 1, &requested(5.0)));
    assert_eq!(meter.rates(), [0]);
    assert!(meter.measure(PERIOD, &requested(5.0)));
    assert_eq!(meter.rates(), [20_000], "5 units in a quarter of a second");
    assert!(!meter.measure(2 * PERIOD - 1, &requested(6.0)));
    assert!(meter.measure(3 * PERIOD, &requested(6.0)));
    assert_eq!(meter.rates(), [2_000], "1 unit in half a second");
}
