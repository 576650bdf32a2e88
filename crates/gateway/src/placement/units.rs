//! From the scaled integers of the model to the units that operators read.
use mallowseam_placement::problem::SCALE;

/// What a unit's gain is multiplied by inside the model: thousandths of units and of price, parts of a
/// hundred, and `SCALE`.
pub(super) const GAIN_SCALE: f64 = 1000.0 * 1000.0 * 100.0 * SCALE as f64;

/// A gain as units a second.
pub(super) fn gain_per_second(scaled: i128) -> f64 {
    scaled as f64 / GAIN_SCALE
}

/// An amount of data in the unit of the problem file.
pub(super) fn data_units(scaled: u128) -> f64 {
    scaled as f64 / SCALE as f64
}
