//! Conversions from the scaled integers of the placement model to the units of the output.
use mallowseam_placement::problem::SCALE;

/// Scale of gains in the model: thousandths of units, thousandths of price, hundredths, and `SCALE`.
pub(super) const GAIN_SCALE: f64 = 1000.0 * 1000.0 * 100.0 * SCALE as f64;

/// Converts a gain to units per second.
pub(super) fn gain_per_second(scaled: i128) -> f64 {
    scaled as f64 / GAIN_SCALE
}

/// Converts an amount of data to the unit of the problem file.
pub(super) fn data_units(scaled: u128) -> f64 {
    scaled as f64 / SCALE as f64
}
